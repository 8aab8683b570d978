package balance

import (
	"sort"
	"time"
)

// enqueue lets a request wait for room, or refuses it when none will come.
func (c *Core) enqueue(r *request, now time.Duration) {
	if code := c.hopeless(r); code != "" {
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
	sort.SliceStable(c.waiting, func(i, j int) bool { return c.before(c.waiting[i], c.waiting[j]) })
}

// before is the order of service: by priority, then by the objective's end, so
// that a long prompt that has waited goes ahead of later short ones.
func (c *Core) before(a, b *request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrived+a.Route.Target < b.arrived+b.Route.Target
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
	var still []*request
	for _, r := range queue {
		switch {
		case r.Deadline-now < minLeft || now-r.queuedAt > maxWait:
			r.lastCode = CodeOverloaded
			c.end(r, now)
		case now < r.notBefore:
			still = append(still, r)
		default:
			if p := c.place(r, now); p != nil {
				c.start(r, p, now)
			} else {
				still = append(still, r)
			}
		}
	}
	c.waiting = append(still, c.waiting...)
}

// refuse answers a request that was not run.
func (c *Core) refuse(r *request, code Code, now time.Duration) {
	delete(c.requests, r.Number)
	c.emit(Refuse{
		Number: r.Number, Code: code, RetryAfter: c.retryAfter(r, code, now),
		Waited: now - r.queuedAt, Queued: len(c.waiting),
	})
}

// retryAfter is when coming back can help: when the queue ahead is expected to
// be served, at the pace of one request per slot and mean answer.
func (c *Core) retryAfter(r *request, code Code, now time.Duration) time.Duration {
	switch code {
	case CodeTooLarge:
		return 0
	case CodeNoUpstream:
		return emptyRetryAfter
	}
	soonest := maxRetryAfter
	if g := c.groups[r.Service]; g != nil {
		for _, u := range g.upstreams {
			if u.Leaving {
				continue
			}
			soonest = min(soonest, max(u.backlog(now), u.avoidUntil-now))
		}
	}
	return min(maxRetryAfter, max(minRetryAfter, soonest))
}
