package experiment

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/intent"
)

// rapidSeed makes the generated runs the same every time. Set -rapid.seed to
// get others.
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

// configWithFaults returns the configuration of a run with all kinds of faults
// except crashes of engines.
func configWithFaults(seed uint64) Config {
	c := DefaultConfig(seed)
	c.Preloaded = []string{"judge@1", "judge@1+a", "desk@1"}
	c.Configurations = []intent.Configuration{Configuration("1", 0), Configuration("2", 3), Configuration("1", 2), Configuration("3", 0)}
	c.Faults = Faults{
		LossProbability: 0.05, LateProbability: 0.05, MaxLateDelay: 30 * time.Second,
		LateOrderProbability: 0.1, PauseBeforeSendProbability: 0.1, PauseInWriteProbability: 0.02,
		OutageEvery: 40 * time.Second, MaxOutage: 30 * time.Second,
		PauseEvery: 15 * time.Second, MaxPause: 30 * time.Second,
		RestartEvery: 30 * time.Second, MaxClockDrift: 0.02,
	}
	return c
}

// fencingNumbersRise reports whether the fencing number rises with each change
// of holder: the history must be linearizable as a counter that each new holder
// increases.
func fencingNumbersRise(history []Acquisition) bool {
	type state struct {
		host    string
		fencing uint64
	}
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(s, input, output any) (bool, any) {
			previous, next := s.(state), state{host: input.(string), fencing: output.(uint64)}
			return next.fencing > previous.fencing || next == previous, next
		},
	}
	var operations []porcupine.Operation
	for i, a := range history {
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: a.Host, Output: a.Fencing, Call: int64(a.WriteSentAt), Return: int64(a.AcquiredAt),
		})
	}
	return porcupine.CheckOperations(model, operations)
}

// describe formats the counts and violations of a run for a failure message.
func describe(r Result) string {
	return fmt.Sprintf("acquisitions %d, orders %d, stale %d, fenced %d, duplicate %d\n%s",
		len(r.Acquisitions), r.Orders, r.Stale, r.Fenced, r.Duplicate, strings.Join(r.Violations, "\n"))
}

// TestGuaranteesHoldUnderFaults generates runs with pauses longer than the
// lease, lost and late calls, outages, restarts and late orders. It checks that
// two hosts never hold the lease at the same time; that fencing numbers only
// rise; that no order takes effect on an engine that has seen an order of a
// later holder, whether or not the engine checks fencing numbers; that no order
// unloads a model from the last engine that serves it; and that the engines
// finally reach the desired state.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configWithFaults(rapid.Uint64().Draw(t, "seed"))
		c.ChecksFencing = rapid.Bool().Draw(t, "checks")
		c.Candidates = rapid.IntRange(1, 6).Draw(t, "candidates")
		r := Run(c).Result
		if len(r.Violations) > 0 || r.Stale > 0 || !fencingNumbersRise(r.Acquisitions) {
			t.Fatal(describe(r))
		}
	})
}

// TestEnginesRecoverFromCrashes adds engines that crash and come back without
// models. Orders of an earlier holder may then take effect where fencing
// numbers are not checked, but the engines must still reach the desired state.
func TestEnginesRecoverFromCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configWithFaults(rapid.Uint64().Draw(t, "seed"))
		c.ChecksFencing = rapid.Bool().Draw(t, "checks")
		c.Faults.EngineDeathEvery, c.Faults.MaxEngineDowntime = 20*time.Second, 20*time.Second
		r := Run(c).Result
		if len(r.Violations) > 0 || !fencingNumbersRise(r.Acquisitions) {
			t.Fatal(describe(r))
		}
	})
}

// TestConcurrentLoadsStayWithinLimit starts with all engines empty, as after an
// outage in which all were restarted.
func TestConcurrentLoadsStayWithinLimit(t *testing.T) {
	c := DefaultConfig(1)
	c.Engines = 24
	r := Run(c).Result
	if len(r.Violations) > 0 || r.MaxLoading != 4 {
		t.Fatalf("%d engines loaded at once, want 4\n%s", r.MaxLoading, describe(r))
	}
}

// TestVersionChangesAreRolledOutGradually checks that of 12 engines, 3 change a
// model's version at the same time.
func TestVersionChangesAreRolledOutGradually(t *testing.T) {
	c := DefaultConfig(1)
	c.Engines = 12
	c.Preloaded = []string{"judge@1", "judge@1+a"}
	c.Configurations = []intent.Configuration{Configuration("1", 0), Configuration("2", 0)}
	r := Run(c).Result
	if len(r.Violations) > 0 || r.MaxVersionChanges != 3 {
		t.Fatalf("%d engines changed at once, want 3\n%s", r.MaxVersionChanges, describe(r))
	}
}

// TestNoHolderWhilePlatformIsDown takes the object API down for longer than the
// lease lasts: the holder must stop, no other host may take over, and no order
// may be given. Once the object API is back, the engines must reach the desired
// state.
func TestNoHolderWhilePlatformIsDown(t *testing.T) {
	sim := newSimulation(DefaultConfig(1))
	sim.advanceTo(time.Minute)
	sim.store.unavailable = true
	sim.advanceTo(80 * time.Second)
	acquired, orders := len(sim.Result.Acquisitions), sim.Result.Orders
	sim.engines[0].crash(0)
	sim.advanceTo(5 * time.Minute)
	for _, h := range sim.hosts {
		if h.holdsUntil > sim.now {
			t.Errorf("%s holds the lease while the platform is down", h.name)
		}
	}
	if acquired != 1 || len(sim.Result.Acquisitions) != 1 || sim.Result.Orders != orders {
		t.Fatal(describe(sim.Result))
	}
	sim.store.unavailable = false
	sim.advanceTo(7 * time.Minute)
	sim.checkDesiredState()
	if len(sim.Result.Violations) > 0 {
		t.Fatal(describe(sim.Result))
	}
}

// TestSameSeedGivesSameRun checks that two runs with the same seed have equal
// results.
func TestSameSeedGivesSameRun(t *testing.T) {
	first, second := Run(configWithFaults(5)).Result, Run(configWithFaults(5)).Result
	if a, b := fmt.Sprint(first), fmt.Sprint(second); a != b || first.Orders == 0 {
		t.Fatalf("two runs with the same seed differ:\n%s\n%s", a, b)
	}
}

// TestFaultsCauseHolderChangesAndLateOrders checks that the faults of the runs
// above reach the code under test: holders change, and old orders arrive late
// and take no effect.
func TestFaultsCauseHolderChangesAndLateOrders(t *testing.T) {
	var holders, fenced, duplicate int
	for seed := range uint64(10) {
		c := configWithFaults(seed)
		c.ChecksFencing = seed%2 == 0
		r := Run(c).Result
		holders, fenced, duplicate = holders+len(r.Acquisitions), fenced+r.Fenced, duplicate+r.Duplicate
	}
	if holders < 30 || fenced == 0 || duplicate == 0 {
		t.Fatalf("%d acquisitions, %d orders fenced, %d duplicate", holders, fenced, duplicate)
	}
}

// TestUsedOrderIDsAreSkipped replays a run in which orders sent to an engine
// before its crash arrive late and use up IDs that a later order would have
// taken.
func TestUsedOrderIDsAreSkipped(t *testing.T) {
	c := configWithFaults(0x68a890242ba4d4)
	c.Faults.EngineDeathEvery, c.Faults.MaxEngineDowntime = 20*time.Second, 20*time.Second
	if r := Run(c).Result; len(r.Violations) > 0 || r.Duplicate > r.Orders {
		t.Fatal(describe(r))
	}
}

// TestVersionBeingLoadedIsKept replays a run in which an order to unload a
// version that was still loading arrived when that version was already served
// and was the only one.
func TestVersionBeingLoadedIsKept(t *testing.T) {
	c := configWithFaults(0xf0b3dfec6c0)
	c.ChecksFencing = false
	c.Faults.EngineDeathEvery, c.Faults.MaxEngineDowntime = 20*time.Second, 20*time.Second
	if r := Run(c).Result; len(r.Violations) > 0 {
		t.Fatal(describe(r))
	}
}
