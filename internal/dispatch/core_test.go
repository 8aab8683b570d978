package dispatch

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rapidSeed makes the generated runs the same every time; the flag -rapid.seed
// selects other runs.
const rapidSeed = "20261203"

// TestMain sets the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runWithFaults drives a core through random arrivals with upstream faults and
// hang-ups of callers. After half of the arrivals one engine announces that it
// is leaving.
func runWithFaults(policy Policy, seed uint64, faultProbability float64, arrivals int, record bool) *simulation {
	sim := newSimulation(policy, seed, faultProbability)
	sim.record = record
	for n := range arrivals {
		sim.arriveRandom(n)
		sim.advance(time.Duration(sim.rng.IntN(6)) * 10 * time.Millisecond)
		if n == arrivals/2 {
			sim.leavingSince["engine-3"] = sim.now
			sim.step(UpstreamLeaving{Name: "engine-3"})
		}
		if sim.rng.IntN(20) == 0 {
			sim.step(CallerGone{ID: sim.unansweredID(n)})
		}
	}
	sim.finishAndCheck()
	return sim
}

// unansweredID returns the ID of a request without a final answer, or "none".
func (sim *simulation) unansweredID(n int) string {
	ids := make([]string, 0, len(sim.callers))
	for id, c := range sim.callers {
		// An answered request is over for the core, so a hang-up would do
		// nothing.
		if c.finalAnswers == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "none"
	}
	slices.Sort(ids)
	return ids[n%len(ids)]
}

// TestGuaranteesHoldUnderFaults checks, for generated fault rates, that each
// request gets exactly one final answer, and an admitted one in time; that all
// memory on the engines is freed and all recorded load returns to zero; that
// the outcome not_run is given only for requests that no upstream ran; that
// calls that may not be repeated are not repeated; and that a leaving engine
// gets no new work.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faultProbability := rapid.Float64Range(0, 0.4).Draw(t, "chaos")
		sim := runWithFaults(PolicyDefault, seed, faultProbability, 60, false)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d, fault probability %v:\n%s", seed, faultProbability, strings.Join(sim.violations, "\n"))
		}
	})
}

// TestNaivePolicyRepeatsNonRepeatableCalls shows that the simulation detects a
// violation: the naive policy repeats calls that may not be repeated.
func TestNaivePolicyRepeatsNonRepeatableCalls(t *testing.T) {
	sim := runWithFaults(PolicyNaive, 1, 0.3, 200, false)
	if !strings.Contains(strings.Join(sim.violations, "\n"), "may not be repeated") {
		t.Fatalf("the naive policy repeated no call that may not be repeated; violations: %q", sim.violations)
	}
}

// TestSameEventsGiveSameEffects runs the same events twice and compares every
// effect. They differ if a decision depends on the order of a map, on the clock
// or on unseeded randomness.
func TestSameEventsGiveSameEffects(t *testing.T) {
	for _, policy := range []Policy{PolicyDefault, PolicyNaive} {
		first := runWithFaults(policy, 42, 0.2, 150, true)
		second := runWithFaults(policy, 42, 0.2, 150, true)
		if len(first.log) < 1000 {
			t.Fatalf("the run recorded only %d lines", len(first.log))
		}
		for i := range first.log {
			if first.log[i] != second.log[i] {
				t.Fatalf("%s: line %d differs:\nfirst:  %s\nsecond: %s", policy, i, first.log[i], second.log[i])
			}
		}
	}
}
