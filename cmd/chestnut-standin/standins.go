package main

import (
	"net/http"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/logevent"
)

// standIn is a running stand-in of one upstream.
type standIn interface {
	Address() string
	Close()
}

// standIns describes the stand-ins that a subcommand runs.
type standIns[T standIn] struct {
	// count is the number of stand-ins.
	count int
	// control is the address that serves faults and counters.
	control string
	// start starts the stand-in with the index i.
	start func(i int) (T, error)
	// controlHandler returns the handler of the control address for the running stand-ins.
	controlHandler func([]T) http.Handler
	// role and dataCentre are written to the log only.
	role, dataCentre string
}

// addTo starts all stand-ins and adds the server of their control address to the
// group; they are closed when the group ends. If one can't be started, addTo
// closes those already started and returns the error.
func (s standIns[T]) addTo(logger log.Interface, group *run.Group) error {
	started := make([]T, 0, s.count)
	closeAll := func() {
		for _, one := range started {
			one.Close()
		}
	}
	for i := range s.count {
		one, err := s.start(i)
		if err != nil {
			closeAll()
			return err
		}
		started = append(started, one)
	}
	control, err := addServer(group, s.control, s.controlHandler(started))
	if err != nil {
		closeAll()
		return err
	}
	addCloser(group, closeAll)
	logevent.StandinsStarted.Emit(logger, log.Fields{
		"role": s.role, "count": s.count, "first": started[0].Address(), "control": control, "data_centre": s.dataCentre,
	})
	return nil
}
