package balance

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// enqueue lets a request wait for capacity, or refuses it if none can become
// free in time.
func (c *Core) enqueue(r *request, now time.Duration) {
	code := c.unservableReason(r, now)
	if code == "" && c.allUnreachable(r, now) {
		if c.forward(r, now) {
			return
		}
		code = CodeUpstreamsUnreachable
	}
	if code != "" {
		r.lastCode = code
		c.endRequest(r, now)
		return
	}
	if len(c.waiting) >= c.maxWaiting() || c.exceedsLimits(r, now) || c.restsTooLong(r, now) {
		r.lastCode = CodeOverloaded
		c.endRequest(r, now)
		return
	}
	r.waiting = true
	c.waiting = append(c.waiting, r)
}

// servedBefore reports whether request a is served before request b. Lower
// priority numbers come first, then requests that have come back as they were told. Among
// equals, requests that can still be in time
// come before those that are late. Of those in time the latest arrival comes first:
// serving first those that are about to be late would make all of them late one
// after the other. Of the late ones the oldest comes first.
func servedBefore(a, b *request, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.returned != b.returned {
		return a.returned
	}
	aLate, bLate := a.isLate(now), b.isLate(now)
	if aLate != bLate {
		return bLate
	}
	if aLate {
		return a.arrivedAt < b.arrivedAt
	}
	return a.arrivedAt > b.arrivedAt
}

// isLate reports whether a request can hardly meet its latency objective any
// more, given the part of the objective that serving takes even without
// waiting.
func (r *request) isLate(now time.Duration) bool {
	return now > r.arrivedAt+time.Duration(maxWaitShare*float64(r.Route.TargetLatency))
}

// refusalTime returns when a waiting request is refused, which is before its
// caller leaves.
func (c *Core) refusalTime(r *request) time.Duration {
	latest := r.Deadline - c.minServiceTime(r)
	if r.Route.Kind == route.Stream {
		latest = min(latest, r.cameAt+toleratedDelay(r.Route)-refusalMargin)
	}
	if r.tooCostly {
		latest = min(latest, r.arrivedAt+c.postponeTime(r))
	}
	return latest
}

// postponeTime returns how long after its arrival a request waits for a time at which it
// harms others less. One that may come back waits for one objective, and one that has come
// back until the second is over: what is served later makes others late for an answer that
// is late itself.
func (c *Core) postponeTime(r *request) time.Duration {
	switch {
	case r.returned:
		least := r.cameAt - r.arrivedAt + time.Duration(minReturnedWait*float64(r.Route.TargetLatency))
		return max(returnedObjectives*r.Route.TargetLatency, least)
	case r.competes():
		return r.Route.TargetLatency
	default:
		return time.Duration(postponeShare * float64(toleratedDelay(r.Route)))
	}
}

// placeOrPostpone chooses upstreams for a request, unless placing it would cost
// other requests more than fairness bears. Such a request waits, and is
// refused after postponeShare of the delay that its caller tolerates. This
// handles bursts of long prompts, each of which would make the short streams of
// all servers late.
func (c *Core) placeOrPostpone(r *request, now time.Duration) *plan {
	c.placementsTried++
	c.fairness.recordRequest(r, now)
	p := c.place(r, now)
	r.tooCostly = p != nil && r.Route.Kind == route.Stream && !c.fairness.bears(r, p.costToOthers, p.stallsStreams(now), c.budgetShare(), now)
	r.shortage, r.harm, r.harmLimit = "", 0, 0
	switch {
	case p == nil:
		r.shortage = c.shortageOf(r, now)
		return nil
	case r.tooCostly:
		r.shortage, r.harm, r.harmLimit = ShortageHarm, p.costToOthers/r.weight, c.fairness.harmLimit(r, now)
		return nil
	}
	c.fairness.recordPlacement(r, now)
	return p
}

// shortageOf returns what a request lacks for which no plan was found.
func (c *Core) shortageOf(r *request, now time.Duration) Shortage {
	candidates := c.candidates(r, now)
	for _, u := range candidates {
		if u.engine == nil || u.load().leaders < slotCount(u, u.engine) {
			return ShortageMemory
		}
	}
	if len(candidates) == 0 {
		return ShortageServers
	}
	return ShortageSlots
}

// removeFromQueue takes a request out of the queue if it waits there.
func (c *Core) removeFromQueue(r *request) {
	for i, waiting := range c.waiting {
		if waiting == r {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// serveWaiting places the requests for which there is capacity now, and refuses
// those that have waited too long. A request that does not fit does not hold up
// the ones behind it.
func (c *Core) serveWaiting(now time.Duration) {
	queue := c.waiting
	c.waiting = nil
	sort.SliceStable(queue, func(i, j int) bool { return servedBefore(queue[i], queue[j], now) })
	var remaining []*request
	pass := c.newPlacementPass(now)
	for _, r := range queue {
		closed := c.closedBy(r)
		switch {
		case c.isQuarantined(r, now) && !r.isTrial:
			r.lastCode = CodePromptQuarantined
			c.endRequest(r, now)
		case c.stopsBeforeAnswer(r, now):
			r.lastCode = CodeStopping
			c.endRequest(r, now)
		case c.isRetired(r.Service):
			r.lastCode = CodeNoUpstream
			c.endRequest(r, now)
		case closed != "" && closed != ExcludedLeaving:
			r.lastCode = codeOfExclusion(closed)
			c.endRequest(r, now)
		case now > c.refusalTime(r), c.restsTooLong(r, now):
			r.lastCode = CodeOverloaded
			c.endRequest(r, now)
		case c.isCutOffFrom(r) && c.allUnreachable(r, now):
			if !c.forward(r, now) {
				r.lastCode = CodeUpstreamsUnreachable
				c.endRequest(r, now)
			}
		case now < r.earliestRetry, c.awaitsCoordinator(r, now):
			remaining = append(remaining, r)
		default:
			if p := pass.place(r, now); p != nil {
				c.begin(r, p, now)
			} else {
				remaining = append(remaining, r)
			}
		}
	}
	c.waiting = append(remaining, c.waiting...)
}

// placementPass looks once through the waiting requests for those that can be placed.
//
// It answers the load of many events beside requests that wait for long: with hundreds of
// reports a second, placing a long prompt anew at each of them takes all the time of a
// slow host. There is a pass at most once in a TickInterval, and a request is not tried in
// a pass in which a shorter one of its service did not fit.
type placementPass struct {
	core *Core
	// due is set if requests are tried in this step at all.
	due bool
	// shortest holds the shortest prompt that did not fit, by service.
	shortest map[string]int
}

// newPlacementPass returns the pass of the current step.
func (c *Core) newPlacementPass(now time.Duration) *placementPass {
	due := c.ticking || now-c.lastPass >= TickInterval
	if due {
		c.lastPass = now
	}
	return &placementPass{core: c, due: due, shortest: make(map[string]int)}
}

// place returns a plan for a request; nil if it has to wait on.
func (p *placementPass) place(r *request, now time.Duration) *plan {
	shortest, known := p.shortest[r.Service]
	if !p.due || known && r.PromptTokens >= shortest {
		return nil
	}
	chosen := p.core.placeOrPostpone(r, now)
	if chosen == nil && len(r.tried) == 0 && r.Regions == nil && !r.asker.isRestricted() {
		p.shortest[r.Service] = r.PromptTokens
	}
	return chosen
}

// refuse gives the final answer to a request that was not executed.
func (c *Core) refuse(r *request, code ErrorCode, now time.Duration) {
	delete(c.requests, r.RequestNumber)
	refusal := Refuse{
		RequestNumber: r.RequestNumber, Code: code, RetryAfter: c.retryAfter(r, code, now), Returned: r.returned,
		QueueTime: now - r.queuedAt, QueueLength: len(c.waiting), Shortage: r.shortage, Harm: r.harm, HarmLimit: r.harmLimit,
		Excluded: c.excludedServers(r, now),
	}
	c.promiseReturn(r, code, refusal.RetryAfter, now)
	if verdicts, holdLeft := c.quarantinesOf(r, now); len(verdicts) > 0 && code == CodePromptQuarantined {
		refusal.QuarantinedPart, refusal.RetryAfter = verdicts[0].Part, max(minRetryAfter, holdLeft)
	}
	c.emit(refusal)
}

// retryAfter returns the time after which the caller of a refused request may
// usefully try again, or 0 if no wait can help. For lack of capacity that is
// when the first server has finished its prefill backlog and may get another
// request by the limit that it names, and not sooner than the time for which this
// request has waited. The time for which there was no capacity is the best estimate
// of how long there will be none. While all servers rest, it is a while after the first
// of them ends its rest, so that callers do not return at the same moment.
func (c *Core) retryAfter(r *request, code ErrorCode, now time.Duration) time.Duration {
	switch code {
	case CodePromptTooLarge, CodeTooLate:
		return 0
	case CodeNoUpstream:
		if c.isRetired(r.Service) {
			// The configuration that is in force has the service that answers instead.
			return minRetryAfter
		}
		return noUpstreamRetryAfter
	case CodeEvacuated, CodeNoRegion:
		return noUpstreamRetryAfter
	case CodeUpstreamsUnreachable:
		return minRetryAfter
	case CodeStopping:
		return StoppingRetryAfter
	}
	if end, allRest := c.restEnd(r, now); allRest {
		wait := max(minRetryAfter, end-now)
		return wait + time.Duration(restSpread*c.random.Float64()*float64(wait))
	}
	shortestWait := maxRetryAfter
	for _, u := range c.upstreamsOf(r.Service) {
		if c.barred(u, r) != "" {
			continue
		}
		shortestWait = min(shortestWait, max(u.backlog(now), u.avoidUntil-now, u.intake.admitsAt(now)-now, c.coldAdmitsAt(u, now)-now))
	}
	if r.competes() {
		return c.returnAfter(r, max(shortestWait, now-r.queuedAt), now)
	}
	return min(maxRetryAfter, max(minRetryAfter, shortestWait, now-r.queuedAt))
}
