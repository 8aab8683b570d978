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

const readHeaderTimeout = 5 * time.Second

// Service is one stand-in service. It can die and come back; what it counted
// survives that.
type Service struct {
	config Config
	log    log.Interface
	faults *fault.Set
	ledger *ledger

	mu       sync.Mutex
	address  string
	server   *http.Server // nil while dead
	listener *fault.Listener
	stop     context.CancelFunc
	closed   bool
	pending  sync.WaitGroup
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
		config:  config,
		log:     config.Log.WithField("service", config.Name),
		faults:  &fault.Set{},
		ledger:  newLedger(),
		address: config.Address,
	}
	if err := s.begin(); err != nil {
		return nil, err
	}
	return s, nil
}

// Name returns the service's name.
func (s *Service) Name() string { return s.config.Name }

// Address returns ip:port; it stays the same when the service dies and comes back.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

func (s *Service) begin() error {
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
	s.stop = stop
	s.listener = fault.NewListener(listener)
	s.server = &http.Server{
		Handler:           s.handler(ctx),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	server, wrapped := s.server, s.listener
	s.pending.Go(func() { _ = server.Serve(wrapped) })
	return nil
}

func (s *Service) end() {
	s.mu.Lock()
	server, listener, stop := s.server, s.listener, s.stop
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	stop()
	_ = server.Close()
	listener.CloseConnections()
}

// Close ends the service for good.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.faults.Apply(fault.Command{Kind: fault.Clear})
	s.end()
	s.pending.Wait()
}

// InjectFault carries out one order.
func (s *Service) InjectFault(order fault.Command) error {
	switch order.Kind {
	case fault.Die:
		s.die(order.Duration())
	case fault.Silent, fault.Cut:
		s.mu.Lock()
		listener := s.listener
		s.mu.Unlock()
		if order.Kind == fault.Silent {
			listener.Silence()
		} else {
			listener.CloseConnections()
		}
	default:
		if err := s.faults.Apply(order); err != nil {
			return err
		}
	}
	logevent.StandinFault.Emit(s.log, log.Fields{"kind": order.Kind, "for_ms": order.ForMillis})
	return nil
}

// die ends the service in the background, since the order may come over one
// of the connections that die with it.
func (s *Service) die(lasts time.Duration) {
	go func() {
		s.end()
		if lasts == 0 {
			return
		}
		time.AfterFunc(lasts, func() {
			if err := s.begin(); err != nil {
				logevent.StandinFailed.Emit(s.log, log.Fields{"error": err.Error()})
			}
		})
	}()
}
