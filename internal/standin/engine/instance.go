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

// readHeaderTimeout limits the time in which a client has to send the headers of
// a request.
const (
	readHeaderTimeout = 5 * time.Second
)

// instance is one run of the engine, from its start to its death. It holds all
// state that the engine loses when it dies.
type instance struct {
	engine    *Engine
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	listener  *fault.Listener
	server    *http.Server
	// wake receives a value when the step loop has to look for new work.
	wake chan struct{}
	// tasksMu makes sure that spawn starts no task after stop began to wait.
	tasksMu sync.Mutex
	tasks   sync.WaitGroup

	mu     sync.Mutex
	core   *batch.Engine
	models *modelSet
	report api.LoadReport
}

func newInstance(e *Engine, listener net.Listener) *instance {
	created := &instance{
		engine:    e,
		startedAt: time.Now(),
		listener:  fault.NewListener(listener),
		wake:      make(chan struct{}, 1),
		models:    newModelSet(e.config),
	}
	created.report.Sequence = firstSequence(created.startedAt)
	config := e.config.Batch
	config.FirstSequence = created.report.Sequence
	created.core = batch.New(config)
	created.ctx, created.cancel = context.WithCancel(context.Background())
	created.server = &http.Server{
		Handler:           created.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	return created
}

// sequencesPerMillisecond is more than the number of reports or cache events
// that an engine numbers in a millisecond. The sequence numbers of a later
// instance are therefore higher than those of an earlier one.
const sequencesPerMillisecond = 1 << 10

// firstSequence returns the number from which an instance numbers its load reports
// and cache events.
func firstSequence(startedAt time.Time) uint64 {
	return uint64(startedAt.UnixMilli()) * sequencesPerMillisecond
}

// start begins to serve the port and to run the step and report loops.
func (i *instance) start() {
	i.refreshReport()
	i.spawn(func() { _ = i.server.Serve(i.listener) })
	i.spawn(i.stepLoop)
	i.spawn(i.reportLoop)
}

// spawn runs a task in a goroutine that stop waits for. It does nothing if the
// instance has been stopped.
func (i *instance) spawn(task func()) {
	i.tasksMu.Lock()
	defer i.tasksMu.Unlock()
	if i.ctx.Err() == nil {
		i.tasks.Go(task)
	}
}

// stop closes the port and all connections and waits for the instance's tasks to
// end.
func (i *instance) stop() {
	i.tasksMu.Lock()
	i.cancel()
	i.tasksMu.Unlock()
	_ = i.server.Close()
	i.listener.CloseConnections()
	i.tasks.Wait()
}

// elapsed returns the time since the instance was started.
func (i *instance) elapsed() time.Duration { return time.Since(i.startedAt) }

// withCore calls f while it holds the lock on the simulation.
func (i *instance) withCore(f func(core *batch.Engine, now time.Duration)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(i.core, i.elapsed())
}

// wakeStepLoop makes the step loop, if it is idle, check for new work.
func (i *instance) wakeStepLoop() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}
