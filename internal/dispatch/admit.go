package dispatch

import "time"

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// memoryDrainFloor is the shortest mean residency assumed for work in memory.
const memoryDrainFloor = 500 * time.Millisecond

// organisation is what one organisation has taken of this host.
type organisation struct {
	inFlight int
	// active is the share that counts while the organisation has work.
	active float64
	// virtual is when the service taken so far would end at the
	// organisation's share alone; it runs ahead of now under heavy use.
	virtual time.Duration
}

func (c *Core) organisation(name string) *organisation {
	o := c.organisations[name]
	if o == nil {
		o = &organisation{active: minShare}
		c.organisations[name] = o
	}
	return o
}

// arrived admits a request or refuses it at once.
func (c *Core) arrived(now time.Duration, e Arrived) {
	r := &request{Arrived: e, arrivedAt: now}
	if code, ok := c.acceptable(&e); !ok {
		c.emit(Refuse{ID: e.ID, Code: code, RetryAfter: minRetryAfter})
		return
	}
	switch {
	case e.Service != "":
		c.arrivedCall(now, r)
	case c.cfg.Policy == PolicyNaive:
		c.arrivedNaive(now, r)
	default:
		c.arrivedModel(now, r)
	}
}

// acceptable checks what needs no prediction.
func (c *Core) acceptable(e *Arrived) (Code, bool) {
	if c.draining {
		return CodeDraining, false
	}
	if e.MaxInFlight > 0 && c.organisation(e.Organisation).inFlight >= e.MaxInFlight {
		return CodeOrganisationOverLimit, false
	}
	if len(c.queue.items) >= c.cfg.MaxQueue {
		return CodeOverloaded, false
	}
	return "", true
}

func (c *Core) arrivedModel(now time.Duration, r *request) {
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	f := c.fleet(now, engines)
	r.cost = c.estimate(r, &f, c.bestCached(engines, r))
	least, wanted := c.groupSize(r, &f)
	if least > f.engines || least > c.cfg.MaxGroup {
		c.emit(Refuse{ID: r.ID, Code: CodePromptTooLarge})
		return
	}
	o := c.organisation(r.Organisation)
	r.key = c.virtualDeadline(now, r, o)
	wait := c.predictWait(r, &f)
	run := r.cost.prefill/time.Duration(wanted) + r.cost.decode + c.cfg.FinishMargin
	if now+run > r.Deadline {
		c.emit(Refuse{ID: r.ID, Code: CodeLimitTooTight})
		return
	}
	if late := now + wait + run - r.Deadline; late > 0 {
		c.emit(Refuse{ID: r.ID, Code: CodeOverloaded, RetryAfter: clampRetryAfter(late)})
		return
	}
	c.take(now, r, o, &f)
	r.predictedWait = wait
	c.emit(Admit{ID: r.ID, PredictedWait: wait})
	c.queue.insert(r)
	c.dirty = true
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// take books an admitted request.
func (c *Core) take(now time.Duration, r *request, o *organisation, f *fleetModel) {
	c.keep(r)
	c.retries.admitted(c.cfg.RetryShare, c.cfg.RetryBurst)
	c.mix.observe(c.lane(r), r.cost.service)
	pace := float64(f.engines) / float64(c.sharers()) * c.shareOf(o)
	o.virtual = max(now, o.virtual) + time.Duration(float64(r.cost.service)/max(pace, minPace))
}

// minPace bounds the service rate of an organisation from below, in engines.
const minPace = 0.001

// shareOf is the organisation's part of the capacity among those with work.
func (c *Core) shareOf(o *organisation) float64 {
	return o.active / max(c.activeShare, o.active)
}

// entered counts an admitted request and the share of an organisation that
// begins to have work.
func (c *Core) entered(r *request) {
	o := c.organisation(r.Organisation)
	if o.inFlight == 0 {
		o.active = max(r.Share, minShare)
		c.activeShare += o.active
	}
	o.inFlight++
}

// left reverses entered.
func (c *Core) left(r *request) {
	o := c.organisation(r.Organisation)
	o.inFlight--
	if o.inFlight == 0 {
		c.activeShare -= o.active
	}
}

// minShare is the least weight of an organisation.
const minShare = 0.01

// virtualDeadline orders requests: a base, which grows with the priority number
// of the kind, plus a multiple of the request's own prefill time after its
// arrival, later where the organisation is ahead of its
// share. Waiting ages a request since the key is fixed while time goes on.
func (c *Core) virtualDeadline(now time.Duration, r *request, o *organisation) time.Duration {
	stretch := time.Duration(c.cfg.TargetStretch * float64(r.cost.prefill))
	base := c.cfg.TargetBase * time.Duration(1+max(0, r.KindPriority))
	target := base + stretch
	latest := r.Deadline - r.cost.decode - r.cost.prefill - now
	target = max(0, min(target, latest))
	ahead := max(0, o.virtual-now-c.cfg.FairBurst)
	return now + target + ahead
}

// predictWait is the time until a request with the key given gets an engine:
// the longer of the waits for prefill and for memory.
func (c *Core) predictWait(r *request, f *fleetModel) time.Duration {
	prefillAhead, memoryAhead := c.queue.ahead(r.key)
	engines := float64(f.engines) / float64(c.sharers())
	backlog := tokensTime(f.backlog, f.rate)
	prefillWait := time.Duration(float64(prefillAhead)/engines) + max(0, backlog-c.cfg.BindWindow)
	needed := memoryAhead + r.totalTokens()
	if c.lane(r) == laneLong {
		needed += c.reserve() / c.sharers()
	}
	memoryWait := c.memoryWait(needed, f)
	wait := max(prefillWait, memoryWait)
	return time.Duration(float64(wait) * c.waits.factor())
}

// memoryWait is the time until the fleet has freed the tokens needed.
func (c *Core) memoryWait(needed int, f *fleetModel) time.Duration {
	share := float64(c.sharers())
	missing := float64(needed) - float64(f.memoryFree)/share
	if missing <= 0 {
		return 0
	}
	used := float64(f.memory - f.memoryFree)
	rate := used / c.residency().Seconds() / share
	if rate <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// residency is the mean time that admitted work stays in memory, weighted by
// its size, as predicted for the requests at hand.
func (c *Core) residency() time.Duration {
	return max(memoryDrainFloor, c.resident.mean())
}
