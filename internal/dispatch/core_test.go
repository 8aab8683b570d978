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

// rapidSeed makes generated runs the same every time; set -rapid.seed for others.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// chaosRun drives a core through arrivals, faults and a leaving engine.
func chaosRun(policy Policy, seed uint64, chaos float64, arrivals int, record bool) *world {
	w := newWorld(policy, seed, chaos)
	w.record = record
	for n := range arrivals {
		w.arrive(n)
		w.run(time.Duration(w.rng.IntN(6)) * 10 * time.Millisecond)
		if n == arrivals/2 {
			w.leftAt["engine-3"] = w.now
			w.step(UpstreamLeaving{Name: "engine-3"})
		}
		if w.rng.IntN(20) == 0 {
			w.step(CallerGone{ID: w.someID(n)})
		}
	}
	w.settle()
	return w
}

func (w *world) someID(n int) string {
	ids := make([]string, 0, len(w.calls))
	for id, c := range w.calls {
		// A caller that hung up gets no answer, so count it as answered late only by the core.
		if c.finals == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "none"
	}
	slices.Sort(ids)
	return ids[n%len(ids)]
}

// TestPromisesHoldUnderFaults checks, for generated fault rates, that each
// request gets one final answer in time, that memory and books return to zero,
// that not_run is told only of what was not run, that actions that may not be
// repeated are not, and that a leaving engine gets nothing new.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		chaos := rapid.Float64Range(0, 0.4).Draw(t, "chaos")
		w := chaosRun(PolicyDefault, seed, chaos, 60, false)
		if len(w.faults) > 0 {
			t.Fatalf("seed %d chaos %v:\n%s", seed, chaos, strings.Join(w.faults, "\n"))
		}
	})
}

// TestNaivePolicyBreaksPromises shows that the checks above can fail.
func TestNaivePolicyBreaksPromises(t *testing.T) {
	w := chaosRun(PolicyNaive, 1, 0.3, 200, false)
	if !strings.Contains(strings.Join(w.faults, "\n"), "may not be repeated") {
		t.Fatalf("the naive policy repeated no action; faults: %q", w.faults)
	}
}

// TestSameEventsGiveSameEffects replays a run and compares every effect.
func TestSameEventsGiveSameEffects(t *testing.T) {
	for _, policy := range []Policy{PolicyDefault, PolicyNaive} {
		first := chaosRun(policy, 42, 0.2, 150, true)
		second := chaosRun(policy, 42, 0.2, 150, true)
		if len(first.log) < 1000 {
			t.Fatalf("the run recorded only %d lines", len(first.log))
		}
		for i := range first.log {
			if first.log[i] != second.log[i] {
				t.Fatalf("%s: line %d differs:\n%s\n%s", policy, i, first.log[i], second.log[i])
			}
		}
	}
}
