package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation is a simple model of everything around a core: engines that run,
// lose and refuse work, plain services, and callers. It draws every choice from
// one random generator, so that a run depends only on its seed.
type simulation struct {
	core *Core
	rng  *rand.Rand
	now  time.Duration
	// faultProbability is the probability that a step of an upstream goes
	// wrong.
	faultProbability float64

	// heldMemory is the memory in tokens that work holds, by engine.
	// cancelledWork is the work that was cancelled, which the engine does not
	// accept any more.
	heldMemory      map[string]map[workKey]int
	cancelledWork   map[workKey]bool
	scheduledEvents []scheduledEvent
	callers         map[string]*simulatedCaller
	// runs is the number of attempts that an upstream really ran, by request.
	runs map[string]int
	// leavingSince is when an upstream announced that it is leaving.
	leavingSince map[string]time.Duration
	violations   []string
	// record is set if every event and effect is to be kept in log.
	record bool
	log    []string
}

// scheduledEvent is an event that is delivered later.
type scheduledEvent struct {
	at    time.Duration
	order int
	event Event
}

// simulatedCaller is a caller with the answers that it got.
type simulatedCaller struct {
	deadline     time.Duration
	admitted     bool
	finalAnswers int
	outcome      Outcome
	success      bool
	neverRepeat  bool
	endedAt      time.Duration
}

// testConfig returns the default configuration of a host with the given policy
// and seed.
func testConfig(policy Policy, seed uint64) Config {
	cfg := DefaultConfig()
	cfg.Host = "host-1"
	cfg.Incarnation = 7
	cfg.DataCentre = "a"
	cfg.Policy = policy
	cfg.Seed = seed
	return cfg
}

// newSimulation returns a simulation with 6 engines and 2 upstreams of one
// plain service.
func newSimulation(policy Policy, seed uint64, faultProbability float64) *simulation {
	core, err := New(testConfig(policy, seed))
	if err != nil {
		panic(err)
	}
	w := &simulation{
		core:             core,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		faultProbability: faultProbability,
		heldMemory:       make(map[string]map[workKey]int),
		cancelledWork:    make(map[workKey]bool),
		callers:          make(map[string]*simulatedCaller),
		runs:             make(map[string]int),
		leavingSince:     make(map[string]time.Duration),
	}
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i)
		w.heldMemory[name] = make(map[workKey]int)
		w.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a"})
		w.reportLoad(name)
	}
	for i := range 2 {
		name := fmt.Sprintf("orders-%d", i)
		w.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a", Service: "orders"})
	}
	return w
}

// recordViolation records that the core broke one of its guarantees.
func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// drawFault reports whether the next step of an upstream goes wrong.
func (w *simulation) drawFault() bool { return w.rng.Float64() < w.faultProbability }

// schedule delivers an event after a delay.
func (w *simulation) schedule(d time.Duration, e Event) {
	w.scheduledEvents = append(w.scheduledEvents, scheduledEvent{at: w.now + d, order: len(w.scheduledEvents), event: e})
}

// step passes an event to the core and carries out the effects.
func (w *simulation) step(e Event) {
	w.recordLine("%d %T%+v", w.now, e, e)
	for _, f := range slices.Clone(w.core.Step(w.now, e)) {
		w.recordLine("  %T%+v", f, f)
		w.carryOut(f)
	}
}

// recordLine adds a line to the log if the run is recorded.
func (w *simulation) recordLine(format string, args ...any) {
	if w.record {
		w.log = append(w.log, fmt.Sprintf(format, args...))
	}
}

// reportLoad delivers the load report of an engine.
func (w *simulation) reportLoad(name string) {
	used := 0
	for _, tokens := range w.heldMemory[name] {
		used += tokens
	}
	w.step(LoadReported{
		Name: name, RequestedAt: w.now, Running: len(w.heldMemory[name]), MemoryUsed: used,
		MemoryTotal: 400_000, PrefillRate: 90_000, DecodeStep: 40 * time.Millisecond, Models: []string{"m@1"},
	})
}

// listWork delivers the work list of an engine.
func (w *simulation) listWork(name string) {
	var work []HeldWork
	for k, tokens := range w.heldMemory[name] {
		work = append(work, HeldWork{
			ID: k.id, Attempt: k.attempt, Host: "host-1", Incarnation: 7,
			Deadline: w.callers[k.id].deadline, MemoryTokens: tokens,
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

// advance lets the given time pass in steps of one tick, and delivers ticks,
// scheduled events, load reports and work lists.
func (w *simulation) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		dueEvents := w.dueEvents()
		for _, s := range dueEvents {
			w.deliver(s.event)
		}
		w.step(Tick{})
		if w.now%(250*time.Millisecond) == 0 {
			for i := range 6 {
				w.reportLoad(fmt.Sprintf("engine-%d", i))
			}
			for i := range 2 {
				w.step(LoadReported{Name: fmt.Sprintf("orders-%d", i), RequestedAt: w.now})
			}
		}
		if w.now%time.Second == 0 {
			for i := range 6 {
				w.listWork(fmt.Sprintf("engine-%d", i))
			}
		}
	}
}

// dueEvents removes the scheduled events that are due and returns them in the
// order of their times.
func (w *simulation) dueEvents() []scheduledEvent {
	var dueEvents, later []scheduledEvent
	for _, s := range w.scheduledEvents {
		if s.at <= w.now {
			dueEvents = append(dueEvents, s)
		} else {
			later = append(later, s)
		}
	}
	w.scheduledEvents = later
	slices.SortStableFunc(dueEvents, func(a, b scheduledEvent) int { return int(a.at - b.at) })
	return dueEvents
}

// deliver passes an event to the core. If it ends an attempt, the leader first
// frees its memory, as an engine does.
func (w *simulation) deliver(e Event) {
	if f, ok := e.(Finished); ok {
		w.releaseMemory(f.ID, f.Attempt)
	}
	w.step(e)
}

// releaseMemory frees the memory that the leader of an attempt's group holds.
func (w *simulation) releaseMemory(id string, attempt uint32) {
	r := w.core.requests[id]
	if r == nil || len(r.group) == 0 {
		return
	}
	delete(w.heldMemory[r.group[0].name], workKey{upstream: r.group[0].name, id: id, attempt: attempt})
}

// carryOut carries out an effect.
func (w *simulation) carryOut(f Effect) {
	switch e := f.(type) {
	case Admit:
		w.callers[e.ID].admitted = true
	case Refuse:
		w.recordFinalAnswer(e.ID, OutcomeNotRun, false)
	case Fail:
		w.recordFinalAnswer(e.ID, e.Outcome, false)
	case Done:
		if c := w.callers[e.ID]; c.finalAnswers == 0 {
			w.recordFinalAnswer(e.ID, "", true)
		}
	case Reserve:
		w.reserve(e)
	case Send:
		w.send(e)
	case Resume:
		w.schedule(20*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case Call:
		w.call(e)
	case Cancel:
		w.cancel(e)
	case Drop, Drained, ResyncCache:
	}
}

// recordFinalAnswer records the final answer to a caller and checks that it is
// the only one, comes in time, and gives the outcome not_run only if no attempt
// was run.
func (w *simulation) recordFinalAnswer(id string, outcome Outcome, success bool) {
	c := w.callers[id]
	c.finalAnswers++
	c.outcome = outcome
	c.success = success
	c.endedAt = w.now
	if c.finalAnswers > 1 {
		w.recordViolation("%s got %d final answers", id, c.finalAnswers)
	}
	if c.admitted && w.now > c.deadline {
		w.recordViolation("%s ended %v after its deadline", id, w.now-c.deadline)
	}
	if outcome == OutcomeNotRun && w.runs[id] > 0 {
		w.recordViolation("%s got the outcome not_run but ran %d times", id, w.runs[id])
	}
}

// checkNotLeaving checks that an upstream that gets new work has not announced
// that it is leaving.
func (w *simulation) checkNotLeaving(name string) {
	if at, leaving := w.leavingSince[name]; leaving && w.now > at {
		w.recordViolation("%s got new work %v after it announced its leaving", name, w.now-at)
	}
}

// reserve plays an engine that is asked to reserve memory.
func (w *simulation) reserve(e Reserve) {
	w.checkNotLeaving(e.Upstream)
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Reserved{ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream}
	if w.drawFault() {
		answer.FailureClass = FailureNoMemory
		w.schedule(5*time.Millisecond, answer)
		return
	}
	if !w.cancelledWork[k] {
		w.heldMemory[e.Upstream][k] = e.MemoryTokens
	}
	if w.drawFault() {
		answer.FailureClass = FailureOutcomeUnknown
	}
	w.schedule(5*time.Millisecond, answer)
}

// send plays an engine that gets a request.
func (w *simulation) send(e Send) {
	leader := e.Group[0].Upstream
	w.checkNotLeaving(leader)
	k := workKey{upstream: leader, id: e.ID, attempt: e.Attempt}
	if w.drawFault() {
		w.schedule(5*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	w.runs[e.ID]++
	if !w.cancelledWork[k] && w.heldMemory[leader][k] == 0 {
		w.heldMemory[leader][k] = w.core.requests[e.ID].totalTokens()
	}
	prefill := time.Duration(w.rng.IntN(500)) * time.Millisecond
	decode := time.Duration(w.rng.IntN(8000)) * time.Millisecond
	switch w.rng.IntN(4) {
	case 0:
		if w.drawFault() {
			w.schedule(prefill, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
			return
		}
	case 1:
		if w.drawFault() {
			// The stream stays silent for good.
			return
		}
	case 2:
		if w.drawFault() {
			w.schedule(prefill, Stalled{ID: e.ID, Attempt: e.Attempt})
			return
		}
	}
	w.schedule(prefill, FirstToken{ID: e.ID, Attempt: e.Attempt})
	w.schedule(prefill+decode, Finished{ID: e.ID, Attempt: e.Attempt, AnswerTokens: 10})
}

// call plays a plain service.
func (w *simulation) call(e Call) {
	w.checkNotLeaving(e.Upstream)
	latency := time.Duration(1+w.rng.IntN(50)) * time.Millisecond
	if w.drawFault() {
		w.schedule(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	w.runs[e.ID]++
	if w.callers[e.ID].neverRepeat && w.runs[e.ID] > 1 {
		w.recordViolation("%s may not be repeated but ran %d times", e.ID, w.runs[e.ID])
	}
	switch {
	case w.drawFault():
		w.schedule(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case w.drawFault():
		// The answer never comes.
	default:
		w.schedule(latency, Finished{ID: e.ID, Attempt: e.Attempt})
	}
}

// cancel plays an engine that gets a cancel.
func (w *simulation) cancel(e Cancel) {
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Cancelled{Upstream: e.Upstream, ID: e.ID, Attempt: e.Attempt}
	if w.drawFault() {
		w.schedule(20*time.Millisecond, answer)
		return
	}
	w.cancelledWork[k] = true
	delete(w.heldMemory[e.Upstream], k)
	answer.Confirmed = !w.drawFault()
	w.schedule(5*time.Millisecond, answer)
}

// arriveRandom lets a request with random properties arrive.
func (w *simulation) arriveRandom(n int) {
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
	w.callers[e.ID] = &simulatedCaller{deadline: e.Deadline, neverRepeat: e.NeverRepeat}
	w.step(e)
}

// finishAndCheck lets all requests end without further faults. It checks that
// no engine holds memory, that the core has no load, requests or cancels left,
// and that each caller got one final answer.
func (w *simulation) finishAndCheck() {
	w.faultProbability = 0
	w.advance(100 * time.Second)
	for name, held := range w.heldMemory {
		for k, tokens := range held {
			w.recordViolation("%s still holds %d tokens for %s attempt %d", name, tokens, k.id, k.attempt)
		}
	}
	for _, u := range w.core.upstreams {
		if u.ownRequests != 0 || u.ownPrefill != 0 || u.ownMemory != 0 || u.ownLongPrompts != 0 {
			w.recordViolation("load is left on %s: %d requests, %d prefill tokens, %d memory tokens, %d long prompts",
				u.name, u.ownRequests, u.ownPrefill, u.ownMemory, u.ownLongPrompts)
		}
	}
	for id, c := range w.callers {
		if c.finalAnswers != 1 {
			w.recordViolation("%s got %d final answers", id, c.finalAnswers)
		}
	}
	if len(w.core.requests) != 0 || w.core.cancels.len() != 0 {
		w.recordViolation("the core still has %d requests and %d unconfirmed cancels", len(w.core.requests), w.core.cancels.len())
	}
}
