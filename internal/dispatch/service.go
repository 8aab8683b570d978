package dispatch

import "time"

// admitServiceCall admits a call to a plain service and sends it at once, or
// refuses it.
func (c *Core) admitServiceCall(now time.Duration, r *request) {
	if c.leastBusy(r.Service) == nil {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	if now+c.cfg.FinishMargin >= r.Deadline {
		c.emit(Refuse{ID: r.ID, Code: CodeLimitTooTight})
		return
	}
	c.registerRequest(r)
	c.retries.creditAdmission(c.cfg.RetryShare, c.cfg.RetryBurst)
	c.emit(Admit{ID: r.ID})
	c.startCall(now, r)
}

// startCall starts an attempt on the least busy upstream of the service.
func (c *Core) startCall(now time.Duration, r *request) {
	u := c.leastBusy(r.Service)
	if u == nil {
		c.fail(now, r, CodeNoUpstream, minRetryAfter)
		return
	}
	r.attempt++
	r.phase = phaseCalling
	r.group = append(r.group[:0], u)
	r.memberLoads = append(r.memberLoads[:0], memberLoad{})
	u.ownRequests++
	c.emit(Call{ID: r.ID, Attempt: r.attempt, Upstream: u.name, Address: u.address, Deadline: r.Deadline})
}

// leastBusy draws one of the usable upstreams of a service with the fewest
// calls of this host in flight. Upstreams of other data centres are used only
// if there is none in this one. It returns nil if there is none at all.
func (c *Core) leastBusy(service string) *upstream {
	candidates := c.leastBusyIn(service, true)
	if len(candidates) == 0 {
		candidates = c.leastBusyIn(service, false)
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[c.rng.IntN(len(candidates))]
}

// leastBusyIn returns the usable upstreams of a service with the fewest calls
// of this host in flight, from this data centre if local is set, otherwise from
// the others.
func (c *Core) leastBusyIn(service string, local bool) []*upstream {
	var leastBusy []*upstream
	for _, u := range c.services {
		isLocal := u.dataCentre == c.cfg.DataCentre
		if u.service != service || !u.usable() || isLocal != local {
			continue
		}
		switch {
		case len(leastBusy) == 0 || u.ownRequests < leastBusy[0].ownRequests:
			leastBusy = append(leastBusy[:0], u)
		case u.ownRequests == leastBusy[0].ownRequests:
			leastBusy = append(leastBusy, u)
		}
	}
	return leastBusy
}
