package balance

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/quarantine"
)

// Bounds on requests with a part that crashes servers, as the users state them.
const (
	freeCrashes          = 5
	settlingAfterCrashes = 3 * time.Second
	maxLaterArrivals     = 3
	minServedShare       = 0.5
)

// promptTraffic sends short prompts to random hosts at the given rate from a time
// on: the share bad of them with the crashing part, all with a part that every
// prompt has, and with one of a few callers.
func (sim *simulation) promptTraffic(random *rand.Rand, perSecond, bad float64, from, until time.Duration) {
	var next func()
	next = func() {
		if sim.now > until {
			return
		}
		parts := []string{"all", fmt.Sprint("caller-", random.IntN(10))}
		if random.Float64() < bad {
			parts = append(parts, sim.crashingPart)
		}
		sim.sendRequest(random.IntN(len(sim.cores)), shortRoute, 3000+random.IntN(4000), 200+random.IntN(1500), parts...)
		sim.schedule(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	sim.schedule(from-sim.now, next)
}

// servedShare returns the share of sound requests sent from one time to another that
// were served.
func (sim *simulation) servedShare(from, until time.Duration) float64 {
	all, served := 0, 0
	for _, r := range sim.results {
		if r.sentAt < from || r.sentAt >= until || slices.Contains(r.parts, sim.crashingPart) {
			continue
		}
		all++
		if r.delivered {
			served++
		}
	}
	return float64(served) / float64(max(1, all))
}

// laterArrivals returns the number of requests with the crashing part that reached
// servers when the bound on them was in force.
func (sim *simulation) laterArrivals() int {
	if len(sim.crashes) < freeCrashes {
		return 0
	}
	inForce := sim.crashes[freeCrashes-1] + settlingAfterCrashes
	later := 0
	for _, at := range sim.crashingArrivals {
		if at > inForce {
			later++
		}
	}
	return later
}

// TestCrashingPartIsQuarantinedInFleetsOfAllSizes guards against hosts that each
// have to see the crashes for themselves.
func TestCrashingPartIsQuarantinedInFleetsOfAllSizes(t *testing.T) {
	t.Parallel()
	type fleet struct {
		hosts, servers int
		reportDelay    time.Duration
	}
	fleets := []fleet{{2, 6, directDelayForTests}, {8, 18, directDelayForTests}, {24, 50, relayedDelayForTests}}
	if os.Getenv("CHESTNUT_LARGE_TESTS") != "" {
		fleets = append(fleets, fleet{80, 180, relayedDelayForTests})
	}
	for _, fleet := range fleets {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(fleet.hosts, " hosts, seed ", seed), func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimulation(PolicyPredict, fleet.hosts, fleet.servers, 100*seed)
				sim.reportDelay, sim.crashingPart = fleet.reportDelay, "bad"
				random := rand.New(rand.NewPCG(seed, 7))
				rate := 2.5 * float64(fleet.servers)
				sim.promptTraffic(random, rate, 0, 0, 4*time.Second)
				sim.promptTraffic(random, rate, 0.1, 4*time.Second, 12*time.Second)
				sim.runUntil(14 * time.Second)
				t.Logf("%d crashes, %d later arrivals, sound ones served %.3f before and %.3f since", len(sim.crashes), sim.laterArrivals(), sim.servedShare(0, 3500*time.Millisecond), sim.servedShare(4*time.Second, 12*time.Second))
				g.Expect(sim.laterArrivals()).To(BeNumerically("<=", maxLaterArrivals))
				g.Expect(sim.servedShare(4*time.Second, 12*time.Second)).To(BeNumerically(">=", minServedShare*sim.servedShare(0, 3500*time.Millisecond)))
				g.Expect(sim.quarantined).To(HaveLen(1), "only the part that crashes servers")
				g.Expect(sim.quarantined).To(HaveKey("bad"))
			})
		}
	}
}

const (
	directDelayForTests  = 8 * time.Millisecond
	relayedDelayForTests = 24 * time.Millisecond
)

// TestCrashesWithoutACommonPartQuarantineNothing guards against sound prompts that
// are refused because they were on servers that crashed.
func TestCrashesWithoutACommonPartQuarantineNothing(t *testing.T) {
	t.Parallel()
	for name, crash := range map[string]func(sim *simulation, random *rand.Rand){
		"a rack": func(sim *simulation, _ *rand.Rand) {
			for i := range 6 {
				sim.crash(sim.servers[fmt.Sprint("i-", i)], 3*time.Second)
			}
		},
		"one after the other": func(sim *simulation, random *rand.Rand) {
			for i := range 12 {
				sim.schedule(time.Duration(i)*300*time.Millisecond, func() {
					sim.crash(sim.servers[fmt.Sprint("i-", random.IntN(18))], 3*time.Second)
				})
			}
		},
		"all at once": func(sim *simulation, _ *rand.Rand) {
			for _, s := range sim.servers {
				sim.crash(s, time.Second)
			}
		},
	} {
		for _, start := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprint(name, " after ", start, ", seed ", seed), func(t *testing.T) {
					g := NewWithT(t)
					sim := newSimulation(PolicyPredict, 8, 18, 100*seed)
					random := rand.New(rand.NewPCG(seed, 7))
					sim.promptTraffic(random, 45, 0, 0, 10*time.Second)
					sim.schedule(start, func() { crash(sim, random) })
					sim.runUntil(14 * time.Second)
					g.Expect(sim.quarantined).To(BeEmpty())
				})
			}
		}
	}
}

// TestOneTrialEndsAQuarantineOnAllHosts guards against hosts that each try a
// quarantined part, and against a quarantine that never ends.
func TestOneTrialEndsAQuarantineOnAllHosts(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(PolicyPredict, 8, 18, 1)
	sim.crashingPart = "bad"
	random := rand.New(rand.NewPCG(1, 7))
	sim.promptTraffic(random, 45, 0, 0, 4*time.Second)
	sim.promptTraffic(random, 45, 0.1, 4*time.Second, 50*time.Second)
	sim.runUntil(10 * time.Second)
	arrived := len(sim.crashingArrivals)
	sim.healed = true
	convictedAt := sim.quarantined["bad"][0]
	firstTrial := convictedAt + 30*time.Second
	sim.runUntil(firstTrial - 100*time.Millisecond)
	g.Expect(sim.crashingArrivals).To(HaveLen(arrived), "none before the first trial")
	sim.runUntil(50 * time.Second)
	g.Expect(len(sim.crashingArrivals)).To(BeNumerically(">", arrived+20), "served again after the trial")
	beforeAnswer := 0
	for _, at := range sim.crashingArrivals[arrived:] {
		if at < sim.crashingArrivals[arrived]+soundAnswerTime {
			beforeAnswer++
		}
	}
	g.Expect(beforeAnswer).To(Equal(1), "a single trial")
	for _, core := range sim.cores {
		g.Expect(core.QuarantinedParts()).To(BeZero())
	}
}

// TestHostThatWasCutOffLearnsQuarantinesBeforeItSendsMore guards against a host that
// comes back and crashes servers until it has seen enough crashes itself.
func TestHostThatWasCutOffLearnsQuarantinesBeforeItSendsMore(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(PolicyPredict, 8, 18, 1)
	sim.crashingPart = "bad"
	sim.cutOff[3] = true
	for i := range 40 {
		sim.schedule(time.Duration(i)*100*time.Millisecond, func() { sim.sendRequest(i%3, shortRoute, 4000, 400, "all", "bad") })
	}
	sim.runUntil(5 * time.Second)
	bad := &request{Arrived: Arrived{SharedParts: []string{"all", "bad"}}}
	g.Expect(sim.cores[0].isQuarantined(bad, sim.now)).To(BeTrue())
	g.Expect(sim.cores[3].isQuarantined(bad, sim.now)).To(BeFalse())
	sim.cutOff[3] = false
	sim.runUntil(5*time.Second + 1700*time.Millisecond)
	g.Expect(sim.cores[3].isQuarantined(bad, sim.now)).To(BeTrue())
}

// quarantinePart makes a core quarantine a part by three crashes that other hosts
// report.
func quarantinePart(c *Core, part string, now time.Duration) {
	for i := range 3 {
		c.Step(now+time.Duration(i)*100*time.Millisecond, QuarantineReported{Report: QuarantineReport{
			Crashes: []quarantine.Crash{{Server: fmt.Sprint("i-other-", i), Host: "h2", Parts: []string{part}}},
		}})
	}
}

func TestQuarantinedPromptIsRefusedAtOnceWithTheTimeOfTheNextTrial(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	quarantinePart(c, "bad", 0)
	r := newArrival(1, shortRoute, "llm", 5000, time.Second)
	r.SharedParts = []string{"all", "bad"}
	refusal := firstRefuse(c.Step(time.Second, r))
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Code).To(Equal(CodePromptQuarantined))
	g.Expect(refusal.QuarantinedPart).To(Equal("bad"))
	g.Expect(refusal.RetryAfter).To(BeNumerically("~", 30*time.Second, time.Second))
}

func TestQueuedPromptIsRefusedWhenItsPartIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	// Prompts that take the whole memory of a server each, so that one of them waits.
	for n := range uint64(5) {
		r := newArrival(n+1, longPromptRoute, "llm", 220000, 0)
		r.SharedParts = []string{"all"}
		if n == 4 {
			r.SharedParts = []string{"bad"}
		}
		c.Step(0, r)
	}
	waiting := c.Waiting()
	g.Expect(c.requests[5].waiting).To(BeTrue())
	quarantinePart(c, "bad", 0)
	g.Expect(c.requests).NotTo(HaveKey(uint64(5)))
	g.Expect(c.Waiting()).To(Equal(waiting - 1))
}

func TestPromptIsNotRepeatedOnceItsPartIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	r := newArrival(1, shortRoute, "llm", 5000, 0)
	r.SharedParts = []string{"bad"}
	g.Expect(firstSend(c.Step(0, r))).NotTo(BeNil())
	quarantinePart(c, "bad", 0)
	effects := c.Step(time.Second, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: FailureAnswerLost, ConnectionBroken: true})
	g.Expect(firstSend(effects)).To(BeNil())
	g.Expect(effects).To(ContainElement(HaveField("Code", CodePromptQuarantined)), "it may have run, so it fails")
}

// TestConnectionsThatAreResetAtOnceBlameNoPrompt guards against prompts that are
// quarantined since a balancer in front of dead servers accepts connections and resets
// them.
func TestConnectionsThatAreResetAtOnceBlameNoPrompt(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	for n := range uint64(20) {
		now := time.Duration(n) * 200 * time.Millisecond
		r := newArrival(n+1, shortRoute, "llm", 5000, now)
		r.SharedParts = []string{"new"}
		sent := firstSend(c.Step(now, r))
		g.Expect(sent).NotTo(BeNil())
		c.Step(now+time.Millisecond, AttemptFailed{RequestNumber: n + 1, Attempt: sent.Attempt, Class: FailureAnswerLost, ConnectionBroken: true})
		c.Step(now+time.Millisecond, CallerGone{RequestNumber: n + 1})
	}
	g.Expect(c.QuarantinedParts()).To(BeZero())
}

// TestReservedPromptIsNotSentOnceItsPartIsQuarantined covers the time between the
// choice of servers and the confirmation of their memory.
func TestReservedPromptIsNotSentOnceItsPartIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	r := newArrival(1, longPromptRoute, "llm", 400000, 0)
	r.SharedParts = []string{"bad"}
	var asked []ReserveMemory
	for _, effect := range c.Step(0, r) {
		if e, ok := effect.(ReserveMemory); ok {
			asked = append(asked, e)
		}
	}
	g.Expect(len(asked)).To(BeNumerically(">", 1))
	quarantinePart(c, "bad", 0)
	var last []Effect
	for _, e := range asked {
		last = c.Step(time.Second, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: e.Member.Upstream, OK: true})
	}
	g.Expect(firstSend(last)).To(BeNil())
	g.Expect(firstRefuse(last).Code).To(Equal(CodePromptQuarantined))
	released := 0
	for _, effect := range last {
		if _, ok := effect.(ReleaseMemory); ok {
			released++
		}
	}
	g.Expect(released).To(Equal(len(asked)))
}
