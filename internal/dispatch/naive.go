package dispatch

import "time"

// arrivedNaive admits everything that a live engine could hold and sends it
// at once; it is the baseline that the default policy is measured against.
func (c *Core) arrivedNaive(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	f := c.fleet(now, engines)
	r.cost = c.estimate(r, &f, 0)
	r.key = now
	c.keep(r)
	c.emit(Admit{ID: r.ID})
	c.startNaive(now, r)
}

// startNaive picks random engines, as many as the prompt's memory needs.
func (c *Core) startNaive(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.fail(now, r, CodeNoUpstream, minRetryAfter)
		return
	}
	f := c.fleet(now, engines)
	least, _ := c.groupSize(r, &f)
	if least > len(engines) {
		c.fail(now, r, CodePromptTooLarge, 0)
		return
	}
	group := make([]*upstream, 0, least)
	for _, i := range c.rng.Perm(len(engines))[:least] {
		group = append(group, engines[i])
	}
	c.start(now, r, group)
}

// scheduleNaive starts every waiting retry whose back-off has passed.
func (c *Core) scheduleNaive(now time.Duration) {
	waiting := append([]*request(nil), c.queue.items...)
	for _, r := range waiting {
		if r.notBefore <= now {
			c.startNaive(now, r)
		}
	}
}
