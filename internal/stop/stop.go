// Package stop provides the actor of a run group that ends the process when a
// signal asks for it.
package stop

import (
	"os"
	"os/signal"
	"syscall"
)

// OnSignal returns an actor that waits for SIGTERM, for SIGINT, or until
// stopRequested is closed. It then runs drain and ends with the result of drain.
// Signals are caught from the call of OnSignal on. Call it before the process does
// anything that others can see, such as opening a port: a signal that arrived
// earlier would end the process without draining.
func OnSignal(stopRequested <-chan struct{}, drain func() error) (execute func() error, interrupt func(error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	execute = func() error {
		select {
		case <-signals:
		case <-stopRequested:
		case <-done:
			return nil
		}
		return drain()
	}
	interrupt = func(error) {
		signal.Stop(signals)
		close(done)
	}
	return execute, interrupt
}
