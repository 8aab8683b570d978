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

// AddTo adds the actors of the process to a run group, which runs them until
// one of them ends. It fails if a port cannot be opened.
func (p *Process) AddTo(g *run.Group) error {
	g.Add(stop.OnSignal(p.interrupted, p.Drain))
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	p.addControlLoop(g)
	p.addServers(g, listeners)
	p.addHostListPolling(g)
	p.addGaugeUpdates(g)
	logevent.ProcessStarted.Emit(p.log, log.Fields{
		"host": p.settings.Host, "listen": p.settings.Listen, "admin": p.settings.Admin, "peer": p.settings.Peer,
	})
	return nil
}

// listeners holds the open ports of the process.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

// listen opens the three ports of the process.
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

// addControlLoop adds the control thread. It is the last actor to end, because
// the others post events to it while they finish.
func (p *Process) addControlLoop(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.loop.Run(ctx)
		return nil
	}, func(error) {
		p.prober.Close()
		p.configurationSource.Close()
		cancel()
	})
}

// addServers adds the servers for callers, operators and other hosts.
func (p *Process) addServers(g *run.Group, l listeners) {
	g.Add(func() error { return p.callers.Serve(l.callers) }, func(error) { _ = p.callers.Close() })
	g.Add(func() error { return p.admin.Serve(l.admin) }, func(error) { _ = p.admin.Close() })
	g.Add(func() error { return p.transport.Serve(l.peers) }, func(error) { p.transport.Close() })
}

// addHostListPolling adds the actor that fetches the platform's list of hosts.
func (p *Process) addHostListPolling(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		p.pollHostList(ctx)
		return nil
	}, func(error) { cancel() })
}

// pollHostList fetches the list at once and then at every ListInterval, until
// the context ends.
func (p *Process) pollHostList(ctx context.Context) {
	ticker := time.NewTicker(p.settings.ListInterval)
	defer ticker.Stop()
	for {
		p.fetchHostList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetchHostList fetches the list once and passes it to the control thread. If
// this fails, the known hosts stay in use.
func (p *Process) fetchHostList(ctx context.Context) {
	hosts, err := p.store.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		logevent.DirectoryUnreadable.Emit(p.log, log.Fields{"error": err.Error()})
		return
	}
	p.loop.Post(router.HostsListed{Hosts: hosts})
	p.loop.Inspect(ctx, func(c *router.Core) { p.localHosts.Store(int64(c.LocalHostCount())) })
}

// flushTimeout bounds the wait until the last messages to other hosts are sent.
const flushTimeout = time.Second

// Drain stops the host gracefully: the host admits no new requests, and Drain
// returns when the requests in flight have ended. It fails if the drain limit
// passes first.
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
	p.flushPeerMessages()
	return err
}

// flushPeerMessages waits until the announcement that this process ends has
// been sent to the other hosts, at most for flushTimeout.
func (p *Process) flushPeerMessages() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	p.transport.Flush(ctx)
}
