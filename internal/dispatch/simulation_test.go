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
	sim := &simulation{
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
		sim.heldMemory[name] = make(map[workKey]int)
		sim.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a"})
		sim.reportLoad(name)
	}
	for i := range 2 {
		name := fmt.Sprintf("orders-%d", i)
		sim.step(UpstreamListed{Name: name, Address: name + ":1", DataCentre: "a", Service: "orders"})
	}
	return sim
}

// recordViolation records that the core broke one of its guarantees.
func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// drawFault reports whether the next step of an upstream goes wrong.
func (sim *simulation) drawFault() bool { return sim.rng.Float64() < sim.faultProbability }

// schedule delivers an event after a delay.
func (sim *simulation) schedule(d time.Duration, e Event) {
	sim.scheduledEvents = append(sim.scheduledEvents, scheduledEvent{at: sim.now + d, order: len(sim.scheduledEvents), event: e})
}

// step passes an event to the core and carries out the effects.
func (sim *simulation) step(e Event) {
	sim.recordLine("%d %T%+v", sim.now, e, e)
	for _, f := range slices.Clone(sim.core.Step(sim.now, e)) {
		sim.recordLine("  %T%+v", f, f)
		sim.carryOut(f)
	}
}

// recordLine adds a line to the log if the run is recorded.
func (sim *simulation) recordLine(format string, args ...any) {
	if sim.record {
		sim.log = append(sim.log, fmt.Sprintf(format, args...))
	}
}

// reportLoad delivers the load report of an engine.
func (sim *simulation) reportLoad(name string) {
	used := 0
	for _, tokens := range sim.heldMemory[name] {
		used += tokens
	}
	sim.step(LoadReported{
		Name: name, RequestedAt: sim.now, Running: len(sim.heldMemory[name]), MemoryUsed: used,
		MemoryTotal: 400_000, PrefillRate: 90_000, DecodeStep: 40 * time.Millisecond, Models: []string{"m@1"},
	})
}

// listWork delivers the work list of an engine.
func (sim *simulation) listWork(name string) {
	var work []HeldWork
	for k, tokens := range sim.heldMemory[name] {
		work = append(work, HeldWork{
			ID: k.id, Attempt: k.attempt, Host: "host-1", Incarnation: 7,
			Deadline: sim.callers[k.id].deadline, MemoryTokens: tokens,
		})
	}
	slices.SortFunc(work, func(a, b HeldWork) int {
		if workKey.less(workKey{id: a.ID, attempt: a.Attempt}, workKey{id: b.ID, attempt: b.Attempt}) {
			return -1
		}
		return 1
	})
	sim.step(WorkListed{Name: name, Work: work})
}

// advance lets the given time pass in steps of one tick, and delivers ticks,
// scheduled events, load reports and work lists.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += 10 * time.Millisecond
		dueEvents := sim.dueEvents()
		for _, s := range dueEvents {
			sim.deliver(s.event)
		}
		sim.step(Tick{})
		if sim.now%(250*time.Millisecond) == 0 {
			for i := range 6 {
				sim.reportLoad(fmt.Sprintf("engine-%d", i))
			}
			for i := range 2 {
				sim.step(LoadReported{Name: fmt.Sprintf("orders-%d", i), RequestedAt: sim.now})
			}
		}
		if sim.now%time.Second == 0 {
			for i := range 6 {
				sim.listWork(fmt.Sprintf("engine-%d", i))
			}
		}
	}
}

// dueEvents removes the scheduled events that are due and returns them in the
// order of their times.
func (sim *simulation) dueEvents() []scheduledEvent {
	var dueEvents, later []scheduledEvent
	for _, s := range sim.scheduledEvents {
		if s.at <= sim.now {
			dueEvents = append(dueEvents, s)
		} else {
			later = append(later, s)
		}
	}
	sim.scheduledEvents = later
	slices.SortStableFunc(dueEvents, func(a, b scheduledEvent) int { return int(a.at - b.at) })
	return dueEvents
}

// deliver passes an event to the core. If it ends an attempt, the leader first
// frees its memory, as an engine does.
func (sim *simulation) deliver(e Event) {
	if f, ok := e.(Finished); ok {
		sim.releaseMemory(f.ID, f.Attempt)
	}
	sim.step(e)
}

// releaseMemory frees the memory that the leader of an attempt's group holds.
func (sim *simulation) releaseMemory(id string, attempt uint32) {
	r := sim.core.requests[id]
	if r == nil || len(r.group) == 0 {
		return
	}
	delete(sim.heldMemory[r.group[0].name], workKey{upstream: r.group[0].name, id: id, attempt: attempt})
}

// carryOut carries out an effect.
func (sim *simulation) carryOut(f Effect) {
	switch e := f.(type) {
	case Admit:
		sim.callers[e.ID].admitted = true
	case Refuse:
		sim.recordFinalAnswer(e.ID, OutcomeNotRun, false)
	case Fail:
		sim.recordFinalAnswer(e.ID, e.Outcome, false)
	case Done:
		if c := sim.callers[e.ID]; c.finalAnswers == 0 {
			sim.recordFinalAnswer(e.ID, "", true)
		}
	case Reserve:
		sim.reserve(e)
	case Send:
		sim.send(e)
	case Resume:
		sim.schedule(20*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case Call:
		sim.call(e)
	case Cancel:
		sim.cancel(e)
	case Drop, Drained, ResyncCache:
	}
}

// recordFinalAnswer records the final answer to a caller and checks that it is
// the only one, comes in time, and gives the outcome not_run only if no attempt
// was run.
func (sim *simulation) recordFinalAnswer(id string, outcome Outcome, success bool) {
	c := sim.callers[id]
	c.finalAnswers++
	c.outcome = outcome
	c.success = success
	c.endedAt = sim.now
	if c.finalAnswers > 1 {
		sim.recordViolation("%s got %d final answers", id, c.finalAnswers)
	}
	if c.admitted && sim.now > c.deadline {
		sim.recordViolation("%s ended %v after its deadline", id, sim.now-c.deadline)
	}
	if outcome == OutcomeNotRun && sim.runs[id] > 0 {
		sim.recordViolation("%s got the outcome not_run but ran %d times", id, sim.runs[id])
	}
}

// checkNotLeaving checks that an upstream that gets new work has not announced
// that it is leaving.
func (sim *simulation) checkNotLeaving(name string) {
	if at, leaving := sim.leavingSince[name]; leaving && sim.now > at {
		sim.recordViolation("%s got new work %v after it announced its leaving", name, sim.now-at)
	}
}

// reserve plays an engine that is asked to reserve memory.
func (sim *simulation) reserve(e Reserve) {
	sim.checkNotLeaving(e.Upstream)
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Reserved{ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream}
	if sim.drawFault() {
		answer.FailureClass = FailureNoMemory
		sim.schedule(5*time.Millisecond, answer)
		return
	}
	if !sim.cancelledWork[k] {
		sim.heldMemory[e.Upstream][k] = e.MemoryTokens
	}
	if sim.drawFault() {
		answer.FailureClass = FailureOutcomeUnknown
	}
	sim.schedule(5*time.Millisecond, answer)
}

// send plays an engine that gets a request.
func (sim *simulation) send(e Send) {
	leader := e.Group[0].Upstream
	sim.checkNotLeaving(leader)
	k := workKey{upstream: leader, id: e.ID, attempt: e.Attempt}
	if sim.drawFault() {
		sim.schedule(5*time.Millisecond, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	sim.runs[e.ID]++
	if !sim.cancelledWork[k] && sim.heldMemory[leader][k] == 0 {
		sim.heldMemory[leader][k] = sim.core.requests[e.ID].totalTokens()
	}
	prefill := time.Duration(sim.rng.IntN(500)) * time.Millisecond
	decode := time.Duration(sim.rng.IntN(8000)) * time.Millisecond
	switch sim.rng.IntN(4) {
	case 0:
		if sim.drawFault() {
			sim.schedule(prefill, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
			return
		}
	case 1:
		if sim.drawFault() {
			// The stream stays silent for good.
			return
		}
	case 2:
		if sim.drawFault() {
			sim.schedule(prefill, Stalled{ID: e.ID, Attempt: e.Attempt})
			return
		}
	}
	sim.schedule(prefill, FirstToken{ID: e.ID, Attempt: e.Attempt})
	sim.schedule(prefill+decode, Finished{ID: e.ID, Attempt: e.Attempt, AnswerTokens: 10})
}

// call plays a plain service.
func (sim *simulation) call(e Call) {
	sim.checkNotLeaving(e.Upstream)
	latency := time.Duration(1+sim.rng.IntN(50)) * time.Millisecond
	if sim.drawFault() {
		sim.schedule(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureNotRun})
		return
	}
	sim.runs[e.ID]++
	if sim.callers[e.ID].neverRepeat && sim.runs[e.ID] > 1 {
		sim.recordViolation("%s may not be repeated but ran %d times", e.ID, sim.runs[e.ID])
	}
	switch {
	case sim.drawFault():
		sim.schedule(latency, AttemptFailed{ID: e.ID, Attempt: e.Attempt, FailureClass: FailureOutcomeUnknown})
	case sim.drawFault():
		// The answer never comes.
	default:
		sim.schedule(latency, Finished{ID: e.ID, Attempt: e.Attempt})
	}
}

// cancel plays an engine that gets a cancel.
func (sim *simulation) cancel(e Cancel) {
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	answer := Cancelled{Upstream: e.Upstream, ID: e.ID, Attempt: e.Attempt}
	if sim.drawFault() {
		sim.schedule(20*time.Millisecond, answer)
		return
	}
	sim.cancelledWork[k] = true
	delete(sim.heldMemory[e.Upstream], k)
	answer.Confirmed = !sim.drawFault()
	sim.schedule(5*time.Millisecond, answer)
}

// arriveRandom lets a request with random properties arrive.
func (sim *simulation) arriveRandom(n int) {
	e := Arrived{
		ID:           fmt.Sprintf("r%05d", n),
		Organisation: fmt.Sprintf("org-%02d", sim.rng.IntN(5)),
		Share:        1,
		PromptTokens: 1000 + sim.rng.IntN(1<<(10+sim.rng.IntN(10))),
		MaxTokens:    16 + sim.rng.IntN(200),
		Model:        "m@1",
		Deadline:     sim.now + time.Duration(1+sim.rng.IntN(60))*time.Second,
	}
	if sim.rng.IntN(5) == 0 {
		e.Model, e.Service, e.PromptTokens, e.MaxTokens = "", "orders", 0, 0
		e.NeverRepeat = sim.rng.IntN(2) == 0
	}
	sim.callers[e.ID] = &simulatedCaller{deadline: e.Deadline, neverRepeat: e.NeverRepeat}
	sim.step(e)
}

// finishAndCheck lets all requests end without further faults. It checks that
// no engine holds memory, that the core has no load, requests or cancels left,
// and that each caller got one final answer.
func (sim *simulation) finishAndCheck() {
	sim.faultProbability = 0
	sim.advance(100 * time.Second)
	for name, held := range sim.heldMemory {
		for k, tokens := range held {
			sim.recordViolation("%s still holds %d tokens for %s attempt %d", name, tokens, k.id, k.attempt)
		}
	}
	for _, u := range sim.core.upstreams {
		if u.ownRequests != 0 || u.ownPrefill != 0 || u.ownMemory != 0 || u.ownLongPrompts != 0 {
			sim.recordViolation("load is left on %s: %d requests, %d prefill tokens, %d memory tokens, %d long prompts",
				u.name, u.ownRequests, u.ownPrefill, u.ownMemory, u.ownLongPrompts)
		}
	}
	for id, c := range sim.callers {
		if c.finalAnswers != 1 {
			sim.recordViolation("%s got %d final answers", id, c.finalAnswers)
		}
	}
	if len(sim.core.requests) != 0 || sim.core.cancels.len() != 0 {
		sim.recordViolation("the core still has %d requests and %d unconfirmed cancels", len(sim.core.requests), sim.core.cancels.len())
	}
}
