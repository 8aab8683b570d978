package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newCutOffCore returns a core that is cut off from all servers at the time of 1 s and
// hears of other hosts: near and far reach servers, the others do not.
func newCutOffCore(t *testing.T) *Core {
	t.Helper()
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 4, Forwarders: []Forwarder{
		{Host: "near", DataCentre: "a", Address: "near:1", Weight: 0.4},
		{Host: "far", DataCentre: "b", Address: "far:1", Weight: 0.4},
		{Host: "cut-off-too", DataCentre: "a", Address: "cut:1", Weight: 0.4},
		{Host: "silent", DataCentre: "a", Address: "silent:1", Weight: 0.4},
	}})
	now := time.Second
	for _, host := range []string{"near", "far", "cut-off-too"} {
		c.Step(now, ReportReceived{Host: host, Report: WorkReport{Boot: 1, Full: true}})
	}
	c.Step(now, HostCutOff{Host: "cut-off-too", CutOff: true})
	cutOff(c, now)
	return c
}

// hostOf returns the name of the host that a request is passed on to; empty if it is
// not passed on.
func hostOf(effects []Effect) string {
	if s := firstSend(effects); s != nil && s.ToHost {
		return s.Members[0].Upstream
	}
	return ""
}

func TestCutOffHostPassesRequestsOnToAHostThatReachesServers(t *testing.T) {
	g := NewWithT(t)
	c := newCutOffCore(t)
	now := time.Second
	g.Expect(hostOf(c.Step(now, newArrival(1, unsafeRoute, "desk", 0, now)))).To(Equal("near"))
	g.Expect(hostOf(c.Step(now, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: FailureNotConnected}))).To(Equal("far"))
	effects := c.Step(now, AttemptFailed{RequestNumber: 1, Attempt: 2, Class: FailureNotConnected})
	g.Expect(firstRefuse(effects).Code).To(Equal(CodeUpstreamsUnreachable), "the other hosts reach no servers or are silent")
	g.Expect(c.CanForward(now)).To(BeFalse())
	g.Expect(c.CanForward(now + forwarderBackoff)).To(BeTrue())
	g.Expect(c.CanForward(now+time.Minute)).To(BeFalse(), "nothing was heard of them since")
}

// TestForwardedRequestIsNotPassedOnAgain guards against requests that go in circles
// between hosts without servers.
func TestForwardedRequestIsNotPassedOnAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCutOffCore(t)
	r := newArrival(1, safeRoute, "desk", 0, time.Second)
	r.Forwarded = true
	refusal := firstRefuse(c.Step(time.Second, r))
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Code).To(Equal(CodeUpstreamsUnreachable))
}

// TestForwardedUnsafeRequestRunsOnce lets the link to the other host break in each way.
func TestForwardedUnsafeRequestRunsOnce(t *testing.T) {
	for _, class := range []FailureClass{FailureNotConnected, FailureHostRefused, FailureAnswerLost} {
		g := NewWithT(t)
		c := newCutOffCore(t)
		now := time.Second
		c.Step(now, newArrival(1, unsafeRoute, "desk", 0, now))
		effects := c.Step(now, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: class, RefusedCode: CodeUpstreamsUnreachable})
		if class == FailureAnswerLost {
			g.Expect(firstSend(effects)).To(BeNil(), "it may have run")
			g.Expect(firstRefuse(effects)).To(BeNil())
			g.Expect(effects).To(ContainElement(BeAssignableToTypeOf(Fail{})))
			continue
		}
		g.Expect(hostOf(effects)).To(Equal("far"), string(class))
	}
}

// TestRunsBeforeAForwardCount guards against requests that run at more servers than
// their route allows since two hosts each count their own.
func TestRunsBeforeAForwardCount(t *testing.T) {
	g := NewWithT(t)
	c := newCutOffCore(t)
	now := time.Second
	r := newArrival(1, shortRoute, "llm", 5000, now)
	c.Step(now, r)
	effects := c.Step(now, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: FailureAnswerLost})
	g.Expect(firstSend(effects).PriorRuns).To(Equal(1))

	other := newTestCore(t)
	r.Forwarded, r.PriorRuns = true, 1
	g.Expect(firstSend(other.Step(now, r))).NotTo(BeNil())
	effects = other.Step(now, AttemptFailed{RequestNumber: 1, Attempt: 1, Class: FailureAnswerLost})
	g.Expect(firstSend(effects)).To(BeNil(), "two runs are allowed")
	g.Expect(other.budgetOfService("llm").requestRate(now, other.config.RetryWindow)).To(BeZero(), "the first host counts the request")
}

func TestRefusalForTheServersSakeIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	c := newCutOffCore(t)
	now := time.Second
	c.Step(now, newArrival(1, shortRoute, "llm", 5000, now))
	refusal := firstRefuse(c.Step(now, AttemptFailed{
		RequestNumber: 1, Attempt: 1, Class: FailureHostRefused, RefusedCode: CodeOverloaded, RetryAfter: 700 * time.Millisecond,
	}))
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Code).To(Equal(CodeOverloaded))
	g.Expect(refusal.RetryAfter).To(Equal(700 * time.Millisecond))
}

// TestWaitingRequestsArePassedOnWhenTheHostIsCutOff guards against requests that wait
// for room at servers which the host no longer reaches.
func TestWaitingRequestsArePassedOnWhenTheHostIsCutOff(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 1, Forwarders: []Forwarder{{Host: "near", DataCentre: "a", Address: "near:1", Weight: 1}}})
	c.Step(0, ReportReceived{Host: "near", Report: WorkReport{Boot: 1, Full: true}})
	for n := range uint64(5) {
		c.Step(0, newArrival(n+1, longPromptRoute, "llm", 220000, 0))
	}
	waiting := c.Waiting()
	g.Expect(waiting).To(BeNumerically(">", 0))
	cutOff(c, 100*time.Millisecond)
	g.Expect(c.Waiting()).To(BeZero())
	g.Expect(c.forwarders[0].outstanding).To(Equal(waiting))
}

// TestRequestsAreSpreadByTheStrengthOfHosts guards against a small host that takes as
// many requests of others as a large one.
func TestRequestsAreSpreadByTheStrengthOfHosts(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 2, Forwarders: []Forwarder{
		{Host: "small", DataCentre: "a", Address: "s:1", Weight: 0.2}, {Host: "large", DataCentre: "a", Address: "l:1", Weight: 0.8},
	}})
	now := time.Second
	for _, host := range []string{"small", "large"} {
		c.Step(now, ReportReceived{Host: host, Report: WorkReport{Boot: 1, Full: true}})
	}
	cutOff(c, now)
	count := make(map[string]int)
	for n := range uint64(100) {
		count[hostOf(c.Step(now, newArrival(n+1, shortRoute, "llm", 5000, now)))]++
	}
	g.Expect(count["large"]).To(BeNumerically("~", 80, 3))
	g.Expect(count["small"]).To(BeNumerically("~", 20, 3))
}

// TestHostTellsAtOnceThatItIsCutOff guards against requests that are passed on to a
// host which lost its servers as well.
func TestHostTellsAtOnceThatItIsCutOff(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 1})
	c.Step(time.Second, Tick{})
	cutOff(c, 1100*time.Millisecond)
	told := func(now time.Duration) []bool {
		var list []bool
		for _, e := range c.Step(now, Tick{}) {
			if b, ok := e.(BroadcastCutOff); ok {
				list = append(list, b.CutOff)
			}
		}
		return list
	}
	g.Expect(told(1100 * time.Millisecond)).To(Equal([]bool{true}))
	g.Expect(told(1200 * time.Millisecond)).To(BeEmpty())
	g.Expect(told(2200*time.Millisecond)).To(Equal([]bool{true}), "again while it lasts")
	c.Step(2300*time.Millisecond, ConnectionProbed{Upstream: "llma1", Connected: true})
	g.Expect(told(2300 * time.Millisecond)).To(Equal([]bool{false}))
}

// TestHostCountsAsCutOffForAWhile guards against a host that stays out since the end of
// its cut was not heard.
func TestHostCountsAsCutOffForAWhile(t *testing.T) {
	g := NewWithT(t)
	c := newCutOffCore(t)
	now := time.Second
	for host, cutOff := range map[string]bool{"near": true, "far": true, "cut-off-too": false} {
		c.Step(now, HostCutOff{Host: host, CutOff: cutOff})
	}
	g.Expect(c.chooseForwarder(nil, now).Host).To(Equal("cut-off-too"))
	c.Step(now, HostCutOff{Host: "cut-off-too", CutOff: true})
	g.Expect(c.CanForward(now)).To(BeFalse())
	g.Expect(c.CanForward(now + cutOffMemory)).To(BeTrue())
}

// TestFirstTriesAreServedWhileHostsReachNoServer guards against hosts that serve less
// than others while they are cut off from all servers, up to most hosts of a fleet.
func TestFirstTriesAreServedWhileHostsReachNoServer(t *testing.T) {
	const minCutOffShare = 2.0 / 3
	for _, fleet := range []struct{ hosts, servers, cutOff int }{{8, 18, 3}, {8, 18, 5}, {8, 18, 7}, {24, 50, 12}} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(PolicyPredict, fleet.hosts, fleet.servers, 1)
			random := rand.New(rand.NewPCG(1, 7))
			sim.promptTraffic(random, 2.5*float64(fleet.servers), 0, 0, 10*time.Second)
			sim.schedule(3*time.Second, func() {
				for host := range fleet.cutOff {
					sim.partitioned[host] = true
				}
			})
			sim.runUntil(14 * time.Second)
			var sent, served, inTime [2]float64
			for _, r := range sim.results {
				if r.sentAt < 6*time.Second {
					continue
				}
				group := 0
				if r.host >= fleet.cutOff {
					group = 1
				}
				sent[group]++
				if r.delivered {
					served[group]++
				}
				if r.inTime {
					inTime[group]++
				}
			}
			t.Logf("served %.3f, in time %.3f at the hosts that are cut off; %.3f and %.3f at the others",
				served[0]/sent[0], inTime[0]/sent[0], served[1]/sent[1], inTime[1]/sent[1])
			g.Expect(served[0] / sent[0]).To(BeNumerically(">=", minCutOffShare*served[1]/sent[1]))
			g.Expect(inTime[0] / sent[0]).To(BeNumerically(">=", minCutOffShare*inTime[1]/sent[1]))
		})
	}
}

// TestOtherHostRefusesInTimeForTheCaller guards against a request that is refused by the
// host it was passed on to, and that its caller sees time out.
func TestOtherHostRefusesInTimeForTheCaller(t *testing.T) {
	g := NewWithT(t)
	for timeLeft, kept := range map[time.Duration]time.Duration{time.Second: 125 * time.Millisecond, 10 * time.Second: maxReplyTime, 80 * time.Millisecond: 10 * time.Millisecond} {
		c := newCutOffCore(t)
		r := newArrival(1, safeRoute, "desk", 0, time.Second)
		r.Deadline = time.Second + timeLeft
		sent := firstSend(c.Step(time.Second, r))
		g.Expect(sent.ToHost).To(BeTrue())
		g.Expect(sent.Deadline).To(Equal(r.Deadline))
		g.Expect(sent.Deadline - sent.ReplyBy).To(Equal(kept))
	}
}
