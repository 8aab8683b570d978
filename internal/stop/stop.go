// Package stop turns the signals that ask a process to stop into an actor of
// its run group.
package stop

import (
	"os"
	"os/signal"
	"syscall"
)

// OnSignal returns an actor that ends on SIGTERM, on SIGINT, or when also is
// closed, with the result of drain, which it runs first. Signals are caught from the call on: make it
// before anything that others can see, such as an open port.
func OnSignal(also <-chan struct{}, drain func() error) (execute func() error, interrupt func(error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	execute = func() error {
		select {
		case <-signals:
		case <-also:
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
