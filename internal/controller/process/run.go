package process

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/stop"
)

// AddTo adds the process's actors to a group. The group runs them until one
// ends.
func (p *Process) AddTo(g *run.Group) error {
	stopped := make(chan struct{})
	await, interrupt := stop.OnSignal(nil, func() error {
		p.stop(stopped)
		return nil
	})
	listener, err := net.Listen("tcp", p.settings.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for operators (--admin)")
	}
	p.addLoop(g)
	g.Add(func() error { return p.admin.Serve(listener) }, func(error) { _ = p.admin.Close() })
	g.Add(await, func(err error) {
		close(stopped)
		interrupt(err)
	})
	logevent.ProcessStarted.Emit(p.log, log.Fields{"host": p.settings.Host, "admin": p.settings.Admin})
	return nil
}

// addLoop adds the control thread and, at its end, the end of the calls that it
// started.
func (p *Process) addLoop(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.loop(ctx)
		p.cancelCalls()
		p.calls.Wait()
		p.store.Close()
		p.engines.Close()
		return nil
	}, func(error) { cancel() })
}

// stop asks the state machine to finish its orders and release the lease, and
// waits for that no longer than the stop limit.
func (p *Process) stop(done <-chan struct{}) {
	logevent.ProcessStopping.Emit(p.log, log.Fields{"host": p.settings.Host})
	p.post(controller.Shutdown{})
	limit := time.NewTimer(p.settings.StopLimit)
	defer limit.Stop()
	select {
	case <-p.coreStopped:
	case <-done:
	case <-limit.C:
		logevent.LeaseNotReleased.Emit(p.log, log.Fields{"limit": p.settings.StopLimit.String()})
	}
}
