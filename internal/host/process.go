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
	// memberInterval is how often membership's clock advances.
	memberInterval = 100 * time.Millisecond
	// controlTimeout bounds a reservation or a cancel on an engine.
	controlTimeout = 2 * time.Second
	// dumpLimit bounds each list of a dump.
	dumpLimit = 1000
)

// Process is one entry host.
type Process struct {
	settings    Settings
	log         log.Interface
	clock       clock.Clock
	incarnation uint64

	loop     *Loop
	executor *traffic.Executor
	prober   *probe.Prober
	source   *source.Source
	peers    *peer.Transport
	store    *countingStore
	claimer  *claim.Claimer
	claims   *claimPeers
	engines  *engine.HTTPClient
	services *service.HTTPClient
	callers  *callers.Server
	admin    *admin.Server
	journal  *journal.Journal
	metrics  *telemetry.Registry

	catalogue atomic.Pointer[callers.Catalogue]
	hosts     atomic.Int64
	// listed says that the upstreams are known.
	listed  atomic.Bool
	drained chan struct{}
	// interrupted is closed when the process must stop by itself.
	interrupted   chan struct{}
	interruptOnce sync.Once
}

// New assembles a process from checked settings; Run starts it.
func New(s Settings, l log.Interface) (*Process, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	started := time.Now()
	p := &Process{
		settings:    s,
		log:         l,
		clock:       clock.Start(),
		incarnation: uint64(started.UnixMilli()),
		journal:     journal.New(s.JournalSize),
		metrics:     telemetry.New(),
		drained:     make(chan struct{}),
		interrupted: make(chan struct{}),
		engines:     engine.NewHTTPClient(httpcall.DefaultConfig()),
		services:    service.NewHTTPClient(httpcall.DefaultConfig()),
	}
	p.hosts.Store(1)
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
	p.source = source.New(p.store, func(e configuration.Event) { p.loop.Post(router.Configured{Event: e}) })
	if err := p.assembleClaims(); err != nil {
		return nil, err
	}
	p.assembleTraffic()
	return p, p.assemblePeers()
}

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
		Dispatch:       d,
		Membership:     m,
		Configuration:  configuration.DefaultConfig(s.Host, s.DataCentre, s.Seed),
		MemberInterval: memberInterval,
	}
}

func (p *Process) assembleTraffic() {
	post := func(e dispatch.Event) { p.loop.Post(router.Dispatched{Event: e}) }
	cfg := traffic.Config{
		Owner:          engine.Owner{Host: p.settings.Host, Incarnation: p.incarnation},
		SilenceTimeout: dispatch.DefaultConfig().SilenceTimeout,
		ControlTimeout: controlTimeout,
		Metrics:        p.metrics,
	}
	p.executor = traffic.NewExecutor(cfg, p.clock, p.engines, p.services, p.guard(), post)
	hosts := func() int { return int(p.hosts.Load()) }
	p.prober = probe.New(probe.DefaultConfig(), p.clock, p.engines, p.services, post, hosts)
	p.callers = callers.NewServer(callers.Config{
		Host:           p.settings.Host,
		Incarnation:    p.incarnation,
		Clock:          p.clock,
		Executor:       p.executor,
		Post:           post,
		Catalogue:      p.catalogue.Load,
		HasUpstreams:   p.listed.Load,
		MaxConnections: p.settings.MaxConnections,
	})
	p.admin = admin.NewServer(p, p.metrics, p.journal)
}

// assembleClaims makes the claimer; the naive policy has none.
func (p *Process) assembleClaims() error {
	p.claims = newClaimPeers(p.settings.Host, p.settings.Peer)
	if dispatch.Policy(p.settings.Policy) == dispatch.PolicyNaive {
		return nil
	}
	cfg := claim.DefaultConfig()
	cfg.Peers = p.claims
	claimer, err := claim.New(cfg, p.store, p.log)
	p.claimer = claimer
	p.claims.claimer = claimer
	return errors.Wrap(err, "assemble the claims")
}

func (p *Process) assemblePeers() error {
	received := func(from string, m wire.Message) {
		if !p.claims.receive(from, m) {
			p.loop.Post(router.PeerReceived{From: from, Message: m})
		}
	}
	dialer, err := p.settings.peerDialer()
	if err != nil {
		return err
	}
	transport, err := peer.New(peer.DefaultConfig(p.settings.Peer), dialer, received, p.log)
	p.peers = transport
	p.claims.sender = transport
	return errors.Wrap(err, "assemble the transport between hosts")
}

// guard returns what keeps actions from being repeated; the naive policy has none.
func (p *Process) guard() traffic.ActionGuard {
	if p.claimer == nil {
		return nil
	}
	return &claimGuard{claimer: p.claimer, log: p.log}
}

// Status implements admin.Source.
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
	// ClaimsWaiting counts claims and outcomes that the store does not have yet.
	ClaimsWaiting int           `json:"claims_waiting"`
	Peers         []peer.Status `json:"peers"`
	PeerTraffic   peer.Counts   `json:"peer_traffic"`
}

// Dump implements admin.Source.
func (p *Process) Dump(ctx context.Context) (any, error) {
	var d processDump
	ok := p.loop.Inspect(ctx, func(c *router.Core) { d.Dump = c.Dump(p.clock.Now(), dumpLimit) })
	if !ok {
		return nil, errors.New("read the dump: the control thread did not answer")
	}
	if p.claimer != nil {
		d.ClaimsWaiting = p.claimer.Waiting()
	}
	d.Peers = p.peers.Peers()
	d.PeerTraffic = p.peers.Counts()
	return d, nil
}

// Interrupt makes the process stop as a signal would.
func (p *Process) Interrupt() {
	p.interruptOnce.Do(func() { close(p.interrupted) })
}
