package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Core is the reducer that the package comment describes, together with the
// contract that its caller must keep.
type Core struct {
	cfg Config
	rng *rand.Rand
	// effects collects the effects of the current Step; the next Step reuses
	// it.
	effects []Effect

	requests  map[string]*request
	deadlines deadlineHeap
	queue     queue

	upstreams map[string]*upstream
	// engines and services are ordered by name.
	engines  []*upstream
	services []*upstream

	// peerHosts holds the other hosts of this data centre by name.
	peerHosts map[string]peerHost
	// incarnations lists every incarnation number that this process has used.
	incarnations  []uint64
	organisations map[string]*organisationUsage
	// totalActiveShare is the sum of the shares of the organisations that have
	// requests in flight.
	totalActiveShare float64
	// candidateSets caches the candidate engines of each model until an
	// upstream changes.
	candidateSets map[string]candidateSet
	cancels       cancelTable
	retries       retryBudget
	demand        demandEstimator
	// nonLongMemory is the KV memory, in tokens, that this host's own requests
	// hold, without the requests of sizeLong.
	nonLongMemory  int
	waitCorrection waitCorrection
	residency      residencyEstimator

	// passNeeded is set when an event may have made it possible to place a
	// waiting request; the next placement pass clears it.
	passNeeded bool
	draining   bool
	drained    bool
	// idleSince is when a stopping host was first seen without requests.
	idleSince time.Duration
	lastTick  time.Duration
	// nextReportAgeCheck is when the age of the engines' load reports is
	// checked next.
	nextReportAgeCheck time.Duration
	// lastPass is when the last placement pass ran.
	lastPass time.Duration
}

// New returns a core that knows no upstreams yet. It fails with the list of all
// parameters that are out of range.
func New(cfg Config) (*Core, error) {
	if err := cfg.validate().Err(); err != nil {
		return nil, errors.Wrap(err, "dispatch configuration")
	}
	return &Core{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		requests:      make(map[string]*request),
		upstreams:     make(map[string]*upstream),
		peerHosts:     make(map[string]peerHost),
		incarnations:  []uint64{cfg.Incarnation},
		organisations: make(map[string]*organisationUsage),
		candidateSets: make(map[string]candidateSet),
		cancels:       newCancelTable(),
		retries:       retryBudget{tokens: cfg.RetryBurst},
	}, nil
}

// Step applies one event that happened at the time now and returns the effects
// that the caller must carry out, in order. The slice is valid until the next
// call.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.effects = c.effects[:0]
	c.handleRequestEvent(now, ev)
	c.handleUpstreamEvent(now, ev)
	if c.passNeeded && c.passDue(now, ev) {
		c.passNeeded = false
		c.lastPass = now
		c.runPlacementPass(now)
	}
	c.checkDrained(now)
	return c.effects
}

// handleRequestEvent handles the events of requests, the passing of time, and
// the stop of the host.
func (c *Core) handleRequestEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Arrived:
		c.handleArrived(now, e)
	case FirstToken:
		c.handleFirstToken(now, e)
	case Finished:
		c.handleFinished(now, e)
	case AttemptFailed:
		c.handleAttemptFailed(now, e)
	case Stalled:
		c.handleStalled(now, e)
	case Reserved:
		c.handleReserved(now, e)
	case CallerGone:
		c.handleCallerGone(now, e)
	case Cancelled:
		c.cancels.handleCancelled(now, e)
	case Tick:
		c.handleTick(now)
	case Shutdown:
		c.draining = true
	}
}

// handleUpstreamEvent handles the events of upstreams and of other hosts.
func (c *Core) handleUpstreamEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case UpstreamListed:
		c.handleUpstreamListed(now, e)
	case UpstreamUnlisted:
		c.handleUpstreamUnlisted(e)
	case UpstreamLeaving:
		c.handleUpstreamLeaving(e.Name)
	case LoadReported:
		c.handleLoadReported(now, e)
	case HealthCheckFailed:
		c.handleHealthCheckFailed(e)
	case CacheReported:
		c.handleCacheReported(e)
	case PeerReported:
		c.handlePeerReported(e)
	case HostChanged:
		c.handleHostChanged(e)
	case HostReplaced:
		c.handleHostReplaced(e)
	case IncarnationRaised:
		c.incarnations = append(c.incarnations, e.Incarnation)
	case WorkListed:
		c.handleWorkListed(now, e)
	}
}

// passDue reports whether a placement pass over the queue is due now. An
// arrival is tried at once unless the queue is long. Other events that may have
// freed capacity are collected for Config.PassInterval, since a pass over a
// long queue costs more than the event that caused it.
func (c *Core) passDue(now time.Duration, ev Event) bool {
	if _, arrival := ev.(Arrived); arrival && len(c.queue.items) <= maxImmediatePassQueue {
		return true
	}
	return now >= c.lastPass+c.cfg.PassInterval
}

// maxImmediatePassQueue is the number of waiting requests up to which every
// arrival triggers a placement pass at once.
const maxImmediatePassQueue = 8

// runPlacementPass tries to start the waiting requests according to the policy.
func (c *Core) runPlacementPass(now time.Duration) {
	if c.cfg.Policy == PolicyNaive {
		c.startDueRetries(now)
		return
	}
	c.placeWaiting(now)
}

// emit appends an effect to those that the current Step returns.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// handleTick ends overdue requests, repeats unconfirmed cancels, suspects
// engines whose reports are too old, and ages the observed demand.
func (c *Core) handleTick(now time.Duration) {
	c.expireRequests(now)
	c.repeatCancels(now)
	c.suspectStaleReports(now)
	c.demand.age(now-c.lastTick, c.nonLongMemory)
	c.lastTick = now
	c.passNeeded = c.passNeeded || len(c.queue.items) > 0
}

// expireRequests fails every request whose deadline is at most
// Config.FinishMargin away.
func (c *Core) expireRequests(now time.Duration) {
	for len(c.deadlines) > 0 {
		r := c.deadlines[0]
		if r.Deadline-c.cfg.FinishMargin > now {
			return
		}
		c.fail(now, r, CodeTimeLimit, 0)
	}
}

// checkDrained emits Drained once a stopping host has no requests left and its
// cancels are confirmed, or Config.DrainCancels has passed. Cancels that an
// engine does not confirm in that time are left to the other hosts, which sweep
// the engines' work lists.
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

// sharingHosts returns the number of hosts that send to the same engines: this
// host and the other hosts of the data centre that are alive.
func (c *Core) sharingHosts() int {
	n := 1
	for _, h := range c.peerHosts {
		if h.state == HostAlive {
			n++
		}
	}
	return n
}
