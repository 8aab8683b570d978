package balance

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// enqueue lets a request wait for room, or refuses it when none will come.
func (c *Core) enqueue(r *request, now time.Duration) {
	code := c.hopeless(r, now)
	if code == "" && c.unreachable(r, now) {
		code = CodeUpstreamsUnreachable
	}
	if code != "" {
		r.lastCode = code
		c.end(r, now)
		return
	}
	if len(c.waiting) >= maxQueue {
		r.lastCode = CodeOverloaded
		c.end(r, now)
		return
	}
	c.waiting = append(c.waiting, r)
}

// before is the order of service: by priority; then those that can still be
// in time, the latest first, since serving those about to be late would make
// all late in turn; then those that are late, the oldest first.
func before(a, b *request, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	aLate, bLate := a.late(now), b.late(now)
	if aLate != bLate {
		return bLate
	}
	if aLate {
		return a.arrived < b.arrived
	}
	return a.arrived > b.arrived
}

// late says whether a request can hardly meet its objective any more, given
// the part of it that serving takes even without waiting.
func (r *request) late(now time.Duration) bool {
	return now > r.arrived+time.Duration(waitPart*float64(r.Route.TargetLatency))
}

// refusedAt is when a waiting request is refused: before its caller leaves.
func (c *Core) refusedAt(r *request) time.Duration {
	at := r.Deadline - c.leastService(r)
	if r.Route.Kind == route.Stream {
		at = min(at, r.arrived+borne(r.Route)-waitMargin)
	}
	if r.harmful {
		at = min(at, r.arrived+time.Duration(holdPart*float64(borne(r.Route))))
	}
	return at
}

// placeNow chooses upstreams for a request unless placing it would harm the
// others more than it gains. Such a request waits, and is refused after
// holdPart of the time that its caller bears. This answers bursts of long
// prompts, each of which would make the short streams of all servers late.
func (c *Core) placeNow(r *request, now time.Duration) *plan {
	p := c.place(r, now)
	r.harmful = p != nil && r.Route.Kind == route.Stream && p.harm > holdCost*r.weight
	if r.harmful {
		return nil
	}
	return p
}

func (c *Core) unqueue(r *request) {
	for i, waiting := range c.waiting {
		if waiting == r {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// serveWaiting places what has room now and refuses what waited too long. A
// request that does not fit does not hold up the ones behind it.
func (c *Core) serveWaiting(now time.Duration) {
	queue := c.waiting
	c.waiting = nil
	sort.SliceStable(queue, func(i, j int) bool { return before(queue[i], queue[j], now) })
	var still []*request
	for _, r := range queue {
		switch {
		case now > c.refusedAt(r):
			r.lastCode = CodeOverloaded
			c.end(r, now)
		case now < r.notBefore:
			still = append(still, r)
		default:
			if p := c.placeNow(r, now); p != nil {
				c.start(r, p, now)
			} else {
				still = append(still, r)
			}
		}
	}
	c.waiting = append(still, c.waiting...)
}

// unreachable says whether no server of the request's service can be reached
// from this host. Another host may reach them, so the caller is told at once.
func (c *Core) unreachable(r *request, now time.Duration) bool {
	for _, u := range c.groups[r.Service].upstreams {
		if !u.Draining && !c.cut(u, now) {
			return false
		}
	}
	return true
}

// cut says whether an upstream counts as out of reach.
func (c *Core) cut(u *upstream, now time.Duration) bool {
	return u.backoff > 0 && now < u.avoidUntil || now < c.site(u.DataCentre).avoidUntil
}

// Isolated says whether this host reaches no upstream at all.
func (c *Core) Isolated(now time.Duration) bool {
	for _, u := range c.upstreams {
		if !c.cut(u, now) {
			return false
		}
	}
	return len(c.upstreams) > 0
}

// refuse answers a request that was not run.
func (c *Core) refuse(r *request, code ErrorCode, now time.Duration) {
	delete(c.requests, r.RequestNumber)
	c.emit(Refuse{
		RequestNumber: r.RequestNumber, Code: code, RetryAfter: c.retryAfter(r, code, now),
		QueueTime: now - r.queuedAt, QueueLength: len(c.waiting),
	})
}

// retryAfter is when coming back can help: when the reading ahead is done, and
// not sooner than the time for which there was no room, which is the best
// estimate of how long there will be none.
func (c *Core) retryAfter(r *request, code ErrorCode, now time.Duration) time.Duration {
	switch code {
	case CodePromptTooLarge, CodeTooLate:
		return 0
	case CodeNoUpstream:
		return emptyRetryAfter
	case CodeUpstreamsUnreachable:
		return minRetryAfter
	}
	soonest := maxRetryAfter
	if g := c.groups[r.Service]; g != nil {
		for _, u := range g.upstreams {
			if u.Draining {
				continue
			}
			soonest = min(soonest, max(u.backlog(now), u.avoidUntil-now))
		}
	}
	return min(maxRetryAfter, max(minRetryAfter, soonest, now-r.queuedAt))
}
