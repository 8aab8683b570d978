package service

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// readHeaderTimeout limits the time in which a client has to send the headers of
// a request.
const readHeaderTimeout = 5 * time.Second

// Service is one stand-in service. It can be killed and restarted by a fault;
// its counters survive a restart.
type Service struct {
	config        Config
	log           log.Interface
	faults        *fault.Set
	checkCounters *checkCounters

	mu          sync.Mutex
	address     string
	server      *http.Server // nil while the service is dead
	listener    *fault.Listener
	cancelCalls context.CancelFunc
	closed      bool
	serveTasks  sync.WaitGroup
}

// Start opens the service's port and serves it until Close.
func Start(config Config) (*Service, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "start stand-in service")
	}
	if config.Log == nil {
		config.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	s := &Service{
		config:        config,
		log:           config.Log.WithField("service", config.Name),
		faults:        &fault.Set{},
		checkCounters: newCheckCounters(),
		address:       config.Address,
	}
	if err := s.startServer(); err != nil {
		return nil, err
	}
	return s, nil
}

// Name returns the service's name from its configuration.
func (s *Service) Name() string { return s.config.Name }

// Address returns the service's ip:port, which stays the same across restarts.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// startServer opens the port and serves it, unless the service is running or
// closed.
func (s *Service) startServer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	s.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	s.cancelCalls = stop
	s.listener = fault.NewListener(listener)
	s.server = &http.Server{
		Handler:           s.handler(ctx),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	server, wrapped := s.server, s.listener
	s.serveTasks.Go(func() { _ = server.Serve(wrapped) })
	return nil
}

// stopServer closes the port and all connections, and ends the calls in progress
// without answers.
func (s *Service) stopServer() {
	s.mu.Lock()
	server, listener, stop := s.server, s.listener, s.cancelCalls
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	stop()
	_ = server.Close()
	listener.CloseConnections()
}

// Close stops the service permanently and ends every fault.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.faults.Apply(fault.Command{Kind: fault.Clear})
	s.stopServer()
	s.serveTasks.Wait()
}

// InjectFault executes one command of the faults endpoint.
func (s *Service) InjectFault(command fault.Command) error {
	switch command.Kind {
	case fault.Die:
		s.die(command.Duration())
	case fault.Silent, fault.Cut:
		s.mu.Lock()
		listener := s.listener
		s.mu.Unlock()
		if command.Kind == fault.Silent {
			listener.Silence()
		} else {
			listener.CloseConnections()
		}
	default:
		if err := s.faults.Apply(command); err != nil {
			return err
		}
	}
	logevent.StandinFault.Emit(s.log, log.Fields{"kind": command.Kind, "for_ms": command.ForMillis})
	return nil
}

// die stops the service in the background, since the command may have come over
// one of the connections that this closes. If the downtime is not 0, it starts
// the service again after it.
func (s *Service) die(downtime time.Duration) {
	go func() {
		s.stopServer()
		if downtime == 0 {
			return
		}
		time.AfterFunc(downtime, func() {
			if err := s.startServer(); err != nil {
				logevent.StandinFailed.Emit(s.log, log.Fields{"error": err.Error()})
			}
		})
	}()
}
