package batch

import (
	"slices"
	"sort"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// Counters are totals since the engine began.
type Counters struct {
	// Submitted counts works accepted by Submit, members' shares apart.
	Submitted uint64 `json:"submitted"`
	// PrefilledTokens and Cached are prompt tokens processed and found in the cache.
	PrefilledTokens uint64 `json:"prefilled_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	// DecodedTokens is the number of answer tokens produced.
	DecodedTokens uint64 `json:"decoded_tokens"`
	// Finished, Failed and Cancelled count works by their end.
	Finished  uint64 `json:"finished"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	// RefusedForMemory counts works refused for want of memory.
	RefusedForMemory uint64 `json:"refused_for_memory"`
	// HeldTokens is the KV memory held now, HeldPeak the most ever, in tokens.
	HeldTokens     int `json:"memory_held_tokens"`
	HeldTokensPeak int `json:"memory_held_peak_tokens"`
}

// Engine is a simulated engine.
type Engine struct {
	config    Config
	works     map[api.WorkID]*entry
	queue     []*entry // ordered by entry.before
	running   []*entry // decoding
	done      []*entry // finished, the first to expire first
	cancelled cancelledSet
	cache     *cache
	events    *eventLog
	plan      step
	inBatch   int
	arrivals  uint64
	now       time.Duration
	refusing  bool
	rates     observed
	counters  Counters
}

// New returns an empty engine.
func New(config Config) *Engine {
	e := &Engine{
		config:    config,
		works:     make(map[api.WorkID]*entry),
		cancelled: newCancelledSet(config.KeepCancelled),
		events:    newEventLog(config),
		rates:     newObserved(config),
	}
	e.cache = newCache(func(prefix uint64, evicted bool) { e.events.add(e.now, prefix, evicted) })
	return e
}

// SetRefuseMemory makes the engine refuse all new memory, or stop doing so.
func (e *Engine) SetRefuseMemory(on bool) { e.refusing = on }

// Counters returns the totals.
func (e *Engine) Counters() Counters { return e.counters }

// Events returns due cache events from the sequence given.
func (e *Engine) Events(now time.Duration, from uint64, limit int) api.CacheEvents {
	return e.events.since(now, from, limit)
}

// Reserve holds memory for a work. The same reservation again changes nothing.
func (e *Engine) Reserve(now time.Duration, r api.Reservation) error {
	e.advance(now)
	if r.Tokens <= 0 {
		return ErrInvalid
	}
	if e.cancelled.has(r.Work) {
		return ErrCancelled
	}
	if known := e.works[r.Work]; known != nil {
		if known.state == reserved && known.held == r.Tokens {
			return nil
		}
		return ErrDuplicate
	}
	if err := e.hold(r.Tokens); err != nil {
		return err
	}
	e.works[r.Work] = &entry{
		Submission: Submission{Work: r.Work, Owner: r.Owner, Deadline: r.Deadline},
		state:      reserved, held: r.Tokens,
	}
	return nil
}

// Submit queues a work. A reservation made for it before is taken over.
func (e *Engine) Submit(now time.Duration, s Submission) error {
	e.advance(now)
	if s.PromptTokens <= 0 || (!s.IsMember && s.MaxTokens <= 0) {
		return ErrInvalid
	}
	if e.cancelled.has(s.Work) {
		return ErrCancelled
	}
	known := e.works[s.Work]
	if known != nil && known.state != reserved {
		return ErrDuplicate
	}
	if known == nil && s.IsMember {
		return ErrNoReservation
	}
	if len(e.queue) >= e.config.MaxWaiting {
		return ErrQueueFull
	}
	return e.accept(known, s)
}

func (e *Engine) accept(known *entry, s Submission) error {
	held := 0
	if known != nil {
		held = known.held
		s.Owner, s.Deadline = orElse(s.Owner, known.Owner), laterOf(s.Deadline, known.Deadline)
	}
	need := s.PromptTokens
	if !s.IsMember {
		need += s.MaxTokens
	}
	if need > held {
		if err := e.hold(need - held); err != nil {
			return err
		}
		held = need
	}
	e.arrivals++
	w := &entry{Submission: s, arrival: e.arrivals, state: queued, held: held, left: s.PromptTokens}
	e.works[s.Work] = w
	at := sort.Search(len(e.queue), func(i int) bool { return w.before(e.queue[i]) })
	e.queue = slices.Insert(e.queue, at, w)
	if !s.IsMember {
		e.counters.Submitted++
	}
	return nil
}

func orElse(a, b api.Owner) api.Owner {
	if a == (api.Owner{}) {
		return b
	}
	return a
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RecordMembersPrefilled tells that every other member has processed its share.
func (e *Engine) RecordMembersPrefilled(now time.Duration, work api.WorkID) {
	e.advance(now)
	w := e.works[work]
	if w == nil || !w.IsLeader || w.membersDone {
		return
	}
	w.membersDone = true
	if w.state == joining {
		e.startDecoding(w)
	}
}

// Fail ends a work with an error.
func (e *Engine) Fail(now time.Duration, work api.WorkID) {
	e.advance(now)
	if w := e.works[work]; w != nil && w.state != finished {
		e.counters.Failed++
		e.end(w, api.FinishError)
	}
}

// Cancel gives back all the work holds and remembers it, so that it cannot
// start later. It reports whether the work held anything.
func (e *Engine) Cancel(now time.Duration, work api.WorkID) bool {
	e.advance(now)
	e.cancelled.add(work)
	w := e.works[work]
	if w == nil || w.state == finished {
		return false
	}
	e.counters.Cancelled++
	e.end(w, api.FinishCancelled)
	return true
}

// FailExpired fails every work whose deadline has passed.
func (e *Engine) FailExpired(now time.Duration, wall time.Time) {
	for _, w := range e.ListWork() {
		if !w.Deadline.IsZero() && wall.After(w.Deadline) {
			e.Fail(now, w.Work)
		}
	}
}

// ListWork lists what holds memory, ordered by request and attempt.
func (e *Engine) ListWork() []api.Work {
	list := make([]api.Work, 0, len(e.works))
	for _, w := range e.works {
		if w.held > 0 {
			list = append(list, api.Work{
				Work: w.Work, Owner: w.Owner, Deadline: w.Deadline, Tokens: w.held, Attached: attached(w.Observer),
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

// AttachmentReporter is implemented by an Observer that knows whether anybody reads.
type AttachmentReporter interface{ Attached() bool }

func attached(o Observer) bool {
	r, ok := o.(AttachmentReporter)
	return ok && r.Attached()
}

// hold takes memory; cached blocks give way.
func (e *Engine) hold(tokens int) error {
	if e.refusing || tokens > e.config.MemoryTokens-e.counters.HeldTokens {
		e.counters.RefusedForMemory++
		return ErrNoMemory
	}
	e.counters.HeldTokens += tokens
	e.counters.HeldTokensPeak = max(e.counters.HeldTokensPeak, e.counters.HeldTokens)
	e.cache.shrink(e.cacheLimit())
	return nil
}

func (e *Engine) cacheLimit() int {
	return (e.config.MemoryTokens - e.counters.HeldTokens) / api.PrefixBlockTokens
}

// end is the only place where memory is given back.
func (e *Engine) end(w *entry, finish string) {
	e.counters.HeldTokens -= w.held
	w.held = 0
	e.queue = without(e.queue, w)
	e.running = without(e.running, w)
	if w.inBatch {
		w.inBatch = false
		e.inBatch--
	}
	w.state, w.finish = finished, finish
	w.expires = e.now + e.config.KeepFinished
	w.PrefixChain = nil
	e.done = append(e.done, w)
	w.notify()
}

func without(list []*entry, w *entry) []*entry {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// advance moves the clock on and forgets finished works that are too old.
func (e *Engine) advance(now time.Duration) {
	e.now = max(e.now, now)
	n := 0
	for n < len(e.done) && e.done[n].expires <= e.now {
		delete(e.works, e.done[n].Work)
		n++
	}
	e.done = slices.Delete(e.done, 0, n)
}
