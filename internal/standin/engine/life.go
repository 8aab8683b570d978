package engine

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// Limits of the stand-in's HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
)

// life is everything that an engine loses when it dies.
type life struct {
	engine   *Engine
	began    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	listener *fault.Listener
	server   *http.Server
	wake     chan struct{}
	tasksMu  sync.Mutex
	tasks    sync.WaitGroup

	mu     sync.Mutex
	core   *batch.Engine
	models *models
	report api.LoadReport
}

func newLife(e *Engine, listener net.Listener) *life {
	l := &life{
		engine:   e,
		began:    time.Now(),
		listener: fault.NewListener(listener),
		wake:     make(chan struct{}, 1),
		models:   newModels(e.config),
	}
	l.report.Sequence = firstSequence(l.began)
	config := e.config.Batch
	config.FirstSequence = l.report.Sequence
	l.core = batch.New(config)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = &http.Server{
		Handler:           l.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	return l
}

// sequencesPerMilli is more than an engine numbers reports or cache events in
// a millisecond, so that the numbers of a later life are above those of an
// earlier one.
const sequencesPerMilli = 1 << 10

func firstSequence(began time.Time) uint64 {
	return uint64(began.UnixMilli()) * sequencesPerMilli
}

func (l *life) start() {
	l.renewReport()
	l.spawn(func() { _ = l.server.Serve(l.listener) })
	l.spawn(l.stepLoop)
	l.spawn(l.reportLoop)
}

// spawn runs a task that kill waits for; a dead life starts none.
func (l *life) spawn(task func()) {
	l.tasksMu.Lock()
	defer l.tasksMu.Unlock()
	if l.ctx.Err() == nil {
		l.tasks.Go(task)
	}
}

// kill closes the port and every connection and waits for the tasks.
func (l *life) kill() {
	l.tasksMu.Lock()
	l.cancel()
	l.tasksMu.Unlock()
	_ = l.server.Close()
	l.listener.CloseConnections()
	l.tasks.Wait()
}

// now is the time since the life began.
func (l *life) now() time.Duration { return time.Since(l.began) }

// withCore runs f with the core locked.
func (l *life) withCore(f func(core *batch.Engine, now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.core, l.now())
}

// poke makes an idle step loop look for work.
func (l *life) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
