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

// troubled is a run with all faults but those named by the caller.
func troubled(seed uint64) Config {
	c := DefaultConfig(seed)
	c.Preloaded = []string{"judge@1", "judge@1+a", "desk@1"}
	c.Configurations = []intent.Configuration{Configuration("1", 0), Configuration("2", 3), Configuration("1", 2), Configuration("3", 0)}
	c.Faults = Faults{
		Lose: 0.05, Late: 0.05, LateTime: 30 * time.Second,
		LateOrders: 0.1, PauseBeforeSend: 0.1, PauseInWrite: 0.02,
		DownEvery: 40 * time.Second, DownFor: 30 * time.Second,
		PauseEvery: 15 * time.Second, PauseFor: 30 * time.Second,
		KillEvery: 30 * time.Second, Drift: 0.02,
	}
	return c
}

// numbered checks that the fencing number rises with each change of holder:
// the history must be linearizable as a counter that a new holder raises.
func numbered(history []Acquisition) bool {
	type state struct {
		host    string
		fencing uint64
	}
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(s, input, output any) (bool, any) {
			was, now := s.(state), state{host: input.(string), fencing: output.(uint64)}
			return now.fencing > was.fencing || now == was, now
		},
	}
	var operations []porcupine.Operation
	for i, a := range history {
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: a.Host, Output: a.Fencing, Call: int64(a.Sent), Return: int64(a.At),
		})
	}
	return porcupine.CheckOperations(model, operations)
}

func report(r Result) string {
	return fmt.Sprintf("acquisitions %d, orders %d, stale %d, fenced %d, duplicate %d\n%s",
		len(r.Acquisitions), r.Orders, r.Stale, r.Fenced, r.Duplicate, strings.Join(r.Violations, "\n"))
}

// TestPromisesHoldUnderFaults generates runs with pauses beyond the lease, lost
// and late calls, outages, restarts and late orders. At no time do two hosts
// believe to hold the lease; fencing numbers only rise; no order takes effect on
// an engine that has seen a later holder's, whether the engine checks fencing
// numbers or not; no order takes a model from its last engine; and the engines
// end up with what is wanted.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := troubled(rapid.Uint64().Draw(t, "seed"))
		c.ChecksFencing = rapid.Bool().Draw(t, "checks")
		c.Candidates = rapid.IntRange(1, 6).Draw(t, "candidates")
		r := Run(c).Result
		if len(r.Violations) > 0 || r.Stale > 0 || !numbered(r.Acquisitions) {
			t.Fatal(report(r))
		}
	})
}

// TestDeadEnginesAreRepaired adds engines that die and come back empty. Orders
// of an earlier holder may then take effect where fencing is not checked; the
// engines still end up with what is wanted.
func TestDeadEnginesAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := troubled(rapid.Uint64().Draw(t, "seed"))
		c.ChecksFencing = rapid.Bool().Draw(t, "checks")
		c.Faults.EngineDieEvery, c.Faults.EngineDeadFor = 20*time.Second, 20*time.Second
		r := Run(c).Result
		if len(r.Violations) > 0 || !numbered(r.Acquisitions) {
			t.Fatal(report(r))
		}
	})
}

// TestLoadsKeepToTheLimit restarts all engines at once, as after an outage.
func TestLoadsKeepToTheLimit(t *testing.T) {
	c := DefaultConfig(1)
	c.Engines = 24
	r := Run(c).Result
	if len(r.Violations) > 0 || r.MostLoading != 4 {
		t.Fatalf("%d engines loaded at once, want 4\n%s", r.MostLoading, report(r))
	}
}

// TestVersionChangesRoll: of 12 engines, 3 change a model's version at once.
func TestVersionChangesRoll(t *testing.T) {
	c := DefaultConfig(1)
	c.Engines = 12
	c.Preloaded = []string{"judge@1", "judge@1+a"}
	c.Configurations = []intent.Configuration{Configuration("1", 0), Configuration("2", 0)}
	r := Run(c).Result
	if len(r.Violations) > 0 || r.MostRolling != 3 {
		t.Fatalf("%d engines changed at once, want 3\n%s", r.MostRolling, report(r))
	}
}

// TestNoHolderWithoutThePlatform takes the object API away for good: the
// holder stops, nobody takes over, and no order is given.
func TestNoHolderWithoutThePlatform(t *testing.T) {
	w := newWorld(DefaultConfig(1))
	w.advance(time.Minute)
	w.store.down = true
	w.advance(80 * time.Second)
	acquired, orders := len(w.Result.Acquisitions), w.Result.Orders
	w.engines[0].die(0)
	w.advance(5 * time.Minute)
	for _, h := range w.hosts {
		if h.believes > w.now {
			t.Errorf("%s holds the lease without the platform", h.name)
		}
	}
	if acquired != 1 || len(w.Result.Acquisitions) != 1 || w.Result.Orders != orders {
		t.Fatal(report(w.Result))
	}
	w.store.down = false
	w.advance(7 * time.Minute)
	w.checkSettled()
	if len(w.Result.Violations) > 0 {
		t.Fatal(report(w.Result))
	}
}

// TestSameSeedGivesSameRun compares two runs.
func TestSameSeedGivesSameRun(t *testing.T) {
	first, second := Run(troubled(5)).Result, Run(troubled(5)).Result
	if a, b := fmt.Sprint(first), fmt.Sprint(second); a != b || first.Orders == 0 {
		t.Fatalf("runs differ:\n%s\n%s", a, b)
	}
}

// TestFaultsReachTheCode shows that the runs above are troubled enough to mean
// something: holders change, old orders come late, and are without effect.
func TestFaultsReachTheCode(t *testing.T) {
	var holders, fenced, duplicate int
	for seed := range uint64(10) {
		c := troubled(seed)
		c.ChecksFencing = seed%2 == 0
		r := Run(c).Result
		holders, fenced, duplicate = holders+len(r.Acquisitions), fenced+r.Fenced, duplicate+r.Duplicate
	}
	if holders < 30 || fenced == 0 || duplicate == 0 {
		t.Fatalf("%d acquisitions, %d orders fenced, %d duplicate", holders, fenced, duplicate)
	}
}

// TestUsedUpIDsAreSkipped is a run in which orders of an engine's earlier life
// come late and use up IDs that a later order would have taken.
func TestUsedUpIDsAreSkipped(t *testing.T) {
	c := troubled(0x68a890242ba4d4)
	c.Faults.EngineDieEvery, c.Faults.EngineDeadFor = 20*time.Second, 20*time.Second
	if r := Run(c).Result; len(r.Violations) > 0 || r.Duplicate > r.Orders {
		t.Fatal(report(r))
	}
}

// TestLoadingVersionsAreKept is a run in which an order to give up a version
// that was still loading came once the version was served, and alone.
func TestLoadingVersionsAreKept(t *testing.T) {
	c := troubled(0xf0b3dfec6c0)
	c.ChecksFencing = false
	c.Faults.EngineDieEvery, c.Faults.EngineDeadFor = 20*time.Second, 20*time.Second
	if r := Run(c).Result; len(r.Violations) > 0 {
		t.Fatal(report(r))
	}
}
