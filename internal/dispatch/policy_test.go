package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// coreWithEngines returns a core with idle engines that never answer, for tests
// of single decisions.
func coreWithEngines(t *testing.T, engines int) *Core {
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

// modelRequest returns the arrival of a request to the engines' model with a
// prompt of the given length.
func modelRequest(id, organisation string, tokens int, deadline time.Duration) Arrived {
	return Arrived{
		ID: id, Organisation: organisation, Share: 1, Model: "m@1",
		PromptTokens: tokens, MaxTokens: 100, Deadline: deadline,
	}
}

// sentTo returns the leader that a Send effect names, or an empty string if
// there is none.
func sentTo(effects []Effect) string {
	for _, f := range effects {
		if s, ok := f.(Send); ok {
			return s.Group[0].Upstream
		}
	}
	return ""
}

// refusal returns the Refuse effect, if there is one.
func refusal(effects []Effect) (Refuse, bool) {
	for _, f := range effects {
		if r, ok := f.(Refuse); ok {
			return r, true
		}
	}
	return Refuse{}, false
}

// TestShortPromptsUseSeparateEngines checks that prompts that are not short
// leave the engine for short prompts free, so that a short one need not wait
// behind them.
func TestShortPromptsUseSeparateEngines(t *testing.T) {
	c := coreWithEngines(t, 4)
	for i := range 12 {
		if to := sentTo(c.Step(0, modelRequest(fmt.Sprintf("m%d", i), "o", 20_000, time.Minute))); to == "engine-0" {
			t.Fatalf("prompt %d of 20,000 tokens went to the engine for short prompts", i)
		}
	}
	if to := sentTo(c.Step(0, modelRequest("s", "o", 1_000, time.Minute))); to != "engine-0" {
		t.Fatalf("the short prompt went to %q, not to the engine for short prompts", to)
	}
}

// TestLongPromptLeavesMemoryForOthers checks that a long prompt starts only if
// the memory that shorter requests were observed to use stays free.
func TestLongPromptLeavesMemoryForOthers(t *testing.T) {
	c := coreWithEngines(t, 4)
	c.demand.nonLongStats = movingStats{mean: 500_000}
	for i := range 3 {
		c.Step(0, modelRequest(fmt.Sprintf("b%d", i), "o", 300_000, time.Minute))
	}
	free := 0
	for _, u := range c.engines[1:] {
		free += u.memoryFree(&c.cfg)
	}
	if free < 500_000 {
		t.Fatalf("the long prompts left only %d tokens free", free)
	}
}

// TestImpossibleTimeLimitIsRefusedOnArrival checks that a request whose time
// limit is too short is refused on its arrival, and that the refusal by an
// overloaded host says when to come back.
func TestImpossibleTimeLimitIsRefusedOnArrival(t *testing.T) {
	c := coreWithEngines(t, 2)
	r, ok := refusal(c.Step(0, modelRequest("x", "o", 50_000, time.Second)))
	if !ok || r.Code != CodeLimitTooTight {
		t.Fatalf("the answer to an impossible time limit is %+v", r)
	}
	for i := range 1000 {
		r, ok = refusal(c.Step(0, modelRequest(fmt.Sprintf("r%d", i), "o", 30_000, 20*time.Second)))
		if ok {
			break
		}
	}
	if !ok || r.Code != CodeOverloaded || r.RetryAfter < minRetryAfter {
		t.Fatalf("the overloaded host answered %+v", r)
	}
}

// TestLargeOrganisationDoesNotStarveSmallOne checks that a small organisation's
// request, which arrives behind a burst of a large one, is queued before the
// rest of the burst.
func TestLargeOrganisationDoesNotStarveSmallOne(t *testing.T) {
	c := coreWithEngines(t, 2)
	for i := range 200 {
		c.Step(0, modelRequest(fmt.Sprintf("big%03d", i), "big", 30_000, 2*time.Minute))
	}
	if len(c.queue.items) < 20 {
		t.Fatalf("only %d requests wait; the burst is too small for the test", len(c.queue.items))
	}
	c.Step(time.Millisecond, modelRequest("small", "small", 30_000, 2*time.Minute))
	for i, r := range c.queue.items {
		if r.ID == "small" {
			if i > len(c.queue.items)/2 {
				t.Fatalf("the small organisation's request is at place %d of %d in the queue", i, len(c.queue.items))
			}
			return
		}
	}
}

// TestCachedPrefixDoesNotAttractToOverloadedEngine checks that the engine that
// has the prefix cached gets the request while it is no busier than the others,
// and does not get it when it is busier.
func TestCachedPrefixDoesNotAttractToOverloadedEngine(t *testing.T) {
	request := func(id string) Arrived {
		e := modelRequest(id, "o", 8_192, time.Minute)
		e.PrefixHashes = []uint64{11, 12, 13, 14, 15, 16, 17, 18}
		e.BlockTokens = 512
		return e
	}
	c := coreWithEngines(t, 5)
	var changes []CacheChange
	for i, p := range request("").PrefixHashes {
		changes = append(changes, CacheChange{Sequence: uint64(i), PrefixHash: p})
	}
	c.Step(0, CacheReported{Name: "engine-3", Changes: changes, NextSequence: uint64(len(changes))})
	if to := sentTo(c.Step(0, request("r1"))); to != "engine-3" {
		t.Fatalf("the request went to %q, not to the engine that has the prefix cached", to)
	}
	c.Step(0, PeerReported{Host: "peer", Work: []PeerWork{{Upstream: "engine-3", Requests: 9, PrefillTokens: 60_000}}})
	if to := sentTo(c.Step(0, request("r2"))); to == "engine-3" || to == "" {
		t.Fatalf("the request went to %q; it must go to an engine that is less busy than engine-3", to)
	}
}

// TestCacheEventGapDropsReportedPrefixes checks that prefixes known from events
// are dropped after a gap in the events, since a lost event may have evicted
// them.
func TestCacheEventGapDropsReportedPrefixes(t *testing.T) {
	c := coreWithEngines(t, 2)
	c.Step(0, CacheReported{Name: "engine-1", Changes: []CacheChange{{Sequence: 0, PrefixHash: 5}}, NextSequence: 1})
	c.Step(0, CacheReported{Name: "engine-1", Changes: []CacheChange{{Sequence: 3, PrefixHash: 6}}, NextSequence: 4})
	u := c.upstreams["engine-1"]
	if u.cachedPrefixes.has(5) || !u.cachedPrefixes.has(6) {
		t.Fatalf("prefixes after the gap: %+v", u.cachedPrefixes.records)
	}
}

// TestWorkOfLeavingIncarnationIsNotCancelled covers a host that is replaced
// under its name. The old process may still be finishing its work if it stops
// gracefully, so that work is not cancelled before its deadline; the work of a
// crashed process is.
func TestWorkOfLeavingIncarnationIsNotCancelled(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		c := coreWithEngines(t, 1)
		c.Step(0, HostChanged{Host: "h2", Incarnation: 1, State: HostAlive})
		c.Step(0, HostReplaced{Host: "h2", OldIncarnation: 1, OldLeaving: leaving})
		c.Step(0, HostChanged{Host: "h2", Incarnation: 2, State: HostAlive})
		work := []HeldWork{{ID: "w", Attempt: 1, Host: "h2", Incarnation: 1, Deadline: time.Minute, MemoryTokens: 5}}
		effects := c.Step(time.Second, WorkListed{Name: "engine-0", Work: work})
		if cancelled := len(effects) > 0; cancelled == leaving {
			t.Errorf("old incarnation leaving: %v; its work was cancelled: %v", leaving, cancelled)
		}
		effects = c.Step(time.Minute+10*time.Second, WorkListed{Name: "engine-0", Work: work})
		if leaving && len(effects) == 0 {
			t.Error("work past its deadline was not cancelled")
		}
	}
}

// TestModelVersionChangeKeepsServingRequests checks that requests for a new
// version of a model are served with the old version while no engine has loaded
// the new one, and with the new version after that.
func TestModelVersionChangeKeepsServingRequests(t *testing.T) {
	c := coreWithEngines(t, 2)
	sentEngineAndModel := func(id string) string {
		e := modelRequest(id, "o", 1_000, time.Minute)
		e.Model = "m@2"
		for _, f := range c.Step(time.Second, e) {
			if s, ok := f.(Send); ok {
				return s.Group[0].Upstream + " " + s.Model
			}
		}
		return "refused"
	}
	if got := sentEngineAndModel("r1"); got != "engine-0 m@1" && got != "engine-1 m@1" {
		t.Errorf("before an engine loaded the new version, the request went to %s", got)
	}
	c.Step(time.Second, LoadReported{Name: "engine-1", RequestedAt: time.Second, MemoryTotal: 400_000, Models: []string{"m@1", "m@2"}})
	if got := sentEngineAndModel("r2"); got != "engine-1 m@2" {
		t.Errorf("after engine-1 loaded the new version, the request went to %s", got)
	}
	if sameModel("m@1+a", "m@2") || !sameModel("m@1+a", "m@2+a") || sameModel("n@1", "m@1") {
		t.Error("sameModel does not compare names and adapters")
	}
}

// TestAttachedWorkOfDeadHostIsNotCancelled covers two hosts that lose contact,
// so that each declares the other dead. Neither may cancel work whose answer
// the other still reads.
func TestAttachedWorkOfDeadHostIsNotCancelled(t *testing.T) {
	c := coreWithEngines(t, 1)
	c.Step(0, HostChanged{Host: "h2", Incarnation: 1, State: HostDead})
	for _, attached := range []bool{true, false} {
		work := HeldWork{ID: "w", Attempt: 1, Host: "h2", Incarnation: 1, Deadline: time.Minute, MemoryTokens: 5, Attached: attached}
		effects := c.Step(time.Second, WorkListed{Name: "engine-0", Work: []HeldWork{work}})
		if cancelled := len(effects) > 0; cancelled == attached {
			t.Errorf("work attached: %v; it was cancelled: %v", attached, cancelled)
		}
	}
}

// TestKindPriorityOrdersRequests checks that of two equal requests the one of
// the kind with the lower priority number goes first, and that a longer wait
// outweighs the difference.
func TestKindPriorityOrdersRequests(t *testing.T) {
	c := coreWithEngines(t, 2)
	virtualDeadline := func(now time.Duration, priority int) time.Duration {
		r := &request{Arrived: modelRequest("x", "o", 1_000, time.Minute)}
		r.KindPriority = priority
		return c.computeVirtualDeadline(now, r, c.organisationUsage("o"))
	}
	if virtualDeadline(0, 0) >= virtualDeadline(0, 2) {
		t.Error("a request of priority 2 goes before one of priority 0")
	}
	if virtualDeadline(5*time.Second, 0) <= virtualDeadline(0, 2) {
		t.Error("a request of priority 2 does not go before one of priority 0 that arrived 5 s later")
	}
}
