package dispatch

import (
	"container/heap"
	"time"
)

// phase is the stage of processing that a request is in.
type phase int

const (
	// phaseQueued means that the request waits for its first or next attempt.
	phaseQueued phase = iota
	// phaseReserving means that the members of the group are asked to reserve
	// memory for the attempt.
	phaseReserving
	// phasePrefill means that the attempt was sent to its leader and no token of
	// its answer has arrived yet.
	phasePrefill
	// phaseStreaming means that the first token of the answer has arrived.
	phaseStreaming
	// phaseCalling means that a call to a plain service is in progress.
	phaseCalling
)

// String returns the name of the phase that dumps show.
func (p phase) String() string {
	return [...]string{"queued", "reserving", "prefill", "streaming", "calling"}[p]
}

// request is the state of one admitted request.
type request struct {
	Arrived
	arrivedAt time.Duration
	phase     phase
	// virtualDeadline orders the queue and the work within an engine, smaller
	// values first. With the naive policy it is the time of the arrival.
	virtualDeadline time.Duration
	// notBefore is the end of a retry's back-off; the request is not placed
	// before it.
	notBefore time.Duration
	// attempt is the number of the latest attempt; attempts are numbered from
	// 1.
	attempt uint32
	// countedRetries is the number of retries that count against
	// Config.MaxAttempts.
	countedRetries uint32
	// group holds the upstreams of the current attempt, the leader first.
	group []*upstream
	// pendingReservations is the number of Reserve effects not yet answered.
	pendingReservations int
	// memberLoads is the load that the current attempt adds to each member of
	// its group, in the order of the group.
	memberLoads []memberLoad
	// sentAt is when the current attempt was sent to its leader.
	sentAt time.Duration
	// deliveredTokens is the number of tokens of the answer that the caller
	// already has.
	deliveredTokens int
	// resumesWithoutProgress is the number of times that the stream was resumed
	// since it last delivered anything.
	resumesWithoutProgress int
	// mayHaveRun is set when some attempt was sent without proof that it was
	// not run; runFailed is set when an upstream reported that a run failed.
	mayHaveRun bool
	runFailed  bool
	cost       cost
	heapIndex  int
	// predictedWait is the time in the queue that was predicted at admission.
	predictedWait time.Duration
}

// totalTokens returns the KV memory that the request needs, in tokens.
func (r *request) totalTokens() int {
	return r.PromptTokens + r.MaxTokens
}

// outcome returns what the caller is told about whether the failed request was
// run. An attempt still in flight may have been run.
func (r *request) outcome() Outcome {
	inFlight := r.phase == phasePrefill || r.phase == phaseStreaming || r.phase == phaseCalling
	switch {
	case r.mayHaveRun || inFlight:
		return OutcomeUnknown
	case r.runFailed:
		return OutcomeFailed
	default:
		return OutcomeNotRun
	}
}

// deadlineHeap is a heap of requests ordered by deadline, then by ID.
type deadlineHeap []*request

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].ID < h[j].ID
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// registerRequest adds an admitted request to the tables of the core.
func (c *Core) registerRequest(r *request) {
	c.requests[r.ID] = r
	heap.Push(&c.deadlines, r)
	c.countAdmitted(r)
}

// removeRequest removes a request that is over from the queue and from all
// tables.
func (c *Core) removeRequest(r *request) {
	c.queue.remove(r)
	heap.Remove(&c.deadlines, r.heapIndex)
	delete(c.requests, r.ID)
	c.countEnded(r)
	c.emit(Done{ID: r.ID})
	c.passNeeded = true
}

// fail gives the final answer to an admitted request and releases everything
// that the request holds.
func (c *Core) fail(now time.Duration, r *request, code Code, retryAfter time.Duration) {
	outcome := r.outcome()
	c.abandon(now, r)
	c.emit(Fail{ID: r.ID, Code: code, Outcome: outcome, RetryAfter: retryAfter})
	c.removeRequest(r)
}

// abandon drops the current attempt, cancels it on every engine of its group,
// and removes its load from them.
func (c *Core) abandon(now time.Duration, r *request) {
	switch r.phase {
	case phaseReserving, phasePrefill, phaseStreaming:
		c.emit(Drop{ID: r.ID, Attempt: r.attempt})
		for _, u := range r.group {
			c.sendCancel(now, u, r.ID, r.attempt)
		}
	case phaseCalling:
		c.emit(Drop{ID: r.ID, Attempt: r.attempt})
	case phaseQueued:
	}
	c.removeAttemptLoad(now, r)
	r.group = nil
	r.pendingReservations = 0
}

// currentAttempt returns the request if the given attempt is the one in flight,
// otherwise nil.
func (c *Core) currentAttempt(id string, attempt uint32) *request {
	r := c.requests[id]
	if r == nil || r.attempt != attempt || r.phase == phaseQueued {
		return nil
	}
	return r
}

// handleCallerGone ends the request of a caller that closed its connection.
func (c *Core) handleCallerGone(now time.Duration, e CallerGone) {
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	if r.phase == phaseCalling {
		// A call to a service can't be cancelled; it goes on, so that its
		// outcome is still recorded.
		return
	}
	c.fail(now, r, CodeCallerGone, 0)
}
