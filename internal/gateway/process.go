package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
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
	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/internal/stop"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// reservationHold is how long memory that was reserved on a server stays
	// reserved without a renewal. The time is long enough for three renewals.
	// When a host fails, the memory that it reserved is free again before the
	// platform counts that memory as lost.
	reservationHold = 3 * time.Second
	// callerIdleTimeout is how long a caller's connection may stay unused
	// before it is closed. Callers reuse their connections for most of the
	// declared idle limit, which is far lower.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout limits the time that a caller may take to send the header
	// of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a header while it is read, when the
	// declared limit is not known yet.
	maxHeaderBytes = 64 << 10
	// upstreamDialTimeout limits the time to connect to an upstream; every
	// attempt has a shorter limit of its own.
	upstreamDialTimeout = time.Second
	// upstreamRedialAfter is after how long a second connection to an upstream is opened
	// if the first one is not open yet: several round trips between the data centres of a
	// region.
	upstreamRedialAfter = 80 * time.Millisecond
	// upstreamSilenceTimeout is how long a server may acknowledge nothing while
	// its answer is awaited. Servers that hold memory for the request free it
	// when that ends, which must be within 4 s of the end of the work that used
	// it.
	upstreamSilenceTimeout = 3 * time.Second
)

// Process is one running gateway.
type Process struct {
	settings  Settings
	logger    log.Interface
	clock     clock.Clock
	metrics   *telemetry.Registry
	store     *platform.Store
	storeView *storeView
	control   *control
	peers     *peers
	ingress   *ingress
	drain     *drainState
	// budget is the memory that callers and servers may make this host hold, headsRefused
	// the number of heads that were cut off since they were too large.
	budget       *memory.Budget
	headsRefused atomic.Int64
	// boot is the time of the start in nanoseconds. It distinguishes this run
	// of the process from others and seeds the random choices of the core.
	boot uint64

	// storeEra is the highest era that an answer of the store has named; nil
	// before the first answer.
	storeEra atomic.Pointer[uint64]
	// configurationWatcher, serversWatcher and hostsWatcher each follow the
	// objects of one kind in the store.
	configurationWatcher, serversWatcher, hostsWatcher *watcher
	// evacuationsWatcher follows the operator's evacuations; nil if the platform has none.
	evacuationsWatcher *watcher

	callerServer, readyServer *http.Server
	// forwardServer takes the requests that other hosts pass on.
	forwardServer *http.Server
	// drained is closed by markDrained when no request is in flight any more,
	// or when the process no longer waits for those that are.
	drained     chan struct{}
	markDrained func()
	// storeTasks counts the goroutines that watchStore started.
	storeTasks sync.WaitGroup
}

// New returns a process that has not opened any port yet. The settings must
// have been validated, since Validate also reads the platform's settings file.
func New(s Settings, logger log.Interface) (*Process, error) {
	platformSettings := s.platformSettings
	p := &Process{
		settings: s, logger: logger, clock: clock.Start(), metrics: telemetry.New(),
		boot: uint64(time.Now().UnixNano()), drained: make(chan struct{}),
	}
	p.budget = newBudget(platformSettings)
	p.markDrained = sync.OnceFunc(func() { close(p.drained) })
	core, err := balance.New(balance.Config{
		Host: platformSettings.Host, DataCentre: platformSettings.DataCentre,
		RetryRatio: platformSettings.RetryRatio, RetryWindow: platformSettings.RetryWindow, RetrySlack: platformSettings.RetrySlack,
		ColdFactor: platformSettings.ColdFactor, ColdSlack: platformSettings.ColdSlack,
		Hold: min(reservationHold, holdOrDefault(platformSettings.MaxHoldTime)), Policy: balance.Policy(s.Policy),
	}, p.boot, p.boot)
	if err != nil {
		return nil, errors.Wrap(err, "configure the decision core")
	}
	p.store = platform.NewStore(platformSettings.StoreAddress, storeTimeout, watchTimeout, p.recordStoreCall)
	p.control = newControl(core, p.clock, logger, p.metrics)
	p.storeView = newStoreView(p.clock, logger, p.control.post)
	p.storeView.regions = platformSettings.Regions
	p.drain = newDrainState(p.clock, platformSettings.GracePeriod)
	p.peers, err = newPeers(p.selfMember(), p.clock, logger, p.control.post)
	if err != nil {
		return nil, err
	}
	p.peers.regions = platformSettings.Regions
	p.peers.openMessage = p.openMessage
	p.peers.transport.LimitInbound(peerConnections(platformSettings.MaxDescriptors))
	p.newWatchers()
	httpClient := httpcall.New(httpcall.Config{
		DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamDialTimeout, MaxIdle: 1, SilenceTimeout: upstreamSilenceTimeout,
		RedialAfter:    upstreamRedialAfter,
		MaxHeaderBytes: httpcall.DefaultMaxHeaderBytes, MaxHeaderLines: httpcall.DefaultMaxHeaderLines, Dialer: s.upstreamDialer,
	})
	notices := &noticeReader{clock: p.clock, logger: logger, metrics: p.metrics, post: p.control.post}
	p.control.orders = &orderSender{httpClient: httpClient, logger: logger, metrics: p.metrics, notices: notices, post: p.control.post}
	p.control.broadcastReport = p.peers.broadcastReport
	p.control.broadcastLimit = p.peers.broadcastLimit
	p.control.broadcastQuarantine = p.peers.broadcastQuarantine
	p.control.broadcastReturns = p.peers.broadcastReturns
	p.control.broadcastCutOff = p.peers.broadcastCutOff
	p.control.broadcastRest = p.peers.broadcastRest
	p.control.broadcastLeaving = p.peers.broadcastLeaving
	p.control.broadcastCold = p.peers.broadcastCold
	p.control.queryPlacement = p.peers.queryPlacement
	p.control.answerPlacement = p.peers.answerPlacement
	p.control.avoidCoordinator = p.peers.avoidCoordinator
	p.control.removeExpiredServers = p.storeView.removeExpiredServers
	p.ingress = &ingress{
		clock: p.clock, logger: logger, metrics: p.metrics, storeView: p.storeView,
		control: p.control, httpClient: httpClient, notices: notices, drain: p.drain, budget: p.budget,
		limits: s.slowCallerLimits(), openAnswer: p.openAnswer,
	}
	p.callerServer = newCallerServer(p.ingress)
	p.forwardServer = newCallerServer(http.HandlerFunc(p.ingress.serveForwarded))
	p.readyServer = &http.Server{Handler: p.readinessHandler()}
	limitProbeServer(p.readyServer)
	return p, nil
}

// holdOrDefault returns the longest hold time that the platform declares, or
// reservationHold if it declares none.
func holdOrDefault(hold time.Duration) time.Duration {
	if hold <= 0 {
		return reservationHold
	}
	return hold
}

// recordStoreCall counts a call to the store by its method and result, records
// when the store last answered, and logs a rise of the store's era.
func (p *Process) recordStoreCall(call platform.StoreCall) {
	result := "ok"
	if call.Err != nil {
		result = "failed"
	} else {
		p.storeView.recordStoreAnswer()
	}
	p.metrics.Count("gateway_store_calls_total", 1, "method", call.Method, "result", result)
	if call.Err != nil {
		return
	}
	known := p.storeEra.Load()
	if known != nil && call.Era <= *known || !p.storeEra.CompareAndSwap(known, &call.Era) {
		return
	}
	if known != nil {
		logevent.StoreWentBack.Emit(p.logger, log.Fields{"era_before": *known, "era": call.Era})
	}
}

// peerAddress returns the address at which this host listens for other hosts:
// its IP address and the first of the peer ports.
func (p *Process) peerAddress() string {
	platformSettings := p.settings.platformSettings
	return (&net.TCPAddr{IP: net.ParseIP(platformSettings.IP), Port: platformSettings.PeerPorts[0]}).String()
}

// selfMember describes this host in the form in which the other hosts know it.
func (p *Process) selfMember() member {
	platformSettings := p.settings.platformSettings
	return member{name: platformSettings.Host, address: p.peerAddress(), dataCentre: platformSettings.DataCentre, processorShare: platformSettings.ProcessorShare}
}

// readinessHandler answers the readiness checks of the load balancer. The host
// is ready once it can answer requests, and until it stops.
func (p *Process) readinessHandler() http.Handler {
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

// isReady reports whether the load balancer should send new connections to this
// host. A host that reaches no upstream, and no other host that does, is not ready.
func (p *Process) isReady() bool {
	return p.storeView.loaded() && !p.drain.stopping() && !p.control.isolated.Load()
}

// AddTo opens the ports and adds the actors of the process to the group. It
// returns an error if a port cannot be opened.
func (p *Process) AddTo(g *run.Group) error {
	platformSettings := p.settings.platformSettings
	for _, endpoint := range []struct {
		address string
		serve   func(net.Listener) error
		close   func()
	}{
		{platformSettings.CallerAddress, p.serveUntilDrained(p.callerServer), func() { p.logCloseError(p.callerServer.Close()); p.markDrained() }},
		{platformSettings.ReadyAddress, p.serveProbes(p.readyServer), func() { p.logCloseError(p.readyServer.Close()) }},
		{p.peerAddress(), p.peers.transport.Serve, p.peers.transport.Close},
		{p.forwardAddress(), p.serveUntilDrained(p.forwardServer), func() { p.logCloseError(p.forwardServer.Close()) }},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", endpoint.address)
		}
		g.Add(func() error { return endpoint.serve(listener) }, func(error) { endpoint.close() })
	}
	if err := p.addAdminServer(g); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return p.control.run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.watchStore(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.peers.runRelay(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.peers.runAlive(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.reportMemory(ctx) }, func(error) { cancel() })
	g.Add(func() error { return p.reloadOnHangup(ctx) }, func(error) { cancel() })
	g.Add(stop.OnSignal(nil, p.stop))
	logevent.ProcessStarted.Emit(p.logger, log.Fields{
		"host": platformSettings.Host, "data_centre": platformSettings.DataCentre, "boot": p.boot, "callers": platformSettings.CallerAddress,
		"ready": platformSettings.ReadyAddress, "peers": p.peerAddress(), "metrics": p.settings.Metrics, "store": platformSettings.StoreAddress,
	})
	return nil
}

// serveUntilDrained returns a function that serves HTTP on a listener. After the
// server was shut down, it waits until the requests in flight are finished before it
// returns, because the whole process ends when one of its actors returns.
func (p *Process) serveUntilDrained(s *http.Server) func(net.Listener) error {
	return func(l net.Listener) error {
		err := serveHTTP(s)(p.limitCallers(l))
		if err == nil {
			<-p.drained
		}
		return err
	}
}

// serveHTTP returns a function that serves HTTP on a listener until the server
// is closed or shut down.
func serveHTTP(s *http.Server) func(net.Listener) error {
	return func(l net.Listener) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		return nil
	}
}

// logCloseError logs the error, if there is one, that closing a server
// returned.
func (p *Process) logCloseError(err error) {
	if err != nil {
		logevent.ListenerNotClosed.Emit(p.logger, log.Fields{"error": err.Error()})
	}
}

// addAdminServer opens the address for metrics and state dumps and adds its
// server to the group.
func (p *Process) addAdminServer(g *run.Group) error {
	listener, err := net.Listen("tcp", p.settings.Metrics)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", p.settings.Metrics)
	}
	server := admin.NewServer(p, p.metrics, nil)
	server.Configure(limitProbeServer)
	g.Add(func() error { return server.Serve(p.limitProbes(listener, "metrics")) }, func(error) { p.logCloseError(server.Close()) })
	return nil
}

// watchStore runs all goroutines that use the store until the context ends.
// They follow the configuration, the servers, the hosts and the evacuations, keep this host
// registered, and remove the entries of silent hosts.
func (p *Process) watchStore(ctx context.Context) error {
	for _, w := range []*watcher{p.configurationWatcher, p.serversWatcher, p.hostsWatcher} {
		p.storeTasks.Go(func() { w.run(ctx) })
	}
	if p.evacuationsWatcher != nil {
		p.storeTasks.Go(func() { p.evacuationsWatcher.run(ctx) })
		p.storeTasks.Go(func() { p.storeView.evacuations.run(ctx) })
	}
	p.storeTasks.Go(func() { p.keepRegistered(ctx) })
	p.storeTasks.Go(func() { p.removeSilentHosts(ctx) })
	p.storeTasks.Wait()
	return nil
}

// newWatchers creates the watchers of the store and connects them with the
// other hosts. A store update that another host forwards goes to the watcher of
// its kind. The hosts also send each other the newest revisions of the
// configuration and the servers that they know.
func (p *Process) newWatchers() {
	newWatcher := func(kind string, changePause time.Duration, onList, onChanges func([]platform.Object)) *watcher {
		return &watcher{
			store: p.store, kind: kind, changePause: changePause, logger: p.logger, otherWatchers: p.peers.otherWatchers,
			onList: onList, onChanges: onChanges, group: p.peers, metrics: p.metrics,
			callsResumed: make(chan struct{}, 1),
		}
	}
	applyConfiguration := p.storeView.updateConfiguration
	p.configurationWatcher = newWatcher(platform.ConfigurationKind, configurationPause, applyConfiguration, applyConfiguration)
	p.serversWatcher = newWatcher(platform.ServersKind, serversPause, p.storeView.replaceServers, p.storeView.updateServers)
	p.hostsWatcher = newWatcher(hostsKind, hostsPause, p.peers.replaceMembers, p.peers.updateMembers)
	watchers := []*watcher{p.configurationWatcher, p.serversWatcher, p.hostsWatcher}
	if p.evacuationsWatcher = p.newEvacuationsWatcher(newWatcher); p.evacuationsWatcher != nil {
		watchers = append(watchers, p.evacuationsWatcher)
	}
	for i, w := range watchers {
		w.kindIndex = i
		w.awaitsOthers = w != p.configurationWatcher
		w.onRecovered = func() {
			p.peers.transport.Reconnect()
			for _, other := range watchers {
				other.resumeCalls()
			}
		}
	}
	p.hostsWatcher.minWait, p.hostsWatcher.listPause = hostsWatchWait, hostsListPause
	p.peers.applyUpdate = func(update storeUpdate) {
		if update.KindIndex >= 0 && update.KindIndex < len(watchers) {
			watchers[update.KindIndex].applyUpdate(update)
		}
	}
	reported := []*watcher{p.configurationWatcher, p.serversWatcher}
	p.peers.knownRevisions = func() []platform.Revision {
		revisions := make([]platform.Revision, len(reported))
		for i, w := range reported {
			revisions[i] = w.newestKnownRevision()
		}
		return revisions
	}
	p.peers.recordRevisions = func(revisions []platform.Revision) {
		for i, w := range reported[:min(len(reported), len(revisions))] {
			w.recordPeerRevision(revisions[i])
		}
		for _, w := range watchers[len(reported):] {
			w.recordPeerRevision(platform.Revision{Era: newestEra(revisions)})
		}
	}
}

// reloadOnHangup reads the settings file again on every SIGHUP, until the
// context ends, and logs whether it could be read. The addresses and limits of
// a running process stay as they were at its start.
func (p *Process) reloadOnHangup(ctx context.Context) error {
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

// stop finishes the requests in flight. It makes the readiness check fail and
// removes this host's entry from the store, keeps accepting requests until the
// load balancer has noticed, and then waits for the requests in flight until
// the grace period is nearly over. Those that can't end by then are refused, or
// broken off if they have begun.
func (p *Process) stop() error {
	defer p.markDrained()
	p.drain.begin()
	logevent.ProcessStopping.Emit(p.logger, log.Fields{"in_flight": p.control.inFlight(), "grace_ms": p.drain.grace.Milliseconds()})
	p.control.post(balance.HostStopping{EndsAt: p.drain.requestsEndAt()})
	lastAnswers := time.AfterFunc(p.drain.requestsEndAt()-p.clock.Now(), p.drain.endRequests)
	defer lastAnswers.Stop()
	deadline := p.drain.processEndsAt()
	p.removeOwnEntry()
	time.Sleep(min(balancerNoticeTime, deadline-p.clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, deadline-p.clock.Now()))
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range []*http.Server{p.callerServer, p.forwardServer} {
		shutdowns.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				logevent.DrainLimitReached.Emit(p.logger, log.Fields{"in_flight": p.control.inFlight(), "error": err.Error()})
			}
		})
	}
	shutdowns.Wait()
	return nil
}

// Status returns the state of this host for operators. It implements
// admin.Source.
func (p *Process) Status(context.Context) (admin.Status, error) {
	platformSettings := p.settings.platformSettings
	status := admin.Status{Host: platformSettings.Host, DataCentre: platformSettings.DataCentre, Ready: p.isReady(), Draining: p.drain.stopping()}
	if configuration := p.storeView.configuration.Load(); configuration != nil {
		status.ConfigVersion = configuration.Version
	}
	return status, nil
}

// Dump returns the state of the decision core, which the control thread reads.
// It returns an error if the context ends first. It implements admin.Source.
func (p *Process) Dump(ctx context.Context) (any, error) {
	result := make(chan balance.Dump, 1)
	dump := func(core *balance.Core, now time.Duration) { result <- core.Dump(now) }
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dump the state")
	case p.control.inspect <- dump:
		return <-result, nil
	}
}
