package controller

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// jitterShare is the part of a wait that is drawn at random.
const jitterShare = 0.5

// LeaseCandidate is a candidate for the lease.
type LeaseCandidate interface {
	Step(now time.Duration, event lease.Event) []lease.Effect
	Holding(now time.Duration) (lease.Term, bool)
	Status(now time.Duration) lease.Status
}

// OrderPlanner decides the orders.
type OrderPlanner interface {
	Step(now time.Duration, event order.Event) []order.Effect
	InFlight() int
	Dump(now time.Duration, limit int) order.Dump
}

// Core is one controller. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	lease   LeaseCandidate
	order   OrderPlanner
	effects []Effect

	// passed is the term that the orders go by, if ordering.
	passed   lease.Term
	ordering bool
	held     bool

	version uint64
	// configurationAt is when the last successful read of it was sent.
	configurationAt time.Duration
	configured      bool
	configuration   errand
	hosts           errand
	candidates      int
	// entries is the length of the list of hosts.
	entries int

	stopping  bool
	releasing bool
	stopped   bool
}

// errand is something that is read again and again.
type errand struct {
	due    time.Duration
	inCall bool
	sent   time.Duration
}

// New returns a candidate.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configure the controller")
	}
	l, err := lease.New(cfg.Lease)
	if err != nil {
		return nil, err
	}
	o, err := order.New(cfg.Order)
	if err != nil {
		return nil, err
	}
	return NewWithCores(cfg, l, o), nil
}

// NewWithCores returns a candidate with other decisions, for comparisons.
func NewWithCores(cfg Config, l LeaseCandidate, o OrderPlanner) *Core {
	return &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Lease.Seed, 2)), lease: l, order: o, candidates: 1}
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case Tick:
		c.stepLease(now, lease.Tick{})
		c.stepOrder(now, order.Tick{})
	case LeaseEvent:
		c.stepLease(now, e.Event)
	case OrderEvent:
		c.stepOrder(now, e.Event)
	case HostsRead:
		c.hostsRead(now, e)
	case ConfigurationRead:
		c.configurationRead(now, e)
	case Shutdown:
		c.stopping = true
	}
	c.pass(now)
	c.read(now)
	c.stop(now)
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) stepLease(now time.Duration, e lease.Event) {
	for _, effect := range c.lease.Step(now, e) {
		if _, released := effect.(lease.Released); released {
			c.stopped = true
			c.emit(Stopped{})
			continue
		}
		c.emit(LeaseEffect{Effect: effect})
	}
}

// stepOrder steps the orders. A number seen on an engine that is above the
// holder's goes back to the lease.
func (c *Core) stepOrder(now time.Duration, e order.Event) {
	for _, effect := range c.order.Step(now, e) {
		c.emit(OrderEffect{Effect: effect})
		if o, ok := effect.(order.FencingOutdated); ok {
			c.stepLease(now, lease.RaiseFencing{Above: o.Fencing})
		}
	}
}

// pass tells the orders whether they may go on, and until when.
func (c *Core) pass(now time.Duration) {
	term, held := c.lease.Holding(now)
	if held && !c.held {
		c.configuration.due, c.hosts.due = now, now
	}
	c.held = held
	fresh := c.configured && now-c.configurationAt < c.cfg.FreshFor
	ordering := held && fresh && !c.stopping
	switch {
	case ordering && (!c.ordering || term != c.passed):
		c.passed, c.ordering = term, true
		c.stepOrder(now, order.Term{Fencing: term.Fencing, Until: term.Until})
	case !ordering && c.ordering:
		c.ordering = false
		c.stepOrder(now, order.TermEnded{})
	}
}

// read asks for the list of hosts, and as holder for the configuration.
func (c *Core) read(now time.Duration) {
	if c.stopping {
		return
	}
	if !c.hosts.inCall && now >= c.hosts.due {
		c.hosts = errand{inCall: true, sent: now}
		c.emit(ReadHosts{})
	}
	if c.held && !c.configuration.inCall && now >= c.configuration.due {
		c.configuration = errand{inCall: true, sent: now}
		c.emit(ReadConfiguration{Above: c.version, Wait: c.cfg.WatchWait})
	}
}

func (c *Core) hostsRead(now time.Duration, e HostsRead) {
	c.hosts = errand{due: now + c.jitter(c.hostsWait())}
	if e.Failed {
		return
	}
	var engines []order.Engine
	entries := 0
	for _, h := range e.Hosts {
		if h.DataCentre != c.cfg.DataCentre {
			continue
		}
		switch h.Role {
		case roleEngine:
			engines = append(engines, engineOf(h))
		case roleEntry:
			entries++
		}
	}
	c.candidates, c.entries = max(1, entries), len(e.Hosts)
	c.stepLease(now, lease.CandidatesCounted{Count: c.candidates})
	c.stepOrder(now, order.EnginesListed{Engines: engines})
}

// Roles of the platform's list of hosts.
const (
	roleEngine = "engine"
	roleEntry  = "entry"
)

func engineOf(h platform.Host) order.Engine {
	return order.Engine{Name: h.Name, Address: h.Address, Leaving: h.Leaving}
}

// hostsWait is the mean time between two reads of the list of hosts.
func (c *Core) hostsWait() time.Duration {
	if c.held {
		return max(c.cfg.HostsEvery, perSecond(c.entries, c.cfg.HolderEntries))
	}
	return max(c.cfg.HostsEvery, perSecond(c.entries, c.cfg.CandidateEntries), perSecond(c.candidates, c.cfg.CandidateReads))
}

// perSecond is the time that n take at a rate.
func perSecond(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// configurationRead takes a configuration whose version is above the one that
// this process goes by. One below it is no ground for orders.
func (c *Core) configurationRead(now time.Duration, e ConfigurationRead) {
	sent := c.configuration.sent
	c.configuration = errand{due: now}
	if e.Failed || e.Version < c.version || e.Version == 0 {
		c.configuration.due = now + c.jitter(c.cfg.RetryEvery)
		return
	}
	if e.Configuration != nil && e.Version > c.version {
		c.version = e.Version
		c.emit(ConfigurationApplied{Version: e.Version})
		c.stepOrder(now, order.DesiredStateChanged{Desired: order.DesiredStateFor(c.cfg.DataCentre, e.Version, *e.Configuration)})
	}
	c.configured, c.configurationAt = true, sent
}

// stop gives the lease up once no order is in flight.
func (c *Core) stop(now time.Duration) {
	if !c.stopping || c.releasing || c.stopped || c.order.InFlight() > 0 {
		return
	}
	c.releasing = true
	c.stepLease(now, lease.Release{})
}

// jitter draws a time around the mean given.
func (c *Core) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}
