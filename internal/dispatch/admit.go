package dispatch

import "time"

// Limits of the RetryAfter of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// minResidency is the smallest mean residency that is assumed for work in
// engine memory.
const minResidency = 500 * time.Millisecond

// organisationUsage is the part of this host's capacity that one organisation
// uses.
type organisationUsage struct {
	inFlight int
	// activeShare is the share, at least minShare, that counts while the
	// organisation has requests in flight.
	activeShare float64
	// virtualFinish is when the service used so far would end if the
	// organisation got exactly its share. It runs ahead of the present time
	// when the organisation uses more than its share.
	virtualFinish time.Duration
}

// organisationUsage returns the usage of an organisation and creates it if
// there is none.
func (c *Core) organisationUsage(name string) *organisationUsage {
	o := c.organisations[name]
	if o == nil {
		o = &organisationUsage{activeShare: minShare}
		c.organisations[name] = o
	}
	return o
}

// handleArrived admits a request or refuses it at once.
func (c *Core) handleArrived(now time.Duration, e Arrived) {
	r := &request{Arrived: e, arrivedAt: now}
	if code, ok := c.checkLimits(&e); !ok {
		c.emit(Refuse{ID: e.ID, Code: code, RetryAfter: minRetryAfter})
		return
	}
	switch {
	case e.Service != "":
		c.admitServiceCall(now, r)
	case c.cfg.Policy == PolicyNaive:
		c.admitNaive(now, r)
	default:
		c.admitModelRequest(now, r)
	}
}

// checkLimits checks the conditions of admission that need no prediction. If
// one is not met, it returns the reason and false.
func (c *Core) checkLimits(e *Arrived) (Code, bool) {
	if c.draining {
		return CodeDraining, false
	}
	if e.MaxInFlight > 0 && c.organisationUsage(e.Organisation).inFlight >= e.MaxInFlight {
		return CodeOrganisationOverLimit, false
	}
	if len(c.queue.items) >= c.cfg.MaxQueue {
		return CodeOverloaded, false
	}
	return "", true
}

// admitModelRequest admits a request to a model into the queue if it is
// predicted to end within its time limit, and refuses it otherwise.
func (c *Core) admitModelRequest(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	f := c.sumFleet(now, engines)
	r.cost = c.estimateCost(r, &f, c.longestCachedPrefix(engines, r))
	minSize, preferredSize := c.groupSize(r, &f)
	if minSize > f.engines || minSize > c.cfg.MaxGroup {
		c.emit(Refuse{ID: r.ID, Code: CodePromptTooLarge})
		return
	}
	o := c.organisationUsage(r.Organisation)
	r.virtualDeadline = c.computeVirtualDeadline(now, r, o)
	wait := c.predictWait(r, &f)
	runTime := r.cost.prefillTime/time.Duration(preferredSize) + r.cost.decodeTime + c.cfg.FinishMargin
	if now+runTime > r.Deadline {
		c.emit(Refuse{ID: r.ID, Code: CodeLimitTooTight})
		return
	}
	if lateness := now + wait + runTime - r.Deadline; lateness > 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeOverloaded, RetryAfter: clampRetryAfter(lateness)})
		return
	}
	c.recordAdmission(now, r, o, &f)
	r.predictedWait = wait
	c.emit(Admit{ID: r.ID, PredictedWait: wait})
	c.queue.insert(r)
	c.passNeeded = true
}

// clampRetryAfter limits a delay to the range from minRetryAfter to
// maxRetryAfter.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// recordAdmission registers an admitted request and adds it to the retry
// budget, to the observed demand and to the service that its organisation has
// used.
func (c *Core) recordAdmission(now time.Duration, r *request, o *organisationUsage, f *fleetTotals) {
	c.registerRequest(r)
	c.retries.creditAdmission(c.cfg.RetryShare, c.cfg.RetryBurst)
	c.demand.observe(c.sizeClass(r), r.cost.engineTime)
	serviceRate := float64(f.engines) / float64(c.sharingHosts()) * c.capacityShare(o)
	o.virtualFinish = max(now, o.virtualFinish) + time.Duration(float64(r.cost.engineTime)/max(serviceRate, minServiceRate))
}

// minServiceRate is the lowest service rate assumed for an organisation, in
// engines.
const minServiceRate = 0.001

// capacityShare returns the organisation's part of the capacity, from 0 to 1,
// among all organisations with requests in flight.
func (c *Core) capacityShare(o *organisationUsage) float64 {
	return o.activeShare / max(c.totalActiveShare, o.activeShare)
}

// countAdmitted counts an admitted request of an organisation. With its first
// request in flight, the organisation's share becomes active.
func (c *Core) countAdmitted(r *request) {
	o := c.organisationUsage(r.Organisation)
	if o.inFlight == 0 {
		o.activeShare = max(r.Share, minShare)
		c.totalActiveShare += o.activeShare
	}
	o.inFlight++
}

// countEnded reverses countAdmitted.
func (c *Core) countEnded(r *request) {
	o := c.organisationUsage(r.Organisation)
	o.inFlight--
	if o.inFlight == 0 {
		c.totalActiveShare -= o.activeShare
	}
}

// minShare is the lowest weight of an organisation.
const minShare = 0.01

// computeVirtualDeadline returns the time by which requests are ordered. It is
// the arrival, plus a base that grows with the priority number of the kind,
// plus a multiple of the request's own prefill time, but not later than the
// request must start to end in time. It is later where the organisation has
// used more than its share. A waiting request moves forward in the order
// because its virtual deadline stays fixed while those of new requests grow
// with the time.
func (c *Core) computeVirtualDeadline(now time.Duration, r *request, o *organisationUsage) time.Duration {
	stretch := time.Duration(c.cfg.TargetStretch * float64(r.cost.prefillTime))
	base := c.cfg.TargetBase * time.Duration(1+max(0, r.KindPriority))
	target := base + stretch
	latest := r.Deadline - r.cost.decodeTime - r.cost.prefillTime - now
	target = max(0, min(target, latest))
	overuse := max(0, o.virtualFinish-now-c.cfg.FairBurst)
	return now + target + overuse
}

// predictWait returns the predicted time until a request with the virtual
// deadline of r gets an engine: the longer of the waits for prefill capacity
// and for memory.
func (c *Core) predictWait(r *request, f *fleetTotals) time.Duration {
	prefillTimeAhead, memoryTokensAhead := c.queue.workAhead(r.virtualDeadline)
	engines := float64(f.engines) / float64(c.sharingHosts())
	backlog := timeForTokens(f.backlog, f.totalPrefillRate)
	prefillWait := time.Duration(float64(prefillTimeAhead)/engines) + max(0, backlog-c.cfg.BindWindow)
	neededTokens := memoryTokensAhead + r.totalTokens()
	if c.sizeClass(r) == sizeLong {
		neededTokens += c.memoryReserve() / c.sharingHosts()
	}
	memoryWait := c.memoryWait(neededTokens, f)
	wait := max(prefillWait, memoryWait)
	return time.Duration(float64(wait) * c.waitCorrection.factor())
}

// memoryWait returns the predicted time until this host's part of the fleet's
// free memory reaches the given number of tokens.
func (c *Core) memoryWait(neededTokens int, f *fleetTotals) time.Duration {
	hosts := float64(c.sharingHosts())
	missingTokens := float64(neededTokens) - float64(f.memoryFree)/hosts
	if missingTokens <= 0 {
		return 0
	}
	used := float64(f.totalMemory - f.memoryFree)
	releaseRate := used / c.meanResidency().Seconds() / hosts
	if releaseRate <= 0 {
		return 0
	}
	return time.Duration(missingTokens / releaseRate * float64(time.Second))
}

// meanResidency returns the mean time that requests stay in engine memory,
// weighted by their size, as observed for finished requests, and at least
// minResidency.
func (c *Core) meanResidency() time.Duration {
	return max(minResidency, c.residency.mean())
}
