package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Core is the reducer; see the package comment for its contract.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	effects []Effect

	requests  map[string]*request
	deadlines deadlineHeap
	queue     queue

	upstreams map[string]*upstream
	// engines and services are ordered by name.
	engines  []*upstream
	services []*upstream

	hosts map[string]peerHost
	// incarnations are those that this process has gone by.
	incarnations  []uint64
	organisations map[string]*organisation
	// activeShare sums the shares of the organisations that have work.
	activeShare float64
	// views caches the candidate engines by model until one of them changes.
	views   map[string]view
	cancels cancelTable
	retries retryBudget
	mix     mix
	// lightMemory is the memory of own requests that are not long, in tokens.
	lightMemory int
	waits       waitModel
	resident    residencyModel

	dirty    bool
	draining bool
	drained  bool
	// idleSince is when a stopping host's last request ended.
	idleSince time.Duration
	lastTick  time.Duration
	// nextSuspect is when the age of reports is looked at next.
	nextSuspect time.Duration
	// lastPass is when the queue was walked last.
	lastPass time.Duration
}

// New returns a core without upstreams.
func New(cfg Config) (*Core, error) {
	if err := cfg.validate().Err(); err != nil {
		return nil, errors.Wrap(err, "dispatch configuration")
	}
	return &Core{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		requests:      make(map[string]*request),
		upstreams:     make(map[string]*upstream),
		hosts:         make(map[string]peerHost),
		incarnations:  []uint64{cfg.Incarnation},
		organisations: make(map[string]*organisation),
		views:         make(map[string]view),
		cancels:       newCancelTable(),
		retries:       retryBudget{tokens: cfg.RetryBurst},
	}, nil
}

// Step takes one event and returns what must be done for it.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.effects = c.effects[:0]
	c.stepRequest(now, ev)
	c.stepUpstream(now, ev)
	if c.dirty && c.passDue(now, ev) {
		c.dirty = false
		c.lastPass = now
		c.reschedule(now)
	}
	c.checkDrained(now)
	return c.effects
}

// stepRequest handles the events of requests and of time.
func (c *Core) stepRequest(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Arrived:
		c.arrived(now, e)
	case FirstToken:
		c.firstToken(now, e)
	case Finished:
		c.finished(now, e)
	case AttemptFailed:
		c.attemptFailed(now, e)
	case Stalled:
		c.stalled(now, e)
	case Reserved:
		c.reserved(now, e)
	case CallerGone:
		c.callerGone(now, e)
	case Cancelled:
		c.cancels.answered(now, e)
	case Tick:
		c.tick(now)
	case Shutdown:
		c.draining = true
	}
}

// stepUpstream handles the events of upstreams and of other hosts.
func (c *Core) stepUpstream(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case UpstreamListed:
		c.upstreamListed(now, e)
	case UpstreamUnlisted:
		c.upstreamUnlisted(e)
	case UpstreamLeaving:
		c.upstreamLeaving(e.Name)
	case LoadReported:
		c.loadReported(now, e)
	case HealthCheckFailed:
		c.reportFailed(e)
	case CacheReported:
		c.cacheReported(e)
	case PeerReported:
		c.peerReported(e)
	case HostChanged:
		c.hostChanged(e)
	case HostReplaced:
		c.hostReplaced(e)
	case IncarnationRaised:
		c.incarnations = append(c.incarnations, e.Incarnation)
	case WorkListed:
		c.workListed(now, e)
	}
}

// passDue says whether the queue is to be walked now. An arrival is tried at
// once; what else may have made room is gathered for a moment, since a walk
// over a long queue costs more than the event that caused it.
func (c *Core) passDue(now time.Duration, ev Event) bool {
	if _, arrival := ev.(Arrived); arrival && len(c.queue.items) <= shortQueue {
		return true
	}
	return now >= c.lastPass+c.cfg.PassInterval
}

// shortQueue is the number of waiting requests up to which every arrival walks
// the queue at once.
const shortQueue = 8

func (c *Core) reschedule(now time.Duration) {
	if c.cfg.Policy == PolicyNaive {
		c.scheduleNaive(now)
		return
	}
	c.schedule(now)
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// tick ends overdue requests, repeats cancels, and ages beliefs.
func (c *Core) tick(now time.Duration) {
	c.expire(now)
	c.repeatCancels(now)
	c.suspectSilent(now)
	c.mix.age(now-c.lastTick, c.lightMemory)
	c.lastTick = now
	c.dirty = c.dirty || len(c.queue.items) > 0
}

// expire gives up every request whose time limit is near.
func (c *Core) expire(now time.Duration) {
	for len(c.deadlines) > 0 {
		r := c.deadlines[0]
		if r.Deadline-c.cfg.FinishMargin > now {
			return
		}
		c.fail(now, r, CodeTimeLimit, 0)
	}
}

// checkDrained ends a stopping host once its requests are over. Cancels that
// an engine does not confirm are left to the sweeps of the other hosts.
func (c *Core) checkDrained(now time.Duration) {
	if !c.draining || c.drained || len(c.requests) > 0 {
		return
	}
	if c.idleSince == 0 {
		c.idleSince = now
	}
	if c.cancels.len() > 0 && now < c.idleSince+c.cfg.DrainCancels {
		return
	}
	c.drained = true
	c.emit(Drained{})
}

// sharers is the number of hosts that send to the same engines, at least one.
func (c *Core) sharers() int {
	n := 1
	for _, h := range c.hosts {
		if h.state == HostAlive {
			n++
		}
	}
	return n
}
