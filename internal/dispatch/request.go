package dispatch

import (
	"container/heap"
	"time"
)

// phase is where a request stands.
type phase int

const (
	phaseQueued phase = iota
	phaseReserving
	phasePrefill
	phaseStreaming
	phaseCalling
)

// String names the phase for dumps.
func (p phase) String() string {
	return [...]string{"queued", "reserving", "prefill", "streaming", "calling"}[p]
}

// request is one admitted request.
type request struct {
	Arrived
	arrivedAt time.Duration
	phase     phase
	// key orders the queue and the engine's work, smaller first.
	key time.Duration
	// notBefore holds a retry back until then.
	notBefore time.Duration
	// attempt numbers what is sent; tries counts against MaxAttempts.
	attempt uint32
	tries   uint32
	group   []*upstream
	// pending counts unanswered Reserve effects.
	pending int
	// charged is what the current attempt counts for on its engines.
	charged []charge
	sentAt  time.Duration
	// delivered is the number of tokens the caller already has.
	delivered int
	// resumed says that the stream was resumed since the last sign of life.
	resumed int
	// mayHaveRun says that some attempt was sent without proof that it was
	// not run; ran says that an upstream reported a failed run.
	mayHaveRun bool
	ran        bool
	cost       cost
	heapIndex  int
	// predictedWait is what admission expected the queue to take.
	predictedWait time.Duration
}

// totalTokens is the KV memory the request needs.
func (r *request) totalTokens() int {
	return r.PromptTokens + r.MaxTokens
}

// outcome says what may be claimed about a request that failed.
func (r *request) outcome() Outcome {
	inFlight := r.phase == phasePrefill || r.phase == phaseStreaming || r.phase == phaseCalling
	switch {
	case r.mayHaveRun || inFlight:
		return OutcomeUnknown
	case r.ran:
		return OutcomeFailed
	default:
		return OutcomeNotRun
	}
}

// deadlineHeap orders requests by deadline, then by id.
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

// keep registers an admitted request.
func (c *Core) keep(r *request) {
	c.requests[r.ID] = r
	heap.Push(&c.deadlines, r)
	c.entered(r)
}

// forget removes a request that is over, wherever it stands.
func (c *Core) forget(r *request) {
	c.queue.remove(r)
	heap.Remove(&c.deadlines, r.heapIndex)
	delete(c.requests, r.ID)
	c.left(r)
	c.emit(Done{ID: r.ID})
	c.dirty = true
}

// fail gives the final answer to an admitted request and gives back what it holds.
func (c *Core) fail(now time.Duration, r *request, code Code, retryAfter time.Duration) {
	outcome := r.outcome()
	c.abandon(now, r)
	c.emit(Fail{ID: r.ID, Code: code, Outcome: outcome, RetryAfter: retryAfter})
	c.forget(r)
}

// abandon drops the current attempt and cancels it on every engine it reached.
func (c *Core) abandon(now time.Duration, r *request) {
	switch r.phase {
	case phaseReserving, phasePrefill, phaseStreaming:
		c.emit(Drop{ID: r.ID, Attempt: r.attempt})
		for _, u := range r.group {
			c.cancel(now, u, r.ID, r.attempt)
		}
	case phaseCalling:
		c.emit(Drop{ID: r.ID, Attempt: r.attempt})
	case phaseQueued:
	}
	c.discharge(now, r)
	r.group = nil
	r.pending = 0
}

// current returns the request if the attempt named is the one in flight.
func (c *Core) current(id string, attempt uint32) *request {
	r := c.requests[id]
	if r == nil || r.attempt != attempt || r.phase == phaseQueued {
		return nil
	}
	return r
}

func (c *Core) callerGone(now time.Duration, e CallerGone) {
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	if r.phase == phaseCalling {
		// A call to a service can't be cancelled; its outcome is still recorded.
		return
	}
	c.fail(now, r, CodeCallerGone, 0)
}
