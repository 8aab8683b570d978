package experiment

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// configWithFaults returns the configuration of a short run with every fault of
// the store and of the hosts, in which many attempts use the same few keys. No
// messages between hosts are lost or duplicated.
func configWithFaults(seed uint64) Config {
	c := DefaultConfig()
	c.Seed = seed
	c.Hosts = 4
	c.Shards = 2
	c.ArrivalDuration = 20 * time.Second
	c.ActionsPerSecond = 10
	c.Keys = 25
	c.RefuseShare = 0.2
	c.HangUpShare = 0.2
	c.Store.Timeout = 100 * time.Millisecond
	c.Store.WritesPerSecond = 20
	c.Store.ReadsPerSecond = 40
	c.Faults = Faults{
		LoseRequest: 0.1, LoseAnswer: 0.2,
		Delay: 0.2, MaxDelay: 300 * time.Millisecond,
		OutageInterval: 5 * time.Second, MaxOutage: 3 * time.Second,
		PauseInterval: 2 * time.Second, MaxPause: 6 * time.Second,
		KillInterval: 3 * time.Second,
	}
	c.RecordHistory = true
	return c
}

// TestActionsRunAtMostOnceUnderFaults checks the histories of runs with faults of
// the store and of the hosts. It also checks that the runs give the decisions
// that the check is meant to cover.
func TestActionsRunAtMostOnceUnderFaults(t *testing.T) {
	decisions := make(map[shard.Decision]int)
	for seed := range uint64(60) {
		sim := Run(configWithFaults(seed))
		for _, v := range Violations(sim.History(), sim.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		for d, n := range sim.decisionCounts {
			decisions[d] += n
		}
		if seed == 0 {
			t.Logf("store calls a second: %s", sim.callsPerSecond())
		}
	}
	for _, d := range []shard.Decision{shard.Granted, shard.Done, shard.InProgress, shard.OutcomeUnknown, shard.Refused} {
		if decisions[d] == 0 {
			t.Errorf("no run answered %q, so the check does not cover this decision", d)
		}
	}
	t.Logf("decisions: %v", decisions)
}

// TestActionsRunAtMostOnceInGeneratedRuns checks runs whose sizes and fault
// rates are drawn at random.
func TestActionsRunAtMostOnceInGeneratedRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := configWithFaults(rapid.Uint64().Draw(r, "seed"))
		c.ArrivalDuration = 8 * time.Second
		c.Hosts = rapid.IntRange(1, 6).Draw(r, "hosts")
		c.Keys = rapid.IntRange(1, 12).Draw(r, "keys")
		c.Core.Pace = time.Duration(rapid.IntRange(0, 200).Draw(r, "pace_ms")) * time.Millisecond
		c.Faults.LoseRequest = rapid.Float64Range(0, 0.5).Draw(r, "lose_request")
		c.Faults.LoseAnswer = rapid.Float64Range(0, 0.5).Draw(r, "lose_answer")
		c.Faults.Delay = rapid.Float64Range(0, 0.5).Draw(r, "late")
		c.Faults.KillInterval = time.Duration(rapid.IntRange(0, 3000).Draw(r, "kill_every_ms")) * time.Millisecond
		c.Faults.PauseInterval = time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause_every_ms")) * time.Millisecond
		if v := runAndCheck(c); len(v) > 0 {
			r.Fatalf("violations: %v", v)
		}
	})
}

// TestCheckFindsFaultsOfNaiveImplementations runs the same check on an
// implementation without conditional writes, and on one that takes over claims
// after their time limit. The check must find violations in both.
func TestCheckFindsFaultsOfNaiveImplementations(t *testing.T) {
	for name, implementation := range map[string]naive{
		"unconditional write": {unconditional: true},
		"take-over":           {takeOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			seedsWithViolations := 0
			for seed := range uint64(10) {
				c := configWithFaults(seed)
				c.NewCore = func(shard.Config) ClaimCore {
					n := implementation
					return &n
				}
				if len(runAndCheck(c)) > 0 {
					seedsWithViolations++
				}
			}
			t.Logf("the check found violations with %d of 10 seeds", seedsWithViolations)
			if seedsWithViolations == 0 {
				t.Error("the check does not find the faults of this implementation")
			}
		})
	}
}

// TestRefusedClaimsDoNotBlockTheirKeys runs without kills. Every claim that was
// stored for a refused caller must have been given back by the end of the run.
func TestRefusedClaimsDoNotBlockTheirKeys(t *testing.T) {
	for seed := range uint64(30) {
		c := configWithFaults(seed)
		c.Faults.KillInterval = 0
		sim := Run(c)
		for _, e := range sim.entries(t) {
			if !e.Done {
				t.Errorf("seed %d: the claim of attempt %d is left in the store without an outcome", seed, e.Token.Attempt)
			}
		}
	}
}

// TestForwardedActionsRunAtMostOnceUnderFaults forwards claims to hosts that may
// not be the owners, may be killed or paused, or may not answer.
func TestForwardedActionsRunAtMostOnceUnderFaults(t *testing.T) {
	granted := 0
	for seed := range uint64(40) {
		c := configWithFaults(seed)
		c.ForwardToOwner = true
		c.MisrouteShare = 0.2
		c.Faults.LoseMessage = 0.1
		sim := Run(c)
		for _, v := range Violations(sim.History(), sim.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		granted += sim.decisionCounts[shard.Granted]
	}
	t.Logf("%d granted", granted)
	if granted == 0 {
		t.Error("nothing was granted")
	}
}

// TestDuplicateMessagesRunNoActionTwice delivers messages to owners twice. A
// copy that arrives after its claim was given back may block the key, so only
// the executions are checked.
func TestDuplicateMessagesRunNoActionTwice(t *testing.T) {
	for seed := range uint64(40) {
		c := configWithFaults(seed)
		c.ForwardToOwner = true
		c.MisrouteShare = 0.2
		c.Faults.LoseMessage = 0.1
		c.Faults.DuplicateMessage = 0.3
		sim := Run(c)
		for key, ran := range sim.Executions() {
			for _, v := range executionViolations(key, sim.History(), ran) {
				t.Errorf("seed %d: %s", seed, v)
			}
		}
	}
}

// TestObjectsOfOldWindowsAreReusedUnderFaults keeps only three short windows, so
// that repeated requests arrive while the objects of their window are used again
// for a later one.
func TestObjectsOfOldWindowsAreReusedUnderFaults(t *testing.T) {
	tooOld := 0
	for seed := range uint64(20) {
		c := configWithFaults(seed)
		c.Keys = 0
		c.RepeatShare = 1
		c.WindowLength = 400 * time.Millisecond
		c.Slots = 3
		sim := Run(c)
		for _, v := range Violations(sim.History(), sim.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		tooOld += sim.decisionCounts[shard.TooOld]
	}
	if tooOld == 0 {
		t.Error("no claim was refused as too old, so the check does not cover that case")
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	first, second := Run(configWithFaults(7)), Run(configWithFaults(7))
	if a, b := describe(first), describe(second); a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

// runAndCheck returns the violations in a run of the configuration.
func runAndCheck(c Config) []string {
	sim := Run(c)
	return Violations(sim.History(), sim.Executions())
}

// describe returns the counts and the whole history of a run as text.
func describe(sim *Simulation) string {
	text := fmt.Sprint(sim.decisionCounts, sim.store.Writes, sim.store.Reads)
	for _, r := range sim.History() {
		text += fmt.Sprintf("%+v\n", *r)
	}
	return text
}

// callsPerSecond returns the rates of store calls over the arrival time as
// text.
func (sim *Simulation) callsPerSecond() string {
	s := sim.config.ArrivalDuration.Seconds()
	return fmt.Sprintf("%.1f reads, %.1f writes (%d conflicts, %d throttled in all)",
		float64(sim.store.Reads)/s, float64(sim.store.Writes)/s, sim.store.Conflicts, sim.store.Throttled)
}

// entries returns the entries of all objects in the store.
func (sim *Simulation) entries(t *testing.T) []shard.Entry {
	t.Helper()
	var all []shard.Entry
	for _, o := range sim.store.objects.List("claims/") {
		table, err := shard.Decode(o.Value)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, table.Entries()...)
	}
	return all
}
