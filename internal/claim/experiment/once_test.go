package experiment

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// hostile is a short run with every fault, in which attempts collide on few keys.
func hostile(seed uint64) Config {
	c := DefaultConfig()
	c.Seed = seed
	c.Hosts = 4
	c.Shards = 2
	c.ArrivalDuration = 20 * time.Second
	c.ActionsPerSecond = 10
	c.Keys = 25
	c.RefuseShare = 0.2
	c.LeaveShare = 0.2
	c.Store.Timeout = 100 * time.Millisecond
	c.Store.WritesPerSecond = 20
	c.Store.ReadsPerSecond = 40
	c.Faults = Faults{
		LoseRequest: 0.1, LoseAnswer: 0.2,
		Late: 0.2, LateTime: 300 * time.Millisecond,
		DownEvery: 5 * time.Second, DownFor: 3 * time.Second,
		PauseEvery: 2 * time.Second, PauseFor: 6 * time.Second,
		KillEvery: 3 * time.Second,
	}
	c.Record = true
	return c
}

func TestRunAtMostOnceUnderFaults(t *testing.T) {
	decisions := make(map[shard.Decision]int)
	for seed := range uint64(60) {
		w := Run(hostile(seed))
		for _, v := range Violations(w.History(), w.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		for d, n := range w.counts {
			decisions[d] += n
		}
		if seed == 0 {
			t.Logf("store calls a second: %s", w.callsPerSecond())
		}
	}
	for _, d := range []shard.Decision{shard.Granted, shard.Done, shard.InProgress, shard.OutcomeUnknown, shard.Refused} {
		if decisions[d] == 0 {
			t.Errorf("no run answered %q, so the check says little", d)
		}
	}
	t.Logf("decisions: %v", decisions)
}

func TestRunAtMostOnceInGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := hostile(rapid.Uint64().Draw(r, "seed"))
		c.ArrivalDuration = 8 * time.Second
		c.Hosts = rapid.IntRange(1, 6).Draw(r, "hosts")
		c.Keys = rapid.IntRange(1, 12).Draw(r, "keys")
		c.Core.Pace = time.Duration(rapid.IntRange(0, 200).Draw(r, "pace_ms")) * time.Millisecond
		c.Faults.LoseRequest = rapid.Float64Range(0, 0.5).Draw(r, "lose_request")
		c.Faults.LoseAnswer = rapid.Float64Range(0, 0.5).Draw(r, "lose_answer")
		c.Faults.Late = rapid.Float64Range(0, 0.5).Draw(r, "late")
		c.Faults.KillEvery = time.Duration(rapid.IntRange(0, 3000).Draw(r, "kill_every_ms")) * time.Millisecond
		c.Faults.PauseEvery = time.Duration(rapid.IntRange(0, 3000).Draw(r, "pause_every_ms")) * time.Millisecond
		if v := violations(c); len(v) > 0 {
			r.Fatalf("violations: %v", v)
		}
	})
}

// TestNaiveVersionsFail runs the same check against versions without
// conditional writes, and with taking over after the time limit.
func TestNaiveVersionsFail(t *testing.T) {
	for name, version := range map[string]naive{
		"unconditional write": {unconditional: true},
		"take-over":           {takeOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for seed := range uint64(10) {
				c := hostile(seed)
				c.NewEngine = func(shard.Config) Engine {
					n := version
					return &n
				}
				if len(violations(c)) > 0 {
					failed++
				}
			}
			t.Logf("failed on %d of 10 seeds", failed)
			if failed == 0 {
				t.Error("the check does not notice this version's faults")
			}
		})
	}
}

// TestRefusedClaimsDoNotBlockTheirKeys has no kills: every claim that was
// stored for a refused caller must have been given back by the end.
func TestRefusedClaimsDoNotBlockTheirKeys(t *testing.T) {
	for seed := range uint64(30) {
		c := hostile(seed)
		c.Faults.KillEvery = 0
		w := Run(c)
		for _, e := range w.entries(t) {
			if !e.Done {
				t.Errorf("seed %d: the claim of attempt %d stays without an outcome", seed, e.Token.Attempt)
			}
		}
	}
}

// TestOwnersUnderFaults forwards claims to hosts that may be the wrong ones,
// die, pause or not answer.
func TestOwnersUnderFaults(t *testing.T) {
	granted := 0
	for seed := range uint64(40) {
		c := hostile(seed)
		c.ForwardToOwner = true
		c.MisrouteShare = 0.2
		c.Faults.LoseHop = 0.1
		w := Run(c)
		for _, v := range Violations(w.History(), w.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		granted += w.counts[shard.Granted]
	}
	t.Logf("%d granted", granted)
	if granted == 0 {
		t.Error("nothing was granted")
	}
}

// TestRepeatedMessagesRunNothingTwice delivers messages to owners twice. A copy
// that comes after its claim was given back may block the key, so only
// executions are checked.
func TestRepeatedMessagesRunNothingTwice(t *testing.T) {
	for seed := range uint64(40) {
		c := hostile(seed)
		c.ForwardToOwner = true
		c.MisrouteShare = 0.2
		c.Faults.LoseHop = 0.1
		c.Faults.RepeatHop = 0.3
		w := Run(c)
		for key, ran := range w.Executions() {
			for _, v := range executionFaults(key, w.History(), ran) {
				t.Errorf("seed %d: %s", seed, v)
			}
		}
	}
}

// TestRingOfWindowsUnderFaults has a ring of three short windows, so that
// repeats come while their window's objects are used anew.
func TestRingOfWindowsUnderFaults(t *testing.T) {
	tooOld := 0
	for seed := range uint64(20) {
		c := hostile(seed)
		c.Keys = 0
		c.RepeatShare = 1
		c.WindowLength = 400 * time.Millisecond
		c.Slots = 3
		w := Run(c)
		for _, v := range Violations(w.History(), w.Executions()) {
			t.Errorf("seed %d: %s", seed, v)
		}
		tooOld += w.counts[shard.TooOld]
	}
	if tooOld == 0 {
		t.Error("no claim was refused as too old, so the check says little")
	}
}

func TestSameSeedSameRun(t *testing.T) {
	first, second := Run(hostile(7)), Run(hostile(7))
	if a, b := describe(first), describe(second); a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

func violations(c Config) []string {
	w := Run(c)
	return Violations(w.History(), w.Executions())
}

func describe(w *Simulation) string {
	text := fmt.Sprint(w.counts, w.store.Writes, w.store.Reads)
	for _, r := range w.History() {
		text += fmt.Sprintf("%+v\n", *r)
	}
	return text
}

func (w *Simulation) callsPerSecond() string {
	s := w.config.ArrivalDuration.Seconds()
	return fmt.Sprintf("%.1f reads, %.1f writes (%d conflicts, %d throttled in all)",
		float64(w.store.Reads)/s, float64(w.store.Writes)/s, w.store.Conflicts, w.store.Throttled)
}

func (w *Simulation) entries(t *testing.T) []shard.Entry {
	t.Helper()
	var all []shard.Entry
	for _, o := range w.store.objects.List("claims/") {
		table, err := shard.Decode(o.Value)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, table.Entries()...)
	}
	return all
}
