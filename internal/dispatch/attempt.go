package dispatch

import "time"

// Back-off of retries, randomised by up to the same amount again.
const (
	memoryBackoff = 20 * time.Millisecond
	retryBackoff  = 5 * time.Millisecond
)

// firstTokenFactor and firstTokenFloor bound the wait for a first token: a
// multiple of the prediction and not below the floor.
const (
	firstTokenFactor = 4
	firstTokenFloor  = time.Second
)

// maxResumes bounds how often one attempt is resumed without a sign of life.
const maxResumes = 3

// start binds a queued request to a group: one engine gets it at once, several
// are asked to reserve memory first.
func (c *Core) start(now time.Duration, r *request, group []*upstream) {
	c.queue.remove(r)
	c.waits.observe(r.predictedWait, now-r.arrivedAt)
	r.attempt++
	r.group = group
	c.charge(now, r)
	if len(group) == 1 {
		c.send(now, r)
		return
	}
	r.phase = phaseReserving
	r.pending = len(group)
	for i, u := range group {
		c.emit(Reserve{
			ID:           r.ID,
			Attempt:      r.attempt,
			Upstream:     u.name,
			Address:      u.address,
			MemoryTokens: r.charged[i].memory,
			Deadline:     r.Deadline,
		})
	}
}

// send starts the current attempt on its leader.
func (c *Core) send(now time.Duration, r *request) {
	r.phase = phasePrefill
	r.sentAt = now
	r.resumed = 0
	members := make([]Member, len(r.group))
	for i, u := range r.group {
		members[i] = Member{Upstream: u.name, Address: u.address}
	}
	c.emit(Send{
		ID:                r.ID,
		Attempt:           r.attempt,
		Model:             c.heldBy(r),
		Group:             members,
		Priority:          r.key,
		Deadline:          r.Deadline,
		FirstTokenTimeout: c.firstTokenTimeout(now, r),
		Offset:            r.delivered,
	})
}

// heldBy is the name under which the leader holds the request's model.
func (c *Core) heldBy(r *request) string {
	for _, held := range r.group[0].models {
		if held == r.Model {
			return held
		}
	}
	return c.candidates(r.Model).held
}

func (c *Core) firstTokenTimeout(now time.Duration, r *request) time.Duration {
	leader := r.group[0]
	backlog := time.Duration(float64(leader.backlog(now)) / leader.prefillRate(&c.cfg) * float64(time.Second))
	return max(firstTokenFloor, firstTokenFactor*(backlog+r.cost.prefill))
}

func (c *Core) reserved(now time.Duration, e Reserved) {
	r := c.current(e.ID, e.Attempt)
	if r == nil || r.phase != phaseReserving {
		// The memory may have been reserved after the attempt was given up.
		c.cancelLate(now, e)
		return
	}
	if e.FailureClass != "" {
		c.noteFailure(e.Upstream, e.FailureClass)
		c.abandon(now, r)
		c.requeue(now, r, memoryBackoff)
		return
	}
	r.pending--
	if r.pending > 0 {
		return
	}
	if !allUsable(r.group) {
		// A member began to leave or failed while the others answered.
		c.abandon(now, r)
		c.requeue(now, r, retryBackoff)
		return
	}
	c.send(now, r)
}

func allUsable(group []*upstream) bool {
	for _, u := range group {
		if !u.usable() {
			return false
		}
	}
	return true
}

// cancelLate gives back memory that was reserved for an attempt already over.
func (c *Core) cancelLate(now time.Duration, e Reserved) {
	u := c.upstreams[e.Upstream]
	if e.FailureClass == FailureNotRun || e.FailureClass == FailureNoMemory || u == nil {
		return
	}
	c.cancel(now, u, e.ID, e.Attempt)
}

func (c *Core) firstToken(now time.Duration, e FirstToken) {
	r := c.current(e.ID, e.Attempt)
	if r == nil || r.phase != phasePrefill {
		return
	}
	r.phase = phaseStreaming
	c.prefilled(now, r)
	c.learnPrefixes(r)
	c.dirty = true
}

func (c *Core) finished(now time.Duration, e Finished) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	for _, u := range r.group[min(1, len(r.group)):] {
		if u.service == "" {
			c.cancel(now, u, r.ID, r.attempt)
		}
	}
	if r.Service == "" {
		c.resident.observe(now-r.sentAt, r.totalTokens())
	}
	c.discharge(now, r)
	c.forget(r)
}

func (c *Core) stalled(now time.Duration, e Stalled) {
	r := c.current(e.ID, e.Attempt)
	if r == nil || len(r.group) == 0 || r.phase == phaseCalling {
		return
	}
	if e.DeliveredTokens > r.delivered {
		r.delivered = e.DeliveredTokens
		r.resumed = 0
	}
	r.resumed++
	leader := r.group[0]
	if r.resumed > maxResumes || leader.gone {
		c.attemptFailed(now, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown, DeliveredTokens: e.DeliveredTokens})
		return
	}
	c.emit(Resume{
		ID:       r.ID,
		Attempt:  r.attempt,
		Upstream: leader.name,
		Address:  leader.address,
		Offset:   r.delivered,
	})
}

func (c *Core) attemptFailed(now time.Duration, e AttemptFailed) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	r.delivered = max(r.delivered, e.DeliveredTokens)
	c.noteFailure(r.group[0].name, e.FailureClass)
	c.learnFate(r, e.FailureClass)
	calling := r.phase == phaseCalling
	c.abandon(now, r)
	r.phase = phaseQueued
	if !c.mayRetry(now, r, e.FailureClass, calling) {
		c.fail(now, r, c.failureCode(e.FailureClass), 0)
		return
	}
	c.retry(now, r, e.FailureClass)
}

// learnFate records what the failure of an attempt proves about the request.
func (c *Core) learnFate(r *request, class FailureClass) {
	switch class {
	case FailureOutcomeUnknown:
		r.mayHaveRun = true
	case FailureReported:
		r.ran = true
	case FailureNotRun, FailureNoMemory, FailureRefused:
	}
}

func (c *Core) failureCode(class FailureClass) Code {
	if class == FailureRefused {
		return CodeClaimRefused
	}
	return CodeUpstreamFailed
}

// mayRetry says whether another attempt is safe, useful and within the budget.
func (c *Core) mayRetry(now time.Duration, r *request, class FailureClass, calling bool) bool {
	if class == FailureRefused {
		return false
	}
	proved := class == FailureNotRun || class == FailureNoMemory
	if calling && r.NeverRepeat && !proved && c.cfg.Policy != PolicyNaive {
		return false
	}
	if now+c.cfg.FinishMargin >= r.Deadline {
		return false
	}
	if class == FailureNoMemory {
		return true
	}
	if r.tries+1 >= c.cfg.MaxAttempts {
		return false
	}
	return c.cfg.Policy == PolicyNaive || c.retries.take()
}

func (c *Core) retry(now time.Duration, r *request, class FailureClass) {
	if class != FailureNoMemory {
		r.tries++
	}
	if r.Service != "" {
		c.call(now, r)
		return
	}
	backoff := retryBackoff
	if class == FailureNoMemory {
		backoff = memoryBackoff
	}
	c.requeue(now, r, backoff)
}

// requeue puts a request back, held for a randomised back-off.
func (c *Core) requeue(now time.Duration, r *request, backoff time.Duration) {
	r.phase = phaseQueued
	jitter := time.Duration(c.rng.Int64N(int64(backoff)))
	r.notBefore = now + backoff + jitter
	c.queue.insert(r)
	c.dirty = true
}

// retryBudget allows retries in proportion to admitted requests.
type retryBudget struct {
	tokens float64
}

func (b *retryBudget) admitted(share, burst float64) {
	b.tokens = min(burst, b.tokens+share)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
