package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a small fake of everything around a core: engines that run, lose
// and refuse work, plain services, and callers. It draws every choice from one
// generator, so a run is a function of its seed.
type world struct {
	core *Core
	rng  *rand.Rand
	now  time.Duration
	// chaos is the probability that a step of an upstream goes wrong.
	chaos float64

	held    map[string]map[workKey]int
	tombs   map[workKey]bool
	pending []scheduled
	calls   map[string]*caller
	// runs counts, by request, the attempts that an upstream really ran.
	runs map[string]int
	// leftAt is when an upstream announced its leaving.
	leftAt map[string]time.Duration
	faults []string
	// record keeps every event and effect in log.
	record bool
	log    []string
}

// scheduled is an event that comes later.
type scheduled struct {
	at    time.Duration
	order int
	event Event
}

// caller is what a caller was told.
type caller struct {
	deadline time.Duration
	admitted bool
	finals   int
	outcome  Outcome
	success  bool
	never    bool
	ended    time.Duration
}

func testConfig(policy Policy, seed uint64) Config {
	cfg := DefaultConfig()
	cfg.Host = "host-1"
	cfg.Incarnation = 7
	cfg.DataCentre = "a"
	cfg.Policy = policy
	cfg.Seed = seed
	return cfg
}

func newWorld(policy Policy, seed uint64, chaos float64) *world {
	core, err := New(testConfig(policy, seed))
	if err != nil {
		panic(err)
	}
	w := &world{
		core:   core,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		chaos:  chaos,
		held:   make(map[string]map[workKey]int),
		tombs:  make(map[workKey]bool),
		calls:  make(map[string]*caller),
		runs:   make(map[string]int),
		leftAt: make(map[string]time.Duration),
	}
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i)
		w.held[name] = make(map[workKey]int)
		w.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a"})
		w.report(name)
	}
	for i := range 2 {
		name := fmt.Sprintf("orders-%d", i)
		w.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a", Service: "orders"})
	}
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) wrong() bool { return w.rng.Float64() < w.chaos }

func (w *world) after(d time.Duration, e Event) {
	w.pending = append(w.pending, scheduled{at: w.now + d, order: len(w.pending), event: e})
}

func (w *world) step(e Event) {
	w.note("%d %T%+v", w.now, e, e)
	for _, f := range slices.Clone(w.core.Step(w.now, e)) {
		w.note("  %T%+v", f, f)
		w.apply(f)
	}
}

func (w *world) note(format string, args ...any) {
	if w.record {
		w.log = append(w.log, fmt.Sprintf(format, args...))
	}
}

func (w *world) report(name string) {
	used := 0
	for _, tokens := range w.held[name] {
		used += tokens
	}
	w.step(LoadReported{
		Name: name, RequestedAt: w.now, Running: len(w.held[name]), MemoryUsed: used,
		MemoryTotal: 400_000, PrefillRate: 90_000, DecodeStep: 40 * time.Millisecond, Models: []string{"m@1"},
	})
}

func (w *world) list(name string) {
	var work []HeldWork
	for k, tokens := range w.held[name] {
		work = append(work, HeldWork{
			ID: k.id, Attempt: k.attempt, Host: "host-1", Incarnation: 7,
			Deadline: w.calls[k.id].deadline, MemoryTokens: tokens,
		})
	}
	slices.SortFunc(work, func(a, b HeldWork) int {
		if workKey.less(workKey{id: a.ID, attempt: a.Attempt}, workKey{id: b.ID, attempt: b.Attempt}) {
			return -1
		}
		return 1
	})
	w.step(WorkListed{Name: name, Work: work})
}

// run advances the world by a duration, in ticks.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		due := w.due()
		for _, s := range due {
			w.deliver(s.event)
		}
		w.step(Tick{})
		if w.now%(250*time.Millisecond) == 0 {
			for i := range 6 {
				w.report(fmt.Sprintf("engine-%d", i))
			}
			for i := range 2 {
				w.step(LoadReported{Name: fmt.Sprintf("orders-%d", i), RequestedAt: w.now})
			}
		}
		if w.now%time.Second == 0 {
			for i := range 6 {
				w.list(fmt.Sprintf("engine-%d", i))
			}
		}
	}
}

func (w *world) due() []scheduled {
	var due, later []scheduled
	for _, s := range w.pending {
		if s.at <= w.now {
			due = append(due, s)
		} else {
			later = append(later, s)
		}
	}
	w.pending = later
	slices.SortStableFunc(due, func(a, b scheduled) int { return int(a.at - b.at) })
	return due
}

// deliver hands an event over; work that ended frees the engine's memory first.
func (w *world) deliver(e Event) {
	if f, ok := e.(Finished); ok {
		w.release(f.ID, f.Attempt)
	}
	w.step(e)
}

func (w *world) release(id string, attempt uint32) {
	r := w.core.requests[id]
	if r == nil || len(r.group) == 0 {
		return
	}
	delete(w.held[r.group[0].name], workKey{upstream: r.group[0].name, id: id, attempt: attempt})
}

func (w *world) apply(f Effect) {
	switch e := f.(type) {
	case Admit:
		w.calls[e.ID].admitted = true
	case Refuse:
		w.final(e.ID, OutcomeNotRun, false)
	case Fail:
		w.final(e.ID, e.Outcome, false)
	case Done:
		if c := w.calls[e.ID]; c.finals == 0 {
			w.final(e.ID, "", true)
		}
	case Reserve:
		w.reserve(e)
	case Send:
		w.send(e)
	case Resume:
		w.after(20*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case Call:
		w.call(e)
	case Cancel:
		w.cancel(e)
	case Drop, Drained, ResyncCache:
	}
}

func (w *world) final(id string, outcome Outcome, success bool) {
	c := w.calls[id]
	c.finals++
	c.outcome = outcome
	c.success = success
	c.ended = w.now
	if c.finals > 1 {
		w.fault("%s got %d final answers", id, c.finals)
	}
	if c.admitted && w.now > c.deadline {
		w.fault("%s ended %v after its deadline", id, w.now-c.deadline)
	}
	if outcome == OutcomeNotRun && w.runs[id] > 0 {
		w.fault("%s was told not_run but ran %d times", id, w.runs[id])
	}
}

func (w *world) checkLeaving(name string) {
	if at, leaving := w.leftAt[name]; leaving && w.now > at {
		w.fault("%s got new work %v after it announced its leaving", name, w.now-at)
	}
}

func (w *world) reserve(e Reserve) {
	w.checkLeaving(e.Upstream)
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Reserved{ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream}
	if w.wrong() {
		answer.FailureClass = FailureNoMemory
		w.after(5*time.Millisecond, answer)
		return
	}
	if !w.tombs[k] {
		w.held[e.Upstream][k] = e.MemoryTokens
	}
	if w.wrong() {
		answer.FailureClass = FailureOutcomeUnknown
	}
	w.after(5*time.Millisecond, answer)
}

func (w *world) send(e Send) {
	leader := e.Group[0].Upstream
	w.checkLeaving(leader)
	k := workKey{upstream: leader, id: e.ID, attempt: e.Attempt}
	if w.wrong() {
		w.after(5*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	w.runs[e.ID]++
	if !w.tombs[k] && w.held[leader][k] == 0 {
		w.held[leader][k] = w.core.requests[e.ID].totalTokens()
	}
	prefill := time.Duration(w.rng.IntN(500)) * time.Millisecond
	decode := time.Duration(w.rng.IntN(8000)) * time.Millisecond
	switch w.rng.IntN(4) {
	case 0:
		if w.wrong() {
			w.after(prefill, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
			return
		}
	case 1:
		if w.wrong() {
			// Silent for good.
			return
		}
	case 2:
		if w.wrong() {
			w.after(prefill, Stalled{ID: e.ID, Attempt: e.Attempt})
			return
		}
	}
	w.after(prefill, FirstToken{ID: e.ID, Attempt: e.Attempt})
	w.after(prefill+decode, Finished{ID: e.ID, Attempt: e.Attempt, AnswerTokens: 10})
}

func (w *world) call(e Call) {
	w.checkLeaving(e.Upstream)
	latency := time.Duration(1+w.rng.IntN(50)) * time.Millisecond
	if w.wrong() {
		w.after(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	w.runs[e.ID]++
	if w.calls[e.ID].never && w.runs[e.ID] > 1 {
		w.fault("%s may not be repeated and ran %d times", e.ID, w.runs[e.ID])
	}
	switch {
	case w.wrong():
		w.after(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case w.wrong():
		// The answer never comes.
	default:
		w.after(latency, Finished{ID: e.ID, Attempt: e.Attempt})
	}
}

func (w *world) cancel(e Cancel) {
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Cancelled{Upstream: e.Upstream, ID: e.ID, Attempt: e.Attempt}
	if w.wrong() {
		w.after(20*time.Millisecond, answer)
		return
	}
	w.tombs[k] = true
	delete(w.held[e.Upstream], k)
	answer.Confirmed = !w.wrong()
	w.after(5*time.Millisecond, answer)
}

// arrive brings a request of a random shape.
func (w *world) arrive(n int) {
	e := Arrived{
		ID:           fmt.Sprintf("r%05d", n),
		Organisation: fmt.Sprintf("org-%02d", w.rng.IntN(5)),
		Share:        1,
		PromptTokens: 1000 + w.rng.IntN(1<<(10+w.rng.IntN(10))),
		MaxTokens:    16 + w.rng.IntN(200),
		Model:        "m@1",
		Deadline:     w.now + time.Duration(1+w.rng.IntN(60))*time.Second,
	}
	if w.rng.IntN(5) == 0 {
		e.Model, e.Service, e.PromptTokens, e.MaxTokens = "", "orders", 0, 0
		e.NeverRepeat = w.rng.IntN(2) == 0
	}
	w.calls[e.ID] = &caller{deadline: e.Deadline, never: e.NeverRepeat}
	w.step(e)
}

// settle lets everything end and checks that nothing is held any more.
func (w *world) settle() {
	w.chaos = 0
	w.run(100 * time.Second)
	for name, held := range w.held {
		for k, tokens := range held {
			w.fault("%s still holds %d tokens for %s attempt %d", name, tokens, k.id, k.attempt)
		}
	}
	for _, u := range w.core.upstreams {
		if u.requests != 0 || u.prefill != 0 || u.memory != 0 || u.longs != 0 {
			w.fault("books of %s are not even: %d requests, %d prefill, %d memory, %d long",
				u.name, u.requests, u.prefill, u.memory, u.longs)
		}
	}
	for id, c := range w.calls {
		if c.finals != 1 {
			w.fault("%s got %d final answers", id, c.finals)
		}
	}
	if len(w.core.requests) != 0 || w.core.cancels.len() != 0 {
		w.fault("core keeps %d requests and %d cancels", len(w.core.requests), w.core.cancels.len())
	}
}
