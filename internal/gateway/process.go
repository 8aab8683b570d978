package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/admin"
	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/stop"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// memoryHold is the lease of reserved memory: three renewals fit, and the
	// memory of a host that died is back before the platform counts it as lost.
	memoryHold = 3 * time.Second
	// callerIdle is how long a caller's connection may stay unused. Callers
	// reuse connections for most of the declared limit, which is far lower.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the time that a caller takes to send a header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a header before the declared limit is known.
	maxHeaderBytes = 64 << 10
	// upstreamDial bounds connecting; attempts give up sooner.
	upstreamDial = time.Second
)

// Process is one gateway.
type Process struct {
	settings Settings
	logger   log.Interface
	clock    clock.Clock
	metrics  *telemetry.Registry
	store    *platform.Store
	beliefs  *beliefs
	control  *control
	peers    *peers
	ingress  *ingress
	drain    *drain
	boot     uint64

	// configuration, servers and hosts follow their kinds in the store.
	configuration, servers, hosts *watcher

	callers, ready *http.Server
	// drained is closed when no request is in flight any more, or none is
	// waited for.
	drained  chan struct{}
	endDrain func()
	watching sync.WaitGroup
}

// New returns a process that has not opened any port yet.
func New(s Settings, logger log.Interface) (*Process, error) {
	in := s.surroundings
	p := &Process{
		settings: s, logger: logger, clock: clock.Start(), metrics: telemetry.New(),
		boot: uint64(time.Now().UnixNano()), drained: make(chan struct{}),
	}
	p.endDrain = sync.OnceFunc(func() { close(p.drained) })
	core, err := balance.New(balance.Config{
		Host: in.Host, DataCentre: in.DataCentre,
		RetryRatio: in.RetryRatio, RetryWindow: in.RetryWindow, RetrySlack: in.RetrySlack,
		Hold: min(memoryHold, orLongest(in.MaxHoldTime)), Policy: balance.Policy(s.Policy),
	}, p.boot, p.boot)
	if err != nil {
		return nil, errors.Wrap(err, "configure the decision core")
	}
	p.store = platform.NewStore(in.StoreAddress, storeTimeout, watchTimeout, p.countStoreCall)
	p.control = newControl(core, p.clock, logger, p.metrics)
	p.beliefs = newBeliefs(p.clock, logger, p.control.post)
	p.drain = &drain{clock: p.clock, grace: in.GracePeriod}
	p.peers, err = newPeers(p.self(), p.clock, logger, p.control.post)
	if err != nil {
		return nil, err
	}
	p.newWatchers()
	calls := httpcall.New(httpcall.Config{DialTimeout: upstreamDial, IdleTimeout: upstreamDial, MaxIdle: 1})
	p.control.orders = &orders{calls: calls, logger: logger, metrics: p.metrics, post: p.control.post}
	p.control.tell = p.peers.tell
	p.control.settle = p.beliefs.settle
	p.ingress = &ingress{
		clock: p.clock, logger: logger, metrics: p.metrics, beliefs: p.beliefs,
		control: p.control, calls: calls, drain: p.drain,
	}
	p.callers = &http.Server{
		Handler: p.ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
	}
	p.ready = &http.Server{Handler: p.readiness(), ReadHeaderTimeout: headerTimeout}
	return p, nil
}

func orLongest(d time.Duration) time.Duration {
	if d <= 0 {
		return memoryHold
	}
	return d
}

func (p *Process) countStoreCall(method string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	} else {
		p.beliefs.storeAnswered()
	}
	p.metrics.Count("gateway_store_calls_total", 1, "method", method, "result", result)
}

func (p *Process) peerAddress() string {
	in := p.settings.surroundings
	return (&net.TCPAddr{IP: net.ParseIP(in.IP), Port: in.PeerPorts[0]}).String()
}

// self is this host as the others know it.
func (p *Process) self() member {
	in := p.settings.surroundings
	return member{name: in.Host, address: p.peerAddress(), dataCentre: in.DataCentre, power: in.ProcessorShare}
}

// readiness answers the balancer: ready once requests can be answered, until
// the host stops.
func (p *Process) readiness() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if p.isReady() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

// isReady says whether new connections are welcome: other hosts may reach what
// this one does not.
func (p *Process) isReady() bool {
	return p.beliefs.known() && !p.drain.stopping() && !p.control.isolated.Load()
}

// AddTo opens the ports and adds the process's actors to the group.
func (p *Process) AddTo(g *run.Group) error {
	in := p.settings.surroundings
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
		close   func()
	}{
		{in.CallerAddress, p.serveCallers, func() { p.closed(p.callers.Close()); p.endDrain() }},
		{in.ReadyAddress, serveHTTP(p.ready), func() { p.closed(p.ready.Close()) }},
		{p.peerAddress(), p.peers.transport.Serve, p.peers.transport.Close},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		g.Add(func() error { return l.serve(listener) }, func(error) { l.close() })
	}
	if err := p.addAdmin(g); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return p.control.run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.watchStore(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.peers.relay(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.reload(ctx) }, func(error) { cancel() })
	g.Add(stop.OnSignal(nil, p.stop))
	logevent.ProcessStarted.Emit(p.logger, log.Fields{
		"host": in.Host, "data_centre": in.DataCentre, "boot": p.boot, "callers": in.CallerAddress,
		"ready": in.ReadyAddress, "peers": p.peerAddress(), "metrics": p.settings.Metrics, "store": in.StoreAddress,
	})
	return nil
}

// serveCallers answers callers. It returns only once the requests in flight
// are finished, since its end would end the process.
func (p *Process) serveCallers(l net.Listener) error {
	err := serveHTTP(p.callers)(l)
	if err == nil {
		<-p.drained
	}
	return err
}

func serveHTTP(s *http.Server) func(net.Listener) error {
	return func(l net.Listener) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		return nil
	}
}

func (p *Process) closed(err error) {
	if err != nil {
		logevent.ListenerNotClosed.Emit(p.logger, log.Fields{"error": err.Error()})
	}
}

func (p *Process) addAdmin(g *run.Group) error {
	listener, err := net.Listen("tcp", p.settings.Metrics)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.settings.Metrics)
	}
	server := admin.NewServer(p, p.metrics, nil)
	g.Add(func() error { return server.Serve(listener) }, func(error) { p.closed(server.Close()) })
	return nil
}

// watchStore follows configuration, servers and hosts until the context ends.
func (p *Process) watchStore(ctx context.Context) error {
	for _, w := range []*watcher{p.configuration, p.servers, p.hosts} {
		p.watching.Go(func() { w.run(ctx) })
	}
	p.watching.Go(func() { p.register(ctx) })
	p.watching.Go(func() { p.sweep(ctx) })
	p.watching.Wait()
	return nil
}

// newWatchers prepares the watches on the store.
func (p *Process) newWatchers() {
	watch := func(kind string, pace time.Duration, replace, change func([]platform.Object)) *watcher {
		return &watcher{
			store: p.store, kind: kind, pace: pace, logger: p.logger, others: p.peers.watching,
			replace: replace, change: change, feeds: p.peers,
		}
	}
	configured := p.beliefs.configurationChanged
	p.configuration = watch(platform.ConfigurationKind, configurationPace, configured, configured)
	p.servers = watch(platform.ServersKind, serversPace, p.beliefs.serversListed, p.beliefs.serversChanged)
	p.hosts = watch(hostsKind, hostsPace, p.peers.listed, p.peers.changed)
	followed := []*watcher{p.configuration, p.servers, p.hosts}
	for i, w := range followed {
		w.index = i
	}
	p.hosts.least, p.hosts.settle = hostsWatchWait, hostsSettle
	p.peers.fed = func(f feed) {
		if f.Kind >= 0 && f.Kind < len(followed) {
			followed[f.Kind].fed(f)
		}
	}
	p.peers.seen = func() []uint64 { return []uint64{p.configuration.known(), p.servers.known()} }
	p.peers.heard = func(revisions []uint64) {
		for i, w := range []*watcher{p.configuration, p.servers} {
			if i < len(revisions) {
				w.hear(revisions[i])
			}
		}
	}
}

// reload reads the settings file again on SIGHUP. Addresses and limits of a
// process stay as they were at its start.
func (p *Process) reload(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			if _, err := platform.ReadSettings(p.settings.File); err != nil {
				logevent.SettingsUnreadable.Emit(p.logger, log.Fields{"file": p.settings.File, "error": err.Error()})
				continue
			}
			logevent.SettingsReloaded.Emit(p.logger, log.Fields{"file": p.settings.File})
		}
	}
}

// stop finishes the requests in flight: it tells the balancer, goes on taking
// requests until that has noticed, and waits for what is under way.
func (p *Process) stop() error {
	defer p.endDrain()
	p.drain.begin()
	logevent.ProcessStopping.Emit(p.logger, log.Fields{"in_flight": p.control.inFlight(), "grace_ms": p.drain.grace.Milliseconds()})
	deadline := p.clock.Now() + p.drain.left(p.clock.Now())
	p.unregister()
	time.Sleep(min(balancerNotices, deadline-p.clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, deadline-p.clock.Now()))
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		logevent.DrainLimitReached.Emit(p.logger, log.Fields{"in_flight": p.control.inFlight(), "error": err.Error()})
	}
	return nil
}

// Status implements admin.Source.
func (p *Process) Status(context.Context) (admin.Status, error) {
	in := p.settings.surroundings
	s := admin.Status{Host: in.Host, DataCentre: in.DataCentre, Ready: p.isReady(), Draining: p.drain.stopping()}
	if table := p.beliefs.table.Load(); table != nil {
		s.ConfigVersion = table.Version
	}
	return s, nil
}

// Dump implements admin.Source.
func (p *Process) Dump(ctx context.Context) (any, error) {
	result := make(chan balance.Dump, 1)
	look := func(core *balance.Core, now time.Duration) { result <- core.Dump(now) }
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dump the state")
	case p.control.inspect <- look:
		return <-result, nil
	}
}
