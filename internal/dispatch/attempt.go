package dispatch

import "time"

// Back-off before a retry. A random amount of up to the same length is added.
const (
	// memoryBackoff applies after an engine had no free KV memory, and after
	// every failed reservation.
	memoryBackoff = 20 * time.Millisecond
	// retryBackoff applies after any other failure.
	retryBackoff = 5 * time.Millisecond
)

// firstTokenTimeoutFactor and minFirstTokenTimeout determine how long to wait
// for a first token: a multiple of the predicted time, but not less than the
// minimum.
const (
	firstTokenTimeoutFactor = 4
	minFirstTokenTimeout    = time.Second
)

// maxResumes is the largest number of times that one attempt is resumed without
// delivering anything.
const maxResumes = 3

// startAttempt takes a request out of the queue and starts an attempt on a
// group. A single engine gets the request at once; the engines of a larger
// group are first asked to reserve memory.
func (c *Core) startAttempt(now time.Duration, r *request, group []*upstream) {
	c.queue.remove(r)
	c.waitCorrection.observe(r.predictedWait, now-r.arrivedAt)
	r.attempt++
	r.group = group
	c.addAttemptLoad(now, r)
	if len(group) == 1 {
		c.sendToLeader(now, r)
		return
	}
	r.phase = phaseReserving
	r.pendingReservations = len(group)
	for i, u := range group {
		c.emit(Reserve{
			ID:           r.ID,
			Attempt:      r.attempt,
			Upstream:     u.name,
			Address:      u.address,
			MemoryTokens: r.memberLoads[i].memoryTokens,
			Deadline:     r.Deadline,
		})
	}
}

// sendToLeader sends the current attempt to the leader of its group.
func (c *Core) sendToLeader(now time.Duration, r *request) {
	r.phase = phasePrefill
	r.sentAt = now
	r.resumesWithoutProgress = 0
	members := make([]Member, len(r.group))
	for i, u := range r.group {
		members[i] = Member{Upstream: u.name, Address: u.address}
	}
	c.emit(Send{
		ID:                r.ID,
		Attempt:           r.attempt,
		Model:             c.servedModel(r),
		Group:             members,
		Priority:          r.virtualDeadline,
		Deadline:          r.Deadline,
		FirstTokenTimeout: c.firstTokenTimeout(now, r),
		Offset:            r.deliveredTokens,
	})
}

// servedModel returns the name of the model that the leader serves the request
// with: the requested one if it has it loaded, otherwise the other version that
// the candidates were chosen for.
func (c *Core) servedModel(r *request) string {
	for _, loadedModel := range r.group[0].models {
		if loadedModel == r.Model {
			return loadedModel
		}
	}
	return c.candidates(r.Model).loadedModel
}

// firstTokenTimeout returns how long to wait for the first token of the
// request's current attempt.
func (c *Core) firstTokenTimeout(now time.Duration, r *request) time.Duration {
	leader := r.group[0]
	backlog := time.Duration(float64(leader.backlog(now)) / leader.prefillRate(&c.cfg) * float64(time.Second))
	return max(minFirstTokenTimeout, firstTokenTimeoutFactor*(backlog+r.cost.prefillTime))
}

// handleReserved counts the answers of a group's members. The attempt is sent
// once all have reserved memory; it is abandoned and tried again if one of them
// did not.
func (c *Core) handleReserved(now time.Duration, e Reserved) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || r.phase != phaseReserving {
		// The memory may have been reserved after the attempt was abandoned.
		c.cancelLateReservation(now, e)
		return
	}
	if e.FailureClass != "" {
		c.recordFailure(e.Upstream, e.FailureClass)
		c.abandon(now, r)
		c.requeue(now, r, memoryBackoff)
		return
	}
	r.pendingReservations--
	if r.pendingReservations > 0 {
		return
	}
	if !allUsable(r.group) {
		// A member started leaving or failed while the others answered.
		c.abandon(now, r)
		c.requeue(now, r, retryBackoff)
		return
	}
	c.sendToLeader(now, r)
}

// allUsable reports whether new work may go to every upstream of a group.
func allUsable(group []*upstream) bool {
	for _, u := range group {
		if !u.usable() {
			return false
		}
	}
	return true
}

// cancelLateReservation frees memory that was reserved for an attempt that is
// already over.
func (c *Core) cancelLateReservation(now time.Duration, e Reserved) {
	u := c.upstreams[e.Upstream]
	if e.FailureClass == FailureNotRun || e.FailureClass == FailureNoMemory || u == nil {
		return
	}
	c.sendCancel(now, u, e.ID, e.Attempt)
}

// handleFirstToken removes the prompt from the predicted backlog of the group
// and records its prefixes as cached.
func (c *Core) handleFirstToken(now time.Duration, e FirstToken) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || r.phase != phasePrefill {
		return
	}
	r.phase = phaseStreaming
	c.removePrefillLoad(now, r)
	c.recordPrefixes(r)
	c.passNeeded = true
}

// handleFinished ends a request whose answer is complete. The other members of
// the group still hold memory for it, so the attempt is cancelled there.
func (c *Core) handleFinished(now time.Duration, e Finished) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil {
		return
	}
	for _, u := range r.group[min(1, len(r.group)):] {
		if u.service == "" {
			c.sendCancel(now, u, r.ID, r.attempt)
		}
	}
	if r.Service == "" {
		c.residency.observe(now-r.sentAt, r.totalTokens())
	}
	c.removeAttemptLoad(now, r)
	c.removeRequest(r)
}

// handleStalled resumes a silent stream on a new connection. After maxResumes
// times without progress it treats the attempt as failed.
func (c *Core) handleStalled(now time.Duration, e Stalled) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || len(r.group) == 0 || r.phase == phaseCalling {
		return
	}
	if e.DeliveredTokens > r.deliveredTokens {
		r.deliveredTokens = e.DeliveredTokens
		r.resumesWithoutProgress = 0
	}
	r.resumesWithoutProgress++
	leader := r.group[0]
	if r.resumesWithoutProgress > maxResumes || leader.gone {
		c.handleAttemptFailed(now, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown, DeliveredTokens: e.DeliveredTokens})
		return
	}
	c.emit(Resume{
		ID:       r.ID,
		Attempt:  r.attempt,
		Upstream: leader.name,
		Address:  leader.address,
		Offset:   r.deliveredTokens,
	})
}

// handleAttemptFailed retries the request or gives the final answer.
func (c *Core) handleAttemptFailed(now time.Duration, e AttemptFailed) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil {
		return
	}
	r.deliveredTokens = max(r.deliveredTokens, e.DeliveredTokens)
	c.recordFailure(r.group[0].name, e.FailureClass)
	c.recordFailureEvidence(r, e.FailureClass)
	wasCall := r.phase == phaseCalling
	c.abandon(now, r)
	r.phase = phaseQueued
	if !c.canRetry(now, r, e.FailureClass, wasCall) {
		c.fail(now, r, c.failureCode(e.FailureClass), 0)
		return
	}
	c.retry(now, r, e.FailureClass)
}

// recordFailureEvidence records what the failure of an attempt proves about
// whether the request was run.
func (c *Core) recordFailureEvidence(r *request, class FailureClass) {
	switch class {
	case FailureOutcomeUnknown:
		r.mayHaveRun = true
	case FailureReported:
		r.runFailed = true
	case FailureNotRun, FailureNoMemory, FailureRefused:
	}
}

// failureCode returns the reason that the caller gets when an attempt failed
// and is not repeated.
func (c *Core) failureCode(class FailureClass) Code {
	if class == FailureRefused {
		return CodeClaimRefused
	}
	return CodeUpstreamFailed
}

// canRetry reports whether another attempt is safe, can still end in time, and
// is within the limit of attempts and the retry budget.
func (c *Core) canRetry(now time.Duration, r *request, class FailureClass, wasCall bool) bool {
	if class == FailureRefused {
		return false
	}
	provedNotRun := class == FailureNotRun || class == FailureNoMemory
	if wasCall && r.NeverRepeat && !provedNotRun && c.cfg.Policy != PolicyNaive {
		return false
	}
	if now+c.cfg.FinishMargin >= r.Deadline {
		return false
	}
	if class == FailureNoMemory {
		return true
	}
	if r.countedRetries+1 >= c.cfg.MaxAttempts {
		return false
	}
	return c.cfg.Policy == PolicyNaive || c.retries.trySpend()
}

// retry starts the next attempt of a call at once, and puts a request to a
// model back into the queue.
func (c *Core) retry(now time.Duration, r *request, class FailureClass) {
	if class != FailureNoMemory {
		r.countedRetries++
	}
	if r.Service != "" {
		c.startCall(now, r)
		return
	}
	backoff := retryBackoff
	if class == FailureNoMemory {
		backoff = memoryBackoff
	}
	c.requeue(now, r, backoff)
}

// requeue puts a request back into the queue, with a randomised back-off before
// its next attempt.
func (c *Core) requeue(now time.Duration, r *request, backoff time.Duration) {
	r.phase = phaseQueued
	jitter := time.Duration(c.rng.Int64N(int64(backoff)))
	r.notBefore = now + backoff + jitter
	c.queue.insert(r)
	c.passNeeded = true
}

// retryBudget limits retries to a share of the admitted requests. Its tokens
// are the retries that are possible now.
type retryBudget struct {
	tokens float64
}

// creditAdmission adds the retries that one admitted request allows, up to the
// largest size of the budget.
func (b *retryBudget) creditAdmission(share, burst float64) {
	b.tokens = min(burst, b.tokens+share)
}

// trySpend takes one retry out of the budget and reports whether there was one.
func (b *retryBudget) trySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
