package balance

import "time"

const (
	// departureMemory is how long it is remembered that a server which is no longer
	// registered had announced its end or asked for rest. Its registration may come back.
	departureMemory = 10 * time.Minute
	// restSpread is the part of the wait by which the times are spread at which callers
	// are told to come back when all servers rest.
	restSpread = 0.25
	// restElsewhereRisk is the probability of a refusal that is assumed for a server which
	// has asked another host for rest. With a higher one more load stays on the other
	// servers.
	restElsewhereRisk = 0.5
)

// departure is what a server had said that is no longer registered.
type departure struct {
	incarnation int64
	address     string
	intake      intake
	at          time.Duration
}

// handleAnswerNotice applies what a server said about itself in an answer to this host.
// It concerns the run of the server to which the request was sent, which may have been
// replaced in the meantime.
func (c *Core) handleAnswerNotice(e AnswerNotice, now time.Duration) {
	r := c.requestOfAttempt(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	for _, u := range r.members {
		if u.ID != e.Upstream {
			continue
		}
		if e.Leaving && !u.intake.leaving {
			u.intake.leaving = true
			c.emit(UpstreamLeaving{Upstream: u.ID, Incarnation: u.Incarnation})
		}
		if e.RestTime > 0 {
			if !u.intake.resting(now) {
				c.emit(UpstreamResting{Upstream: u.ID, Incarnation: u.Incarnation, RestTime: e.RestTime, RequestID: r.ID})
			}
			u.intake.rest(e.RestTime, now)
		}
		c.setCold(u, now+e.ColdTime, ColdAnswered, "", now)
	}
}

// handleRestReported records that a server has asked another host for rest.
func (c *Core) handleRestReported(e RestReported, now time.Duration) {
	if u := c.upstreams[e.Upstream]; u != nil && u.Incarnation == e.Incarnation {
		u.intake.restElsewhereUntil = max(u.intake.restElsewhereUntil, now+e.RestTime)
	}
}

// handleLeavingReported records that a server has announced its end to another host.
func (c *Core) handleLeavingReported(e LeavingReported) {
	u := c.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation || u.intake.leaving {
		return
	}
	u.intake.leaving = true
	c.emit(UpstreamLeaving{Upstream: u.ID, Incarnation: u.Incarnation, Host: e.Host})
}

// failureRisk returns the expected probability that the next request fails or is refused.
func (u *upstream) failureRisk(now time.Duration) float64 {
	risk := u.failureShare(now)
	if now < u.intake.restElsewhereUntil {
		risk += restElsewhereRisk
	}
	return min(1, risk)
}

// accepting reports whether a server takes new requests at all.
func (u *upstream) accepting() bool { return !u.Draining && !u.intake.leaving }

// rememberDepartures keeps what the servers have said that the next list lacks.
func (c *Core) rememberDepartures(next map[string]*upstream, now time.Duration) {
	for id, d := range c.departures {
		if now-d.at > departureMemory {
			delete(c.departures, id)
		}
	}
	for id, u := range c.upstreams {
		if next[id] == nil && u.intake.bindsBeyondRegistration(now) {
			c.departures[id] = departure{incarnation: u.Incarnation, address: u.Address, intake: u.intake, at: now}
		}
	}
}

// newUpstream returns the state of a server that was not registered before, with what it
// had said if it is the same run of one that was.
func (c *Core) newUpstream(registration Upstream) *upstream {
	u := &upstream{}
	if d, known := c.departures[registration.ID]; known && d.incarnation == registration.Incarnation && d.address == registration.Address {
		u.intake = d.intake
	}
	delete(c.departures, registration.ID)
	return u
}

// restEnd returns when the first server ends its rest that may serve a request, if all of
// them rest.
func (c *Core) restEnd(r *request, now time.Duration) (end time.Duration, allRest bool) {
	for _, u := range c.upstreamsOf(r.Service) {
		switch {
		case c.barred(u, r) != "":
		case !u.intake.resting(now):
			return 0, false
		case !allRest || u.intake.restUntil < end:
			end, allRest = u.intake.restUntil, true
		}
	}
	return end, allRest
}

// restsTooLong reports whether all servers rest for longer than a request can wait and
// still be in time.
func (c *Core) restsTooLong(r *request, now time.Duration) bool {
	end, allRest := c.restEnd(r, now)
	latest := r.arrivedAt + time.Duration(maxWaitShare*float64(r.Route.TargetLatency))
	return allRest && end > min(latest, c.refusalTime(r))
}

// mayStillBeSent reports whether the members of a plan are still registered and take the
// request, after the time for which their memory was being reserved. Cold servers are never
// members of such a plan.
func (c *Core) mayStillBeSent(r *request, p *plan, now time.Duration) bool {
	for i, u := range p.members {
		if c.upstreams[u.ID] != u || c.barred(u, r) != "" || c.isCold(u, now) || i == 0 && u.intake.resting(now) {
			return false
		}
	}
	return true
}
