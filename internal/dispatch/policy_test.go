package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// loneCore is a core with engines that never answer, for tests of single decisions.
func loneCore(t *testing.T, engines int) *Core {
	t.Helper()
	c, err := New(testConfig(PolicyDefault, 1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		c.Step(0, UpstreamListed{Name: name, Address: name, DataCentre: "a"})
		c.Step(0, LoadReported{Name: name, MemoryTotal: 400_000, PrefillRate: 90_000, DecodeStep: 40 * time.Millisecond, Models: []string{"m@1"}})
	}
	return c
}

func promptOf(id, organisation string, tokens int, deadline time.Duration) Arrived {
	return Arrived{
		ID: id, Organisation: organisation, Share: 1, Model: "m@1",
		PromptTokens: tokens, MaxTokens: 100, Deadline: deadline,
	}
}

func sentTo(effects []Effect) string {
	for _, f := range effects {
		if s, ok := f.(Send); ok {
			return s.Group[0].Upstream
		}
	}
	return ""
}

func refusal(effects []Effect) (Refuse, bool) {
	for _, f := range effects {
		if r, ok := f.(Refuse); ok {
			return r, true
		}
	}
	return Refuse{}, false
}

// TestShortPromptsHaveTheirOwnEngines: prompts that are not short leave the
// engine of the short ones free.
func TestShortPromptsHaveTheirOwnEngines(t *testing.T) {
	c := loneCore(t, 4)
	for i := range 12 {
		if to := sentTo(c.Step(0, promptOf(fmt.Sprintf("m%d", i), "o", 20_000, time.Minute))); to == "engine-0" {
			t.Fatalf("prompt %d of 20,000 tokens went to the engine for short ones", i)
		}
	}
	if to := sentTo(c.Step(0, promptOf("s", "o", 1_000, time.Minute))); to != "engine-0" {
		t.Fatalf("the short prompt went to %q", to)
	}
}

// TestLongPromptLeavesMemoryForOthers: with the memory of lighter requests
// observed, a book starts only when their reserve stays free.
func TestLongPromptLeavesMemoryForOthers(t *testing.T) {
	c := loneCore(t, 4)
	c.mix.light = estimate{mean: 500_000}
	for i := range 3 {
		c.Step(0, promptOf(fmt.Sprintf("b%d", i), "o", 300_000, time.Minute))
	}
	free := 0
	for _, u := range c.engines[1:] {
		free += u.memoryFree(&c.cfg)
	}
	if free < 500_000 {
		t.Fatalf("only %d tokens are left free", free)
	}
}

// TestImpossibleLimitIsRefusedAtOnce: refusals come with the arrival, and an
// overloaded host says when to come back.
func TestImpossibleLimitIsRefusedAtOnce(t *testing.T) {
	c := loneCore(t, 2)
	r, ok := refusal(c.Step(0, promptOf("x", "o", 50_000, time.Second)))
	if !ok || r.Code != CodeLimitTooTight {
		t.Fatalf("got %+v", r)
	}
	for i := range 1000 {
		r, ok = refusal(c.Step(0, promptOf(fmt.Sprintf("r%d", i), "o", 30_000, 20*time.Second)))
		if ok {
			break
		}
	}
	if !ok || r.Code != CodeOverloaded || r.RetryAfter < minRetryAfter {
		t.Fatalf("got %+v", r)
	}
}

// TestLargeOrganisationDoesNotStarveSmallOne: behind a burst of a large
// organisation a small one's request is placed before the burst's rest.
func TestLargeOrganisationDoesNotStarveSmallOne(t *testing.T) {
	c := loneCore(t, 2)
	for i := range 200 {
		c.Step(0, promptOf(fmt.Sprintf("big%03d", i), "big", 30_000, 2*time.Minute))
	}
	if len(c.queue.items) < 20 {
		t.Fatalf("only %d requests wait; the burst is too small for the test", len(c.queue.items))
	}
	c.Step(time.Millisecond, promptOf("small", "small", 30_000, 2*time.Minute))
	for i, r := range c.queue.items {
		if r.ID == "small" {
			if i > len(c.queue.items)/2 {
				t.Fatalf("the small organisation is at place %d of %d", i, len(c.queue.items))
			}
			return
		}
	}
}

// TestCachedPrefixDoesNotBeatAHotSpot: the engine with the prefix gets the
// request while it is no busier than the others, and loses it when it is.
func TestCachedPrefixDoesNotBeatAHotSpot(t *testing.T) {
	request := func(id string) Arrived {
		e := promptOf(id, "o", 8_192, time.Minute)
		e.PrefixHashes = []uint64{11, 12, 13, 14, 15, 16, 17, 18}
		e.BlockTokens = 512
		return e
	}
	c := loneCore(t, 5)
	var changes []CacheChange
	for i, p := range request("").PrefixHashes {
		changes = append(changes, CacheChange{Sequence: uint64(i), PrefixHash: p})
	}
	c.Step(0, CacheReported{Name: "engine-3", Changes: changes, NextSequence: uint64(len(changes))})
	if to := sentTo(c.Step(0, request("r1"))); to != "engine-3" {
		t.Fatalf("the cached prefix did not draw the request: it went to %q", to)
	}
	c.Step(0, PeerReported{Host: "peer", Work: []PeerWork{{Upstream: "engine-3", Requests: 9, PrefillTokens: 60_000}}})
	if to := sentTo(c.Step(0, request("r2"))); to == "engine-3" || to == "" {
		t.Fatalf("the hot spot got the request: %q", to)
	}
}

// TestGapInCacheEventsIsUnknown: what events said is forgotten after a gap.
func TestGapInCacheEventsIsUnknown(t *testing.T) {
	c := loneCore(t, 2)
	c.Step(0, CacheReported{Name: "engine-1", Changes: []CacheChange{{Sequence: 0, PrefixHash: 5}}, NextSequence: 1})
	c.Step(0, CacheReported{Name: "engine-1", Changes: []CacheChange{{Sequence: 3, PrefixHash: 6}}, NextSequence: 4})
	u := c.upstreams["engine-1"]
	if u.prefixes.has(5) || !u.prefixes.has(6) {
		t.Fatalf("after the gap: %+v", u.prefixes.cached)
	}
}

// TestWorkOfALeavingPredecessorIsLeftAlone: a host that stops gracefully may
// be replaced under its name while it finishes; a crashed one is cleaned up after.
func TestWorkOfALeavingPredecessorIsLeftAlone(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		c := loneCore(t, 1)
		c.Step(0, HostChanged{Host: "h2", Incarnation: 1, State: HostAlive})
		c.Step(0, HostReplaced{Host: "h2", OldIncarnation: 1, OldLeaving: leaving})
		c.Step(0, HostChanged{Host: "h2", Incarnation: 2, State: HostAlive})
		work := []HeldWork{{ID: "w", Attempt: 1, Host: "h2", Incarnation: 1, Deadline: time.Minute, MemoryTokens: 5}}
		effects := c.Step(time.Second, WorkListed{Name: "engine-0", Work: work})
		if cancelled := len(effects) > 0; cancelled == leaving {
			t.Errorf("leaving %v: cancelled %v", leaving, cancelled)
		}
		effects = c.Step(time.Minute+10*time.Second, WorkListed{Name: "engine-0", Work: work})
		if leaving && len(effects) == 0 {
			t.Error("overdue work was not cancelled")
		}
	}
}

// TestVersionChangeLeavesNoGap: while engines still hold the old version,
// requests for the new one are served by it; then by the new one.
func TestVersionChangeLeavesNoGap(t *testing.T) {
	c := loneCore(t, 2)
	model := func(id string) string {
		e := promptOf(id, "o", 1_000, time.Minute)
		e.Model = "m@2"
		for _, f := range c.Step(time.Second, e) {
			if s, ok := f.(Send); ok {
				return s.Group[0].Upstream + " " + s.Model
			}
		}
		return "refused"
	}
	if got := model("r1"); got != "engine-0 m@1" && got != "engine-1 m@1" {
		t.Errorf("before the change: %s", got)
	}
	c.Step(time.Second, LoadReported{Name: "engine-1", RequestedAt: time.Second, MemoryTotal: 400_000, Models: []string{"m@1", "m@2"}})
	if got := model("r2"); got != "engine-1 m@2" {
		t.Errorf("after the change: %s", got)
	}
	if sameModel("m@1+a", "m@2") || !sameModel("m@1+a", "m@2+a") || sameModel("n@1", "m@1") {
		t.Error("models are not told apart by name and adapter")
	}
}

// TestReadWorkOfAHostBelievedDeadIsLeftAlone: two hosts that lose each other
// each believe the other dead; neither may cancel what the other still reads.
func TestReadWorkOfAHostBelievedDeadIsLeftAlone(t *testing.T) {
	c := loneCore(t, 1)
	c.Step(0, HostChanged{Host: "h2", Incarnation: 1, State: HostDead})
	for _, attached := range []bool{true, false} {
		work := HeldWork{ID: "w", Attempt: 1, Host: "h2", Incarnation: 1, Deadline: time.Minute, MemoryTokens: 5, Attached: attached}
		effects := c.Step(time.Second, WorkListed{Name: "engine-0", Work: []HeldWork{work}})
		if cancelled := len(effects) > 0; cancelled == attached {
			t.Errorf("attached %v: cancelled %v", attached, cancelled)
		}
	}
}

// TestKindsGoByTheirPriority: of two like requests the one of the kind with the
// lower priority number goes first, and waiting outweighs the difference.
func TestKindsGoByTheirPriority(t *testing.T) {
	c := loneCore(t, 2)
	key := func(now time.Duration, priority int) time.Duration {
		r := &request{Arrived: promptOf("x", "o", 1_000, time.Minute)}
		r.KindPriority = priority
		return c.virtualDeadline(now, r, c.organisation("o"))
	}
	if key(0, 0) >= key(0, 2) {
		t.Error("priority 2 goes before priority 0")
	}
	if key(5*time.Second, 0) <= key(0, 2) {
		t.Error("priority 2 does not age")
	}
}
