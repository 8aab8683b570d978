package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/admin"
	"github.com/chestnutline/chestnutline/internal/callers"
	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/configuration/source"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/journal"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/peer"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/probe"
	"github.com/chestnutline/chestnutline/internal/router"
	"github.com/chestnutline/chestnutline/internal/service"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/internal/traffic"
	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// membershipInterval is the time between two ticks of the membership core.
	membershipInterval = 100 * time.Millisecond
	// controlTimeout bounds a call that reserves memory on an engine or cancels
	// work there.
	controlTimeout = 2 * time.Second
	// maxDumpEntries bounds the length of each list in a dump.
	maxDumpEntries = 1000
)

// Process is the process of one entry host.
type Process struct {
	settings    Settings
	log         log.Interface
	clock       clock.Clock
	incarnation uint64

	loop                *Loop
	executor            *traffic.Executor
	prober              *probe.Prober
	configurationSource *source.Source
	transport           *peer.Transport
	store               *countingStore
	claimer             *claim.Claimer
	claimPeers          *claimPeers
	engines             *engine.HTTPClient
	services            *service.HTTPClient
	callers             *callers.Server
	admin               *admin.Server
	journal             *journal.Journal
	metrics             *telemetry.Registry

	// catalogue is the configuration in force, in the form that the callers'
	// server uses; it is nil until there is one.
	catalogue atomic.Pointer[callers.Catalogue]
	// localHosts is the number of alive hosts in this data centre, this one
	// included.
	localHosts atomic.Int64
	// upstreamsKnown reports whether a list of upstreams has been received.
	upstreamsKnown atomic.Bool
	// drained is closed when the dispatch core has no requests left after a
	// shutdown.
	drained chan struct{}
	// interrupted is closed when the process must stop without a signal.
	interrupted   chan struct{}
	interruptOnce sync.Once
}

// New assembles a process from validated settings. AddTo adds its actors to a
// run group, which starts them. The incarnation number of the process is its
// start time in milliseconds.
func New(s Settings, l log.Interface) (*Process, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	startTime := time.Now()
	p := &Process{
		settings:    s,
		log:         l,
		clock:       clock.Start(),
		incarnation: uint64(startTime.UnixMilli()),
		journal:     journal.New(s.JournalSize),
		metrics:     telemetry.New(),
		drained:     make(chan struct{}),
		interrupted: make(chan struct{}),
		engines:     engine.NewHTTPClient(httpcall.DefaultConfig()),
		services:    service.NewHTTPClient(httpcall.DefaultConfig()),
	}
	p.localHosts.Store(1)
	core, err := router.New(p.coreConfig())
	if err != nil {
		return nil, errors.Wrap(err, "assemble the host")
	}
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: s.Platform, DataCentre: s.DataCentre})
	if err != nil {
		return nil, errors.Wrap(err, "assemble the host")
	}
	p.store = &countingStore{store: client, directory: client, metrics: p.metrics}
	p.loop = NewLoop(core, p.clock, dispatch.DefaultConfig().TickInterval, p.execute)
	p.configurationSource = source.New(p.store, func(e configuration.Event) { p.loop.Post(router.ConfigurationEvent{Event: e}) })
	if err := p.assembleClaimer(); err != nil {
		return nil, err
	}
	p.assembleTraffic()
	return p, p.assembleTransport()
}

// coreConfig returns the configuration of the core, derived from the settings.
func (p *Process) coreConfig() router.Config {
	s := p.settings
	d := dispatch.DefaultConfig()
	d.Host = s.Host
	d.Incarnation = p.incarnation
	d.DataCentre = s.DataCentre
	d.Policy = dispatch.Policy(s.Policy)
	d.Seed = s.Seed
	m := membership.DefaultConfig()
	m.Seed = s.Seed
	m.Self = membership.Host{Name: s.Host, DataCentre: s.DataCentre, Address: s.Peer, Incarnation: p.incarnation}
	return router.Config{
		Dispatch:           d,
		Membership:         m,
		Configuration:      configuration.DefaultConfig(s.Host, s.DataCentre, s.Seed),
		MembershipInterval: membershipInterval,
	}
}

// assembleTraffic creates the parts that talk to callers, upstreams and
// operators.
func (p *Process) assembleTraffic() {
	post := func(e dispatch.Event) { p.loop.Post(router.DispatchEvent{Event: e}) }
	cfg := traffic.Config{
		Owner:          engine.Owner{Host: p.settings.Host, Incarnation: p.incarnation},
		SilenceTimeout: dispatch.DefaultConfig().SilenceTimeout,
		ControlTimeout: controlTimeout,
		Metrics:        p.metrics,
	}
	p.executor = traffic.NewExecutor(cfg, p.clock, p.engines, p.services, p.actionGuard(), post)
	hostCount := func() int { return int(p.localHosts.Load()) }
	p.prober = probe.New(probe.DefaultConfig(), p.clock, p.engines, p.services, post, hostCount)
	p.callers = callers.NewServer(callers.Config{
		Host:           p.settings.Host,
		Incarnation:    p.incarnation,
		Clock:          p.clock,
		Executor:       p.executor,
		Post:           post,
		Catalogue:      p.catalogue.Load,
		HasUpstreams:   p.upstreamsKnown.Load,
		MaxConnections: p.settings.MaxConnections,
	})
	p.admin = admin.NewServer(p, p.metrics, p.journal)
}

// assembleClaimer creates the claimer. With the naive policy there is none.
func (p *Process) assembleClaimer() error {
	p.claimPeers = newClaimPeers(p.settings.Host, p.settings.Peer)
	if dispatch.Policy(p.settings.Policy) == dispatch.PolicyNaive {
		return nil
	}
	cfg := claim.DefaultConfig()
	cfg.Peers = p.claimPeers
	claimer, err := claim.New(cfg, p.store, p.log)
	p.claimer = claimer
	p.claimPeers.claimer = claimer
	return errors.Wrap(err, "assemble the claimer")
}

// assembleTransport creates the transport between hosts. Messages about claims
// go to claimPeers, all others to the control thread.
func (p *Process) assembleTransport() error {
	receive := func(from string, m wire.Message) {
		if !p.claimPeers.handleMessage(from, m) {
			p.loop.Post(router.MessageReceived{From: from, Message: m})
		}
	}
	dialer, err := p.settings.peerDialer()
	if err != nil {
		return err
	}
	transport, err := peer.New(peer.DefaultConfig(p.settings.Peer), dialer, receive, p.log)
	p.transport = transport
	p.claimPeers.sender = transport
	return errors.Wrap(err, "assemble the transport between hosts")
}

// actionGuard returns the guard that prevents actions from being run twice.
// With the naive policy there is none.
func (p *Process) actionGuard() traffic.ActionGuard {
	if p.claimer == nil {
		return nil
	}
	return &claimGuard{claimer: p.claimer, log: p.log}
}

// Status implements admin.Source. It fails if the control thread does not
// answer before the context ends.
func (p *Process) Status(ctx context.Context) (admin.Status, error) {
	st := admin.Status{Host: p.settings.Host, DataCentre: p.settings.DataCentre}
	ok := p.loop.Inspect(ctx, func(c *router.Core) {
		st.ConfigVersion = c.ConfigVersion()
		st.Ready = c.Ready()
		st.Draining = c.Leaving()
	})
	if !ok {
		return st, errors.New("read the status: the control thread did not answer")
	}
	return st, nil
}

// processDump is a snapshot of the whole process.
type processDump struct {
	router.Dump
	// ClaimsWaiting is the number of claims and outcomes that are not yet
	// written to the store.
	ClaimsWaiting int           `json:"claims_waiting"`
	Peers         []peer.Status `json:"peers"`
	PeerTraffic   peer.Counts   `json:"peer_traffic"`
}

// Dump implements admin.Source. It fails if the control thread does not answer
// before the context ends.
func (p *Process) Dump(ctx context.Context) (any, error) {
	var d processDump
	ok := p.loop.Inspect(ctx, func(c *router.Core) { d.Dump = c.Dump(p.clock.Now(), maxDumpEntries) })
	if !ok {
		return nil, errors.New("read the dump: the control thread did not answer")
	}
	if p.claimer != nil {
		d.ClaimsWaiting = p.claimer.Waiting()
	}
	d.Peers = p.transport.Peers()
	d.PeerTraffic = p.transport.Counts()
	return d, nil
}

// Interrupt stops the process in the same way as a signal. It may be called
// more than once.
func (p *Process) Interrupt() {
	p.interruptOnce.Do(func() { close(p.interrupted) })
}
