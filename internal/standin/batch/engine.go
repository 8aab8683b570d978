package batch

import (
	"slices"
	"sort"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// Counters holds totals since the engine was created.
type Counters struct {
	// Submitted counts the work items that Submit accepted, without the shares
	// that members of a group process.
	Submitted uint64 `json:"submitted"`
	// PrefilledTokens and CachedTokens count the prompt tokens that were
	// processed and those that were found in the prefix cache.
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	// DecodedTokens counts the answer tokens produced.
	DecodedTokens uint64 `json:"decoded_tokens"`
	// Finished, Failed and Cancelled count work items by the way they ended.
	Finished  uint64 `json:"finished"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	// RefusedForMemory counts the reservations and submissions that were refused
	// because too little memory was free.
	RefusedForMemory uint64 `json:"refused_for_memory"`
	// HeldTokens is the KV memory held by work items now, HeldTokensPeak the
	// most ever held, both in tokens.
	HeldTokens     int `json:"memory_held_tokens"`
	HeldTokensPeak int `json:"memory_held_peak_tokens"`
}

// Engine is a simulated engine. Create it with New.
type Engine struct {
	config         Config
	workByID       map[api.WorkID]*entry
	queue          []*entry // ordered by entry.queuesBefore
	decodingWork   []*entry // work items that are decoding
	finishedWork   []*entry // ordered by expiry, the earliest first
	cancelled      cancelledSet
	cache          *cache
	events         *eventLog
	plannedStep    step
	batchCount     int           // work items that have a place in the batch
	arrivals       uint64        // work items that were queued so far
	now            time.Duration // latest time that a caller passed
	refusingMemory bool
	rates          observedRates
	counters       Counters
}

// New returns an engine without any work and with an empty cache.
func New(config Config) *Engine {
	e := &Engine{
		config:    config,
		workByID:  make(map[api.WorkID]*entry),
		cancelled: newCancelledSet(config.KeepCancelled),
		events:    newEventLog(config),
		rates:     newObservedRates(config),
	}
	e.cache = newCache(func(prefix uint64, evicted bool) { e.events.add(e.now, prefix, evicted) })
	return e
}

// SetRefuseMemory makes the engine refuse every request for more memory (on), or
// ends such refusals (off).
func (e *Engine) SetRefuseMemory(on bool) { e.refusingMemory = on }

// Counters returns the totals since the engine was created.
func (e *Engine) Counters() Counters { return e.counters }

// Events returns at most limit published cache events, beginning with the
// sequence number from.
func (e *Engine) Events(now time.Duration, from uint64, limit int) api.CacheEvents {
	return e.events.publishedSince(now, from, limit)
}

// Reserve holds memory for a work item that is submitted later. Repeating the
// same reservation has no effect and succeeds.
func (e *Engine) Reserve(now time.Duration, r api.Reservation) error {
	e.advanceClock(now)
	if r.Tokens <= 0 {
		return ErrInvalid
	}
	if e.cancelled.has(r.Work) {
		return ErrCancelled
	}
	if existing := e.workByID[r.Work]; existing != nil {
		if existing.state == reserved && existing.heldTokens == r.Tokens {
			return nil
		}
		return ErrDuplicate
	}
	if err := e.holdTokens(r.Tokens); err != nil {
		return err
	}
	e.workByID[r.Work] = &entry{
		Submission: Submission{Work: r.Work, Owner: r.Owner, Deadline: r.Deadline},
		state:      reserved, heldTokens: r.Tokens,
	}
	return nil
}

// Submit queues a work item. If memory was reserved for it, the work item takes
// over the reservation.
func (e *Engine) Submit(now time.Duration, s Submission) error {
	e.advanceClock(now)
	if s.PromptTokens <= 0 || (!s.IsMember && s.MaxTokens <= 0) {
		return ErrInvalid
	}
	if e.cancelled.has(s.Work) {
		return ErrCancelled
	}
	existing := e.workByID[s.Work]
	if existing != nil && existing.state != reserved {
		return ErrDuplicate
	}
	if existing == nil && s.IsMember {
		return ErrNoReservation
	}
	if len(e.queue) >= e.config.MaxWaiting {
		return ErrQueueFull
	}
	return e.enqueue(existing, s)
}

// enqueue holds the memory that the submission needs beyond its reservation,
// which may be nil, and inserts the work item into the queue.
func (e *Engine) enqueue(reservation *entry, s Submission) error {
	heldTokens := 0
	if reservation != nil {
		heldTokens = reservation.heldTokens
		s.Owner, s.Deadline = ownerOrDefault(s.Owner, reservation.Owner), laterTime(s.Deadline, reservation.Deadline)
	}
	neededTokens := s.PromptTokens
	if !s.IsMember {
		neededTokens += s.MaxTokens
	}
	if neededTokens > heldTokens {
		if err := e.holdTokens(neededTokens - heldTokens); err != nil {
			return err
		}
		heldTokens = neededTokens
	}
	e.arrivals++
	w := &entry{Submission: s, arrivalNumber: e.arrivals, state: queued, heldTokens: heldTokens, remainingPrompt: s.PromptTokens}
	e.workByID[s.Work] = w
	at := sort.Search(len(e.queue), func(i int) bool { return w.queuesBefore(e.queue[i]) })
	e.queue = slices.Insert(e.queue, at, w)
	if !s.IsMember {
		e.counters.Submitted++
	}
	return nil
}

func ownerOrDefault(a, b api.Owner) api.Owner {
	if a == (api.Owner{}) {
		return b
	}
	return a
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RecordMembersPrefilled records, for the work item of a group's leader, that
// every other member has processed its share of the prompt. Decoding begins once
// the leader's own share is processed as well.
func (e *Engine) RecordMembersPrefilled(now time.Duration, work api.WorkID) {
	e.advanceClock(now)
	w := e.workByID[work]
	if w == nil || !w.IsLeader || w.membersPrefilled {
		return
	}
	w.membersPrefilled = true
	if w.state == awaitingMembers {
		e.startDecoding(w)
	}
}

// Fail ends a work item with an error and releases its memory.
func (e *Engine) Fail(now time.Duration, work api.WorkID) {
	e.advanceClock(now)
	if w := e.workByID[work]; w != nil && w.state != finished {
		e.counters.Failed++
		e.endWork(w, api.FinishError)
	}
}

// Cancel ends a work item, releases all that it holds and remembers its id, so
// that it cannot start later. It reports whether the work item was known and had
// not finished.
func (e *Engine) Cancel(now time.Duration, work api.WorkID) bool {
	e.advanceClock(now)
	e.cancelled.add(work)
	w := e.workByID[work]
	if w == nil || w.state == finished {
		return false
	}
	e.counters.Cancelled++
	e.endWork(w, api.FinishCancelled)
	return true
}

// FailExpired fails every work item whose deadline is before the wall-clock time
// given.
func (e *Engine) FailExpired(now time.Duration, wall time.Time) {
	for _, w := range e.ListWork() {
		if !w.Deadline.IsZero() && wall.After(w.Deadline) {
			e.Fail(now, w.Work)
		}
	}
}

// ListWork returns the work items that hold memory, ordered by request and
// attempt.
func (e *Engine) ListWork() []api.WorkEntry {
	list := make([]api.WorkEntry, 0, len(e.workByID))
	for _, w := range e.workByID {
		if w.heldTokens > 0 {
			list = append(list, api.WorkEntry{
				Work: w.Work, Owner: w.Owner, Deadline: w.Deadline, Tokens: w.heldTokens, Attached: isAttached(w.Observer),
			})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].Work, list[j].Work
		if a.Request != b.Request {
			return a.Request < b.Request
		}
		return a.Attempt < b.Attempt
	})
	return list
}

// AttachmentReporter is implemented by an Observer that can report whether a
// connection is reading the work item's progress.
type AttachmentReporter interface{ Attached() bool }

func isAttached(o Observer) bool {
	r, ok := o.(AttachmentReporter)
	return ok && r.Attached()
}

// holdTokens takes memory for a work item and evicts cached blocks where they
// need the space.
func (e *Engine) holdTokens(tokens int) error {
	if e.refusingMemory || tokens > e.config.MemoryTokens-e.counters.HeldTokens {
		e.counters.RefusedForMemory++
		return ErrNoMemory
	}
	e.counters.HeldTokens += tokens
	e.counters.HeldTokensPeak = max(e.counters.HeldTokensPeak, e.counters.HeldTokens)
	e.cache.evictTo(e.cacheLimitBlocks())
	return nil
}

// cacheLimitBlocks returns the number of blocks that the memory not held by work
// items can cache.
func (e *Engine) cacheLimitBlocks() int {
	return (e.config.MemoryTokens - e.counters.HeldTokens) / api.PrefixBlockTokens
}

// endWork finishes a work item for the reason given. It is the only place where
// memory is released.
func (e *Engine) endWork(w *entry, finish string) {
	e.counters.HeldTokens -= w.heldTokens
	w.heldTokens = 0
	e.queue = removeEntry(e.queue, w)
	e.decodingWork = removeEntry(e.decodingWork, w)
	if w.inBatch {
		w.inBatch = false
		e.batchCount--
	}
	w.state, w.finishReason = finished, finish
	w.expiresAt = e.now + e.config.KeepFinished
	w.PrefixChain = nil
	e.finishedWork = append(e.finishedWork, w)
	w.notify()
}

func removeEntry(list []*entry, w *entry) []*entry {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// advanceClock moves the engine's time forward and removes finished work items
// that have been kept for their time.
func (e *Engine) advanceClock(now time.Duration) {
	e.now = max(e.now, now)
	n := 0
	for n < len(e.finishedWork) && e.finishedWork[n].expiresAt <= e.now {
		delete(e.workByID, e.finishedWork[n].Work)
		n++
	}
	e.finishedWork = slices.Delete(e.finishedWork, 0, n)
}
