package host

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/router"
	"github.com/chestnutline/chestnutline/internal/stop"
)

// AddTo adds the process's actors to a group, which runs them until one ends.
func (p *Process) AddTo(g *run.Group) error {
	g.Add(stop.OnSignal(p.interrupted, p.Drain))
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	p.addLoop(g)
	p.addServers(g, listeners)
	p.addDirectory(g)
	p.addGauges(g)
	logevent.ProcessStarted.Emit(p.log, log.Fields{
		"host": p.settings.Host, "listen": p.settings.Listen, "admin": p.settings.Admin, "peer": p.settings.Peer,
	})
	return nil
}

// listeners are the open ports of the process.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

func (p *Process) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", p.settings.Listen); err != nil {
		return l, errors.Wrap(err, "listen for callers (--listen)")
	}
	if l.admin, err = net.Listen("tcp", p.settings.Admin); err != nil {
		return l, errors.Wrap(err, "listen for operators (--admin)")
	}
	if l.peers, err = net.Listen("tcp", p.settings.peerBind()); err != nil {
		return l, errors.Wrap(err, "listen for other hosts (--peer-bind or --peer)")
	}
	return l, nil
}

// addLoop adds the control thread. It is the last to end, since the others
// post events to it while they finish.
func (p *Process) addLoop(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.loop.Run(ctx)
		return nil
	}, func(error) {
		p.prober.Close()
		p.source.Close()
		cancel()
	})
}

func (p *Process) addServers(g *run.Group, l listeners) {
	g.Add(func() error { return p.callers.Serve(l.callers) }, func(error) { _ = p.callers.Close() })
	g.Add(func() error { return p.admin.Serve(l.admin) }, func(error) { _ = p.admin.Close() })
	g.Add(func() error { return p.peers.Serve(l.peers) }, func(error) { p.peers.Close() })
}

// addDirectory adds the reading of the platform's list of hosts.
func (p *Process) addDirectory(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.followDirectory(ctx)
		return nil
	}, func(error) { cancel() })
}

func (p *Process) followDirectory(ctx context.Context) {
	ticker := time.NewTicker(p.settings.ListInterval)
	defer ticker.Stop()
	for {
		p.readDirectory(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Process) readDirectory(ctx context.Context) {
	hosts, err := p.store.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		logevent.DirectoryUnreadable.Emit(p.log, log.Fields{"error": err.Error()})
		return
	}
	p.loop.Post(router.HostsListed{Hosts: hosts})
	p.loop.Inspect(ctx, func(c *router.Core) { p.hosts.Store(int64(c.LocalHostCount())) })
}

// flushLimit bounds the sending of the last messages to other hosts.
const flushLimit = time.Second

// Drain stops the host gracefully: nothing new is admitted, requests in flight
// finish, and only then it returns. It fails when the drain limit passes first.
func (p *Process) Drain() error {
	logevent.ProcessStopping.Emit(p.log, log.Fields{"host": p.settings.Host})
	p.callers.Drain()
	p.loop.Post(router.Shutdown{})
	limit := time.NewTimer(p.settings.DrainLimit)
	defer limit.Stop()
	select {
	case <-p.drained:
	case <-limit.C:
		logevent.DrainLimitReached.Emit(p.log, log.Fields{"limit": p.settings.DrainLimit.String()})
		return errors.Errorf("requests were still in flight after the drain limit of %s", p.settings.DrainLimit)
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainLimit)
	defer cancel()
	err := p.callers.Shutdown(ctx)
	if p.claimer != nil && err == nil {
		err = p.claimer.Close(ctx)
	}
	p.sayGoodbye()
	return err
}

// sayGoodbye waits until the other hosts were told that this one is gone.
func (p *Process) sayGoodbye() {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	p.peers.Flush(ctx)
}
