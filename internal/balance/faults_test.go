package balance

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// newFaultCore returns a core of data centre a with two servers in each of a
// and b, for streams and calls.
func newFaultCore(t *testing.T) *Core {
	t.Helper()
	c, err := New(testConfig("h", PolicyPredict), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(0, ServicesChanged{Services: []*route.Service{{Name: "llm", Engine: testEngine()}, {Name: "desk"}}})
	var list []Upstream
	for _, service := range []string{"llm", "desk"} {
		for _, id := range []string{"a1", "a2", "b1", "b2"} {
			list = append(list, Upstream{ID: service + id, Service: service, Address: service + id, DataCentre: id[:1], Slots: 16})
		}
	}
	c.Step(0, UpstreamsChanged{Upstreams: list})
	return c
}

func arrival(number uint64, r *route.Route, service string, prompt int, now time.Duration) Arrived {
	return Arrived{RequestNumber: number, ID: "r", Route: r, Service: service, PromptTokens: prompt, AnswerTokens: 100, Deadline: now + 10*time.Second}
}

func sent(effects []Effect) *Send {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			return &s
		}
	}
	return nil
}

func refused(effects []Effect) *Refuse {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			return &r
		}
	}
	return nil
}

// TestCutDataCentreIsPassedOver has two servers of b be out of reach. During a
// cut each request once tried one of them after the other.
func TestCutDataCentreIsPassedOver(t *testing.T) {
	c := newFaultCore(t)
	now := time.Second
	c.judge(c.upstreams["llmb1"], FailureNotConnected, now)
	c.judge(c.upstreams["llmb2"], FailureNotConnected, now)
	now += 600 * time.Millisecond
	for n := range uint64(20) {
		s := sent(c.Step(now, arrival(n+1, bookRoute, "llm", 150000, now)))
		if s == nil {
			continue
		}
		for _, m := range s.Members {
			if m.Upstream[3] == 'b' {
				t.Fatalf("sent to %s", m.Upstream)
			}
		}
	}
	c.judge(c.upstreams["deskb1"], "", now)
	if now < c.site("b").avoidUntil {
		t.Error("an answer from there must end it")
	}
}

// TestHelperOutOfReachIsNotAskedAgain has a server say that its helper is gone.
func TestHelperOutOfReachIsNotAskedAgain(t *testing.T) {
	c := newFaultCore(t)
	s := sent(c.Step(0, arrival(1, bookRoute, "llm", 150000, 0)))
	if s == nil || len(s.Members) < 2 {
		t.Fatal("no helpers were asked")
	}
	helper := s.Members[1]
	effects := c.Step(time.Millisecond, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: FailureNoCapacity, FailedAddress: helper.Address})
	again := sent(effects)
	if again == nil {
		t.Fatal("not tried again")
	}
	for _, m := range again.Members {
		if m.Upstream == helper.Upstream {
			t.Error("the same helper was asked at once")
		}
	}
}

// TestHostThatReachesNobodyRefusesAtOnce cuts the host off from all servers.
func TestHostThatReachesNobodyRefusesAtOnce(t *testing.T) {
	c := newFaultCore(t)
	for _, u := range c.upstreams {
		c.judge(u, FailureNotConnected, time.Second)
	}
	r := refused(c.Step(time.Second, arrival(1, orderRoute, "desk", 0, time.Second)))
	if r == nil || r.Code != CodeUpstreamsUnreachable || r.RetryAfter <= 0 {
		t.Fatalf("%+v", r)
	}
	if !c.Isolated(time.Second) {
		t.Error("the host must not be ready meanwhile")
	}
	c.judge(c.upstreams["deskb1"], "", time.Second)
	if c.Isolated(time.Second) {
		t.Error("one server was reached")
	}
}

// TestUnsafeRequestIsNotRepeatedOnceItMayHaveRun fails attempts in each class.
func TestUnsafeRequestIsNotRepeatedOnceItMayHaveRun(t *testing.T) {
	for _, class := range []FailureClass{FailureNotConnected, FailureNoCapacity, FailureServerReplaced, FailureAnswerLost, FailureNoResponse, FailureUpstreamError} {
		c := newFaultCore(t)
		if sent(c.Step(0, arrival(1, orderRoute, "desk", 0, 0))) == nil {
			t.Fatal("not sent")
		}
		effects := c.Step(time.Millisecond, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: class})
		if again := sent(effects) != nil; again == class.ran() {
			t.Errorf("%s: sent again %v", class, again)
		}
		if class.ran() && refused(effects) != nil {
			t.Errorf("%s: refused as not run", class)
		}
	}
}

// TestRetryBudgetBoundsAStormOfFailures lets every attempt fail on several hosts.
func TestRetryBudgetBoundsAStormOfFailures(t *testing.T) {
	const hosts, requests = 8, 200
	repeats := 0
	for range hosts {
		c := newFaultCore(t)
		c.Step(0, PeersChanged{OtherHosts: hosts - 1})
		for n := range uint64(requests) {
			now := time.Duration(n) * 10 * time.Millisecond
			effects := c.Step(now, arrival(n, readRoute, "desk", 0, now))
			for s := sent(effects); s != nil; s = sent(effects) {
				if s.Attempt > 1 {
					repeats++
				}
				effects = c.Step(now, AttemptFailed{RequestNumber: n, Attempt: s.Attempt, Class: FailureUpstreamError})
			}
		}
	}
	config := testConfig("h", PolicyPredict)
	if bound := config.RetryRatio*hosts*requests + float64(config.RetrySlack); float64(repeats) > bound {
		t.Errorf("%d repeats, at most %.0f are allowed", repeats, bound)
	}
}

// TestWorkOfALostHostExpires hears of work whose end is never told.
func TestWorkOfALostHostExpires(t *testing.T) {
	c := newFaultCore(t)
	c.Step(0, ReportReceived{Host: "other", Report: WorkReport{Boot: 1, Work: []ReportedWork{
		{RequestNumber: 1, Upstream: "llma1", Leader: true, PrefillTime: time.Second, MemoryTokens: 5000, TimeLeft: 2 * time.Second},
		{RequestNumber: 2, Upstream: "llma1", Leader: true, MemoryTokens: 5000, TimeLeft: time.Minute},
	}}})
	c.Step(4*time.Second, Tick{})
	if got := len(c.upstreams["llma1"].works); got != 1 {
		t.Errorf("%d works are left, want the one that is not over", got)
	}
	c.Step(5*time.Second, ReportReceived{Host: "other", Report: WorkReport{Boot: 2, Full: true}})
	if got := len(c.upstreams["llma1"].works); got != 0 {
		t.Errorf("%d works of the host's earlier process are left", got)
	}
}

// TestCallersThatLeaveProveNothing has callers leave at a server that is out of
// reach. Other hosts once took that for answers of the server.
func TestCallersThatLeaveProveNothing(t *testing.T) {
	here, there := newFaultCore(t), newFaultCore(t)
	here.Step(0, PeersChanged{OtherHosts: 1})
	s := sent(here.Step(0, arrival(1, shortRoute, "llm", 5000, 0)))
	var news []WorkReport
	for _, e := range append(here.Step(time.Second, CallerGone{RequestNumber: 1}), here.Step(time.Second, Tick{})...) {
		if tell, ok := e.(BroadcastReport); ok {
			news = append(news, tell.Report)
		}
	}
	u := there.upstreams[s.Members[0].Upstream]
	there.judge(u, FailureNotConnected, time.Second)
	for _, m := range news {
		there.Step(time.Second, ReportReceived{Host: "here", Report: m})
	}
	if u.usable(time.Second) {
		t.Error("the server counts as reached again")
	}
}
