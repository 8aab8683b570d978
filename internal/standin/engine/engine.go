package engine

import (
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// Engine is one stand-in engine. It can die and come back; what it counts for
// the checks survives that, its state does not.
type Engine struct {
	config  Config // scaled
	log     log.Interface
	address string
	faults  *fault.Set
	ledger  *ledger
	calls   *httpcall.Client

	mu      sync.Mutex
	life    *life // nil while dead
	closed  bool
	pending sync.WaitGroup
}

// Start opens the engine's port and runs it until Close.
func Start(config Config) (*Engine, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "start stand-in engine")
	}
	if config.Log == nil {
		config.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	e := &Engine{
		config: config.scaled(),
		log:    config.Log.WithField("engine", config.Name),
		faults: &fault.Set{},
		ledger: newLedger(),
		calls:  httpcall.New(httpcall.DefaultConfig()),
	}
	e.address = config.Address
	if err := e.begin(); err != nil {
		return nil, err
	}
	return e, nil
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.config.Name }

// Address returns ip:port; it stays the same when the engine dies and comes back.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// begin starts a life with empty state.
func (e *Engine) begin() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.life != nil {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", e.address)
	}
	e.address = listener.Addr().String()
	e.life = newLife(e, listener)
	e.life.start()
	return nil
}

// end kills the current life: port, connections and state are gone.
func (e *Engine) end() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l != nil {
		l.kill()
	}
}

func (e *Engine) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.faults.Apply(fault.Command{Kind: fault.Clear})
	e.end()
	e.pending.Wait()
	e.calls.Close()
}

func (e *Engine) emit(event logevent.Event, fields log.Fields) {
	event.Emit(e.log, fields)
}
