package dispatch

import "time"

// arrivedCall admits a call to a plain service and sends it at once.
func (c *Core) arrivedCall(now time.Duration, r *request) {
	if c.leastBusy(r.Service) == nil {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	if now+c.cfg.FinishMargin >= r.Deadline {
		c.emit(Refuse{ID: r.ID, Code: CodeLimitTooTight})
		return
	}
	c.keep(r)
	c.retries.admitted(c.cfg.RetryShare, c.cfg.RetryBurst)
	c.emit(Admit{ID: r.ID})
	c.call(now, r)
}

// call starts an attempt on the least busy upstream of the service.
func (c *Core) call(now time.Duration, r *request) {
	u := c.leastBusy(r.Service)
	if u == nil {
		c.fail(now, r, CodeNoUpstream, minRetryAfter)
		return
	}
	r.attempt++
	r.phase = phaseCalling
	r.group = append(r.group[:0], u)
	r.charged = append(r.charged[:0], charge{})
	u.requests++
	c.emit(Call{ID: r.ID, Attempt: r.attempt, Upstream: u.name, Address: u.address, Deadline: r.Deadline})
}

// leastBusy draws among the usable upstreams of a service with the fewest own
// calls in flight, those of this data centre first.
func (c *Core) leastBusy(service string) *upstream {
	best := c.fewest(service, true)
	if len(best) == 0 {
		best = c.fewest(service, false)
	}
	if len(best) == 0 {
		return nil
	}
	return best[c.rng.IntN(len(best))]
}

func (c *Core) fewest(service string, near bool) []*upstream {
	var best []*upstream
	for _, u := range c.services {
		here := u.dataCentre == c.cfg.DataCentre
		if u.service != service || !u.usable() || here != near {
			continue
		}
		switch {
		case len(best) == 0 || u.requests < best[0].requests:
			best = append(best[:0], u)
		case u.requests == best[0].requests:
			best = append(best, u)
		}
	}
	return best
}
