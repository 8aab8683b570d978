package dispatch

import "time"

// admitNaive admits every request to a model that some usable engine has loaded
// and starts it at once. This is the baseline that the default policy is
// measured against.
func (c *Core) admitNaive(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	f := c.sumFleet(now, engines)
	r.cost = c.estimateCost(r, &f, 0)
	r.virtualDeadline = now
	c.registerRequest(r)
	c.emit(Admit{ID: r.ID})
	c.startOnRandomEngines(now, r)
}

// startOnRandomEngines starts a request on random engines, on as many as the
// memory of its prompt needs.
func (c *Core) startOnRandomEngines(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.fail(now, r, CodeNoUpstream, minRetryAfter)
		return
	}
	f := c.sumFleet(now, engines)
	minSize, _ := c.groupSize(r, &f)
	if minSize > len(engines) {
		c.fail(now, r, CodePromptTooLarge, 0)
		return
	}
	group := make([]*upstream, 0, minSize)
	for _, i := range c.rng.Perm(len(engines))[:minSize] {
		group = append(group, engines[i])
	}
	c.startAttempt(now, r, group)
}

// startDueRetries starts every waiting request whose back-off has passed.
func (c *Core) startDueRetries(now time.Duration) {
	waiting := append([]*request(nil), c.queue.items...)
	for _, r := range waiting {
		if r.notBefore <= now {
			c.startOnRandomEngines(now, r)
		}
	}
}
