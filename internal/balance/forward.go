package balance

import "time"

const (
	// maxForwards is the number of hosts that a request is passed on to, one after the
	// other.
	maxForwards = 3
	// forwarderBackoff is how long a host is avoided that could not be reached, or that
	// refused a request which another host may serve.
	forwarderBackoff = time.Second
	// cutOffInterval is the time between two messages of a host that it is cut off, and
	// cutOffMemory how long one counts.
	cutOffInterval = time.Second
	cutOffMemory   = 2500 * time.Millisecond
	// replyTimeDivisor divides the time left to a request that is passed on; the result, at
	// most maxReplyTime, is kept for the other host's answer to come back.
	replyTimeDivisor = 8
	maxReplyTime     = 250 * time.Millisecond
)

// tellCutOff tells the other hosts when this one is cut off from all servers, again and
// again while it is, and when that ends.
func (c *Core) tellCutOff(now time.Duration) {
	cutOff := c.isCutOff()
	if c.otherHosts == 0 || cutOff == c.toldCutOff && (!cutOff || now-c.toldCutOffAt < cutOffInterval) {
		return
	}
	c.toldCutOff, c.toldCutOffAt = cutOff, now
	c.emit(BroadcastCutOff{CutOff: cutOff})
}

// handleHostCutOff records what another host tells of its paths.
func (c *Core) handleHostCutOff(e HostCutOff, now time.Duration) {
	if p := c.peers[e.Host]; p != nil {
		p.cutOffUntil = now
		if e.CutOff {
			p.cutOffUntil += cutOffMemory
		}
	}
}

// forwarder is another host to which requests can be passed on.
type forwarder struct {
	Forwarder
	// outstanding is the number of requests that the host has of this one.
	outstanding int
	// avoidUntil is the time until which it gets no more.
	avoidUntil time.Duration
}

// setForwarders replaces the hosts to which requests can be passed on, and keeps what
// is known of those that are still there.
func (c *Core) setForwarders(list []Forwarder) {
	known := make(map[Forwarder]*forwarder, len(c.forwarders))
	for _, f := range c.forwarders {
		known[f.Forwarder] = f
	}
	c.forwarders = nil
	for _, registered := range list {
		f := known[registered]
		if f == nil {
			f = &forwarder{Forwarder: registered}
		}
		c.forwarders = append(c.forwarders, f)
	}
}

// CanForward reports whether there is a host that reaches servers and to which this
// one can pass requests on.
func (c *Core) CanForward(now time.Duration) bool {
	return c.chooseForwarder(nil, now) != nil
}

// chooseForwarder returns the host to which a request is passed on next: one that is
// not cut off itself, in a region in which the request may be served, of this host's data
// centre if possible, with the fewest of this host's requests for its strength. It returns
// nil if there is none. The request may be nil.
func (c *Core) chooseForwarder(r *request, now time.Duration) *forwarder {
	var best *forwarder
	better := func(f *forwarder) bool {
		if best == nil {
			return true
		}
		near, bestNear := f.DataCentre == c.config.DataCentre, best.DataCentre == c.config.DataCentre
		if near != bestNear {
			return near
		}
		load, bestLoad := float64(f.outstanding+1)/f.Weight, float64(best.outstanding+1)/best.Weight
		return load < bestLoad || load == bestLoad && c.random.IntN(2) == 0
	}
	for _, f := range c.forwarders {
		p := c.peers[f.Host]
		usable := p != nil && now >= p.cutOffUntil && now-p.lastReceived <= maxPeerSilence && now >= f.avoidUntil
		if usable && (r == nil || !r.triedHosts[f.Host] && r.mayRunIn(f.Region)) && better(f) {
			best = f
		}
	}
	return best
}

// forward passes a request on to another host, and reports whether it did. A request
// that another host has passed on to this one stays here, so that none goes in circles,
// and so does one whose servers fail rather than the path to them.
func (c *Core) forward(r *request, now time.Duration) bool {
	if r.Forwarded || len(r.triedHosts) >= maxForwards || !c.isCutOffFrom(r) {
		return false
	}
	f := c.chooseForwarder(r, now)
	if f == nil {
		return false
	}
	if r.triedHosts == nil {
		r.triedHosts = make(map[string]bool)
	}
	c.withdrawQuery(r)
	r.triedHosts[f.Host] = true
	r.attempt++
	r.forwardedTo, r.sent, r.sentAt, r.waiting, r.firstPieceAt = f, true, now, false, 0
	f.outstanding++
	c.emit(Send{
		RequestNumber: r.RequestNumber, Attempt: r.attempt, Deadline: r.Deadline, ToHost: true, PriorRuns: r.possibleRuns,
		ReplyBy:        r.Deadline - min(maxReplyTime, (r.Deadline-now)/replyTimeDivisor),
		Members:        []Member{{Upstream: f.Host, Address: f.Address}},
		ConnectTimeout: min(maxConnectTimeout, (r.Deadline-now)/connectTimeoutDivisor),
	})
	return true
}

// endForward ends the current attempt of a request at another host, if there is one.
func (c *Core) endForward(r *request) {
	if r.forwardedTo != nil {
		r.forwardedTo.outstanding--
		r.forwardedTo = nil
	}
}

// handleForwardFailed continues a request that another host did not answer. What that
// host refused for its own sake is passed on to another one; what it refused for the
// servers' sake is refused.
func (c *Core) handleForwardFailed(r *request, e AttemptFailed, now time.Duration) {
	f := r.forwardedTo
	c.endForward(r)
	switch {
	case e.Class == FailureHostRefused && !e.RefusedCode.concernsHost():
		r.lastCode = e.RefusedCode
		if r.possibleRuns > 0 {
			c.endRequest(r, now)
			return
		}
		delete(c.requests, r.RequestNumber)
		c.emit(Refuse{RequestNumber: r.RequestNumber, Code: e.RefusedCode, RetryAfter: e.RetryAfter, QueueTime: now - r.queuedAt, QueueLength: len(c.waiting)})
		return
	case e.Class == FailureHostRefused, e.Class == FailureNotConnected:
		f.avoidUntil = now + forwarderBackoff
	default:
		r.possibleRuns++
		r.arrived = true
	}
	r.lastCode = CodeUpstreamFailed
	if e.Final {
		r.lastCode = e.FinalCode
		c.endRequest(r, now)
		return
	}
	c.retry(r, now)
}

// concernsHost reports whether a refusal for this reason says something about the host
// that refused, so that another host may serve the request. The reasons are those of
// which all hosts learn the same; any other one may be due to the host.
func (code ErrorCode) concernsHost() bool {
	switch code {
	case CodeOverloaded, CodePromptTooLarge, CodeTooLate, CodePromptQuarantined, CodeRetryBudgetSpent, CodeUpstreamFailed, CodeTimeLimit,
		CodeEvacuated, CodeNoRegion:
		return false
	default:
		return true
	}
}
