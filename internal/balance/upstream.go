package balance

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/route"
)

// upstream is what the core knows about one registered server.
type upstream struct {
	Upstream
	ledger
	// engine describes the server if it is a model server, otherwise nil.
	engine *route.Engine
	// position is the upstream's place in the order of its service, from 0 to
	// 1.
	position float64

	health
	intake intake
	warmth warmth
}

// health summarises what requests have shown about an upstream.
type health struct {
	// requests and failures are the numbers of requests and failures seen,
	// weighted by their age.
	requests, failures float64
	// decayedAt is the time at which requests and failures were last decayed.
	decayedAt time.Duration
	// avoidUntil is the time until which the upstream is avoided: no new
	// request is sent to it. backoff is the length of the last such pause after
	// a failed connection; 0 after a success.
	avoidUntil time.Duration
	backoff    time.Duration
	// answeredAt is when an answer of the upstream to any host last began or ended, brokenAt
	// when it last broke a connection of this host or took none. crashedAt is when it last
	// broke one that showed its crash.
	answeredAt, brokenAt, crashedAt time.Duration
}

// recordBroken records that the upstream has broken the connection for a request that was
// sent at the given time. It reports whether that shows a crash since then: the upstream had
// answered lately and broken no connection after that. Later ones may just meet what is in
// front of a dead server.
func (h *health) recordBroken(sentAt, now time.Duration) bool {
	if h.answeredAt > h.brokenAt && now-h.answeredAt <= maxAnswerAgeOfAlive {
		h.crashedAt = now
	}
	h.brokenAt = now
	return h.crashedAt > 0 && h.crashedAt >= sentAt
}

// decay reduces the counts according to the time since they were last decayed.
func (h *health) decay(now time.Duration) {
	if now <= h.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now-h.decayedAt) / float64(healthHalfLife))
	h.requests *= factor
	h.failures *= factor
	h.decayedAt = now
}

// failureShare returns the expected probability that the next request fails,
// from 0 to 1.
func (h *health) failureShare(now time.Duration) float64 {
	h.decay(now)
	return (h.failures + priorFailures) / (h.requests + priorRequests)
}

// recordSuccess records an answer, after which the upstream is no longer
// avoided.
func (h *health) recordSuccess(now time.Duration) {
	h.decay(now)
	h.requests++
	h.answeredAt = now
	h.backoff = 0
	h.avoidUntil = min(h.avoidUntil, now)
}

// noResponseWeight is the number of failures that a request without any
// response counts as: it costs its caller a whole time limit and not only a
// retry.
const noResponseWeight = 3

// recordFailure records a failure and reports whether it shows the upstream to
// be in trouble, so that it is avoided. After a refusal for lack of capacity
// the upstream is avoided only for noCapacityBackoff, and the result is false.
func (h *health) recordFailure(class FailureClass, now time.Duration) bool {
	h.decay(now)
	switch class {
	case FailureNoCapacity:
		h.avoidUntil = max(h.avoidUntil, now+noCapacityBackoff)
		return false
	case FailureServerReplaced:
		h.avoidUntil = now + serverReplacedBackoff
		return true
	case FailureNotConnected:
		h.brokenAt = now
		h.backoff = min(maxBackoff, max(firstBackoff, 2*h.backoff))
		h.avoidUntil = now + h.backoff
		return true
	case FailureNoResponse:
		h.requests += noResponseWeight
		h.failures += noResponseWeight
		return false
	default:
		h.requests++
		h.failures++
		return false
	}
}

// avoided reports whether requests have shown the upstream to be in trouble, so that no new
// ones are sent there.
func (h *health) avoided(now time.Duration) bool { return now < h.avoidUntil }

// servicePool holds the upstreams of one service, in an order that all hosts
// agree on, and the rate at which other hosts start requests there.
type servicePool struct {
	service   *route.Service
	upstreams []*upstream
	// open is the number of upstreams in service.
	open int
	// slowness is how much slower cold servers were than predicted.
	slowness coldSlowness

	startRate
}

// sortUpstreams sorts the upstreams by a hash of their ids, so that all hosts
// agree on their positions.
func (pool *servicePool) sortUpstreams() {
	hash := func(u *upstream) uint64 { return xxhash.Sum64String(u.ID) }
	sort.Slice(pool.upstreams, func(i, j int) bool { return hash(pool.upstreams[i]) < hash(pool.upstreams[j]) })
	for i, u := range pool.upstreams {
		u.position = float64(i) / float64(max(1, len(pool.upstreams)-1))
	}
}

// setUpstreams replaces the registered servers by a new list, and keeps what is
// known about the servers that are still there. A server with a new incarnation
// or address counts as new.
func (c *Core) setUpstreams(list []Upstream, now time.Duration) {
	next := make(map[string]*upstream, len(list))
	for _, pool := range c.servicePools {
		pool.upstreams = nil
	}
	for _, registration := range list {
		u := c.upstreams[registration.ID]
		isNewRun := u == nil || u.Incarnation != registration.Incarnation || u.Address != registration.Address
		if isNewRun {
			u = c.newUpstream(registration)
		}
		u.Upstream = registration
		next[registration.ID] = u
		pool := c.servicePool(registration.Service)
		pool.upstreams = append(pool.upstreams, u)
		if pool.service != nil {
			u.engine = pool.service.Engine
		}
		c.applyRegisteredWarmth(u, isNewRun, now)
	}
	c.upstreamsKnown = c.upstreamsKnown || len(list) > 0
	c.rememberDepartures(next, now)
	c.forgetWorkOfReplaced(next)
	c.upstreams = next
	c.updateDataCentres()
	c.sortPools()
	c.countOpen()
}

// setServices replaces the declared services.
func (c *Core) setServices(services []*route.Service, now time.Duration) {
	for _, pool := range c.servicePools {
		pool.service = nil
	}
	for _, s := range services {
		pool := c.servicePool(s.Name)
		pool.service = s
		for _, u := range pool.upstreams {
			u.engine = s.Engine
			u.warmth.shareVersion = 0
			// The registration may have come before the service was declared.
			c.applyRegisteredWarmth(u, false, now)
		}
	}
}

// servicePool returns the pool of a service, which it creates if necessary.
func (c *Core) servicePool(service string) *servicePool {
	pool := c.servicePools[service]
	if pool == nil {
		pool = &servicePool{}
		c.servicePools[service] = pool
	}
	return pool
}

// upstreamsOf returns the upstreams of a service; none if the service is not known. A
// request may name a service that the configuration no longer has.
func (c *Core) upstreamsOf(service string) []*upstream {
	if pool := c.servicePools[service]; pool != nil {
		return pool.upstreams
	}
	return nil
}

// isRetired reports whether the configuration no longer has a service and none of its
// servers takes requests.
func (c *Core) isRetired(service string) bool {
	if pool := c.servicePools[service]; pool != nil && pool.service != nil {
		return false
	}
	return !slices.ContainsFunc(c.upstreamsOf(service), (*upstream).accepting)
}

// sortPools sorts the upstreams of every service, and removes services that
// are neither declared nor have upstreams.
func (c *Core) sortPools() {
	for name, pool := range c.servicePools {
		if len(pool.upstreams) == 0 && pool.service == nil {
			delete(c.servicePools, name)
			continue
		}
		pool.sortUpstreams()
	}
}

// recordOutcome records how an attempt of this host, sent at the given time, ended on
// an upstream. The class is empty for a whole answer.
func (c *Core) recordOutcome(u *upstream, class FailureClass, sentAt, now time.Duration) {
	switch class {
	case FailureNotConnected:
		c.recordUnreachable(u, now)
	case FailureNoResponse, FailureCallerLeft:
	case FailureAnswerLost, FailureServerReplaced:
		c.recordReached(u, sentAt)
	default:
		c.recordAnswered(u, sentAt, now)
	}
	if class == "" {
		u.recordSuccess(now)
		return
	}
	c.recordFailure(u, class, now)
}

// recordReportedOutcome records how an attempt of another host ended. Whether that
// host could connect says nothing about the paths of this one: it may be cut off
// itself. A failure to connect only makes the upstream less preferred.
func (c *Core) recordReportedOutcome(u *upstream, class FailureClass, now time.Duration) {
	switch class {
	case "", FailureNotConnected:
		u.decay(now)
		u.requests++
		if class != "" {
			u.failures++
		} else {
			u.answeredAt = now
		}
	default:
		c.recordFailure(u, class, now)
	}
}

// recordFailure records a failure against an upstream, and reports it if the upstream
// is avoided from now on.
func (c *Core) recordFailure(u *upstream, class FailureClass, now time.Duration) {
	if u.recordFailure(class, now) {
		c.emit(UpstreamStateChanged{
			Upstream: u.ID, State: "passed over", Cause: string(class),
			FailureShare: u.failureShare(now), RequestsSeen: u.requests,
		})
	}
}
