package controller

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// jitterShare is the largest deviation of a random wait from its mean, as a
// share of the mean.
const jitterShare = 0.5

// LeaseCandidate is a candidate for the lease, such as lease.Core.
type LeaseCandidate interface {
	Step(now time.Duration, event lease.Event) []lease.Effect
	Holding(now time.Duration) (lease.Term, bool)
	Status(now time.Duration) lease.Status
}

// OrderPlanner plans the orders to the engines, such as order.Core.
type OrderPlanner interface {
	Step(now time.Duration, event order.Event) []order.Effect
	InFlight() int
	Dump(now time.Duration, limit int) order.Dump
}

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	lease   LeaseCandidate
	order   OrderPlanner
	effects []Effect

	// orderTerm is the term that was last passed to the order planner; ordering
	// reports that the planner may give orders in it.
	orderTerm lease.Term
	ordering  bool
	// leaseHeld reports whether the lease was held at the last step.
	leaseHeld bool

	// configurationVersion is the version of the configuration that the orders
	// follow.
	configurationVersion uint64
	// configurationSentAt is the time at which the last successful read of the
	// configuration was sent; configurationKnown reports that there was one.
	configurationSentAt time.Duration
	configurationKnown  bool
	configurationPoll   poll
	hostsPoll           poll
	candidates          int
	// listedHosts is the length of the platform's list of hosts, over all data
	// centres.
	listedHosts int

	// stopping reports that a shutdown was requested, releasing that the
	// release of the lease has started, and stopped that it is complete.
	stopping  bool
	releasing bool
	stopped   bool
}

// poll is the schedule of something that is read repeatedly.
type poll struct {
	nextAt   time.Duration
	inFlight bool
	sentAt   time.Duration
}

// New returns a controller that is a candidate for the lease. It returns an
// error if the configuration is invalid.
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

// NewWithCores returns a controller with other implementations of the lease and
// the orders, for comparisons in tests.
func NewWithCores(cfg Config, l LeaseCandidate, o OrderPlanner) *Core {
	return &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Lease.Seed, 2)), lease: l, order: o, candidates: 1}
}

// Step applies one event at the time now and returns the effects that the
// caller has to carry out, in order.
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
		c.handleHostsRead(now, e)
	case ConfigurationRead:
		c.handleConfigurationRead(now, e)
	case Shutdown:
		c.stopping = true
	}
	c.updateOrderTerm(now)
	c.startDueReads(now)
	c.releaseLeaseWhenIdle(now)
	return c.effects
}

// emit adds an effect to the result of the current step.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// stepLease passes an event to the lease and emits the resulting effects. The
// Released effect becomes Stopped.
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

// stepOrder passes an event to the order planner and emits the resulting
// effects. If an engine has seen a fencing number above the holder's, it asks
// the lease for a higher one.
func (c *Core) stepOrder(now time.Duration, e order.Event) {
	for _, effect := range c.order.Step(now, e) {
		c.emit(OrderEffect{Effect: effect})
		if o, ok := effect.(order.FencingOutdated); ok {
			c.stepLease(now, lease.RaiseFencing{Above: o.Fencing})
		}
	}
}

// updateOrderTerm tells the order planner whether it may give orders, and until
// when. It may do so while the lease is held, the configuration was read
// recently and no shutdown is under way.
func (c *Core) updateOrderTerm(now time.Duration) {
	term, held := c.lease.Holding(now)
	if held && !c.leaseHeld {
		c.configurationPoll.nextAt, c.hostsPoll.nextAt = now, now
	}
	c.leaseHeld = held
	configurationFresh := c.configurationKnown && now-c.configurationSentAt < c.cfg.FreshFor
	ordering := held && configurationFresh && !c.stopping
	switch {
	case ordering && (!c.ordering || term != c.orderTerm):
		c.orderTerm, c.ordering = term, true
		c.stepOrder(now, order.Term{Fencing: term.Fencing, Until: term.Until})
	case !ordering && c.ordering:
		c.ordering = false
		c.stepOrder(now, order.TermEnded{})
	}
}

// startDueReads requests the list of hosts when it is due and, on the lease
// holder, also the configuration.
func (c *Core) startDueReads(now time.Duration) {
	if c.stopping {
		return
	}
	if !c.hostsPoll.inFlight && now >= c.hostsPoll.nextAt {
		c.hostsPoll = poll{inFlight: true, sentAt: now}
		c.emit(ReadHosts{})
	}
	if c.leaseHeld && !c.configurationPoll.inFlight && now >= c.configurationPoll.nextAt {
		c.configurationPoll = poll{inFlight: true, sentAt: now}
		c.emit(ReadConfiguration{Above: c.configurationVersion, Wait: c.cfg.WatchWait})
	}
}

// handleHostsRead passes the engines and the number of candidates from the list
// of hosts to the order planner and the lease.
func (c *Core) handleHostsRead(now time.Duration, e HostsRead) {
	c.hostsPoll = poll{nextAt: now + c.jittered(c.hostsPollInterval())}
	if e.Failed {
		return
	}
	var engines []order.Engine
	entryHosts := 0
	for _, h := range e.Hosts {
		if h.DataCentre != c.cfg.DataCentre {
			continue
		}
		switch h.Role {
		case roleEngine:
			engines = append(engines, engineOf(h))
		case roleEntry:
			entryHosts++
		}
	}
	c.candidates, c.listedHosts = max(1, entryHosts), len(e.Hosts)
	c.stepLease(now, lease.CandidatesCounted{Count: c.candidates})
	c.stepOrder(now, order.EnginesListed{Engines: engines})
}

// Roles in the platform's list of hosts. The entry hosts of a data centre run the
// candidates for its lease.
const (
	roleEngine = "engine"
	roleEntry  = "entry"
)

// engineOf converts an entry of the list of hosts to an engine.
func engineOf(h platform.Host) order.Engine {
	return order.Engine{Name: h.Name, Address: h.Address, Leaving: h.Leaving}
}

// hostsPollInterval returns the mean time between two reads of the list of
// hosts.
func (c *Core) hostsPollInterval() time.Duration {
	if c.leaseHeld {
		return max(c.cfg.HostsEvery, durationAtRate(c.listedHosts, c.cfg.HolderEntries))
	}
	return max(c.cfg.HostsEvery, durationAtRate(c.listedHosts, c.cfg.CandidateEntries), durationAtRate(c.candidates, c.cfg.CandidateReads))
}

// durationAtRate returns the time that n items take at a rate, in items a
// second.
func durationAtRate(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// handleConfigurationRead applies a configuration whose version is above the
// one that this process follows. An answer with a lower version counts as a
// failed read, so no orders are based on it.
func (c *Core) handleConfigurationRead(now time.Duration, e ConfigurationRead) {
	sent := c.configurationPoll.sentAt
	c.configurationPoll = poll{nextAt: now}
	if e.Failed || e.Version < c.configurationVersion || e.Version == 0 {
		c.configurationPoll.nextAt = now + c.jittered(c.cfg.RetryEvery)
		return
	}
	if e.Configuration != nil && e.Version > c.configurationVersion {
		c.configurationVersion = e.Version
		c.emit(ConfigurationApplied{Version: e.Version})
		c.stepOrder(now, order.DesiredStateChanged{Desired: order.DesiredStateFor(c.cfg.DataCentre, e.Version, *e.Configuration)})
	}
	c.configurationKnown, c.configurationSentAt = true, sent
}

// releaseLeaseWhenIdle starts the release of the lease during a shutdown, once
// no order is in flight.
func (c *Core) releaseLeaseWhenIdle(now time.Duration) {
	if !c.stopping || c.releasing || c.stopped || c.order.InFlight() > 0 {
		return
	}
	c.releasing = true
	c.stepLease(now, lease.Release{})
}

// jittered draws a random time around the given mean.
func (c *Core) jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}
