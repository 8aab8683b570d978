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

// Engine is one stand-in engine. It can be killed and restarted by a fault: its
// checkCounters survive a restart, and all other state is lost.
type Engine struct {
	config        Config // scaled
	log           log.Interface
	address       string
	faults        *fault.Set
	checkCounters *checkCounters
	httpClient    *httpcall.Client

	mu            sync.Mutex
	running       *instance // nil while the engine is dead
	closed        bool
	pendingDeaths sync.WaitGroup
}

// Start opens the engine's port and serves it until Close.
func Start(config Config) (*Engine, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "start stand-in engine")
	}
	if config.Log == nil {
		config.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	e := &Engine{
		config:        config.scaled(),
		log:           config.Log.WithField("engine", config.Name),
		faults:        &fault.Set{},
		checkCounters: newCheckCounters(),
		httpClient:    httpcall.New(httpcall.DefaultConfig()),
	}
	e.address = config.Address
	if err := e.startInstance(); err != nil {
		return nil, err
	}
	return e, nil
}

// Name returns the engine's name from its configuration.
func (e *Engine) Name() string { return e.config.Name }

// Address returns the engine's ip:port, which stays the same across restarts.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// startInstance opens the port and starts an instance with empty state, unless
// one is running or the engine is closed.
func (e *Engine) startInstance() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.running != nil {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", e.address)
	}
	e.address = listener.Addr().String()
	e.running = newInstance(e, listener)
	e.running.start()
	return nil
}

// stopInstance stops the running instance: its port, its connections and its
// state are gone afterwards.
func (e *Engine) stopInstance() {
	e.mu.Lock()
	stopped := e.running
	e.running = nil
	e.mu.Unlock()
	if stopped != nil {
		stopped.stop()
	}
}

func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Close stops the engine permanently and ends every fault.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.faults.Apply(fault.Command{Kind: fault.Clear})
	e.stopInstance()
	e.pendingDeaths.Wait()
	e.httpClient.Close()
}

func (e *Engine) emit(event logevent.Event, fields log.Fields) {
	event.Emit(e.log, fields)
}
