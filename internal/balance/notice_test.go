package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sendOne has a core send a request and returns the Send, nil if there is none.
func sendOne(c *Core, number uint64, service string, now time.Duration) *Send {
	r := newArrival(number, shortRoute, service, 5000, now)
	if service == "desk" {
		r = newArrival(number, safeRoute, service, 0, now)
	}
	return firstSend(c.Step(now, r))
}

// askForRest refuses a sent request and asks for rest, as the server to which it was sent.
func askForRest(c *Core, s *Send, rest, now time.Duration) []Effect {
	c.Step(now, AnswerNotice{RequestNumber: s.RequestNumber, Attempt: s.Attempt, Upstream: s.Members[0].Upstream, RestTime: rest})
	return c.Step(now, AttemptFailed{RequestNumber: s.RequestNumber, Attempt: s.Attempt, Class: FailureNoCapacity})
}

// putToRest has all servers of a service ask for rest, one request after the other, and
// returns the effects of the last refusal.
func putToRest(t *testing.T, c *Core, service string, rests map[string]time.Duration, now time.Duration) []Effect {
	t.Helper()
	s := sendOne(c, 1000, service, now)
	for range rests {
		if s == nil {
			t.Fatal("the request was not sent to all servers")
		}
		effects := askForRest(c, s, rests[s.Members[0].Upstream], now)
		if s = firstSend(effects); s == nil {
			return effects
		}
	}
	t.Fatal("a server got a request during its rest")
	return nil
}

func TestRestingServerGetsNothingUntilTheRestIsOver(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	first := sendOne(c, 1, "llm", 0)
	resting := first.Members[0].Upstream
	next := firstSend(askForRest(c, first, 3*time.Second, 0))
	g.Expect(next.Members[0].Upstream).NotTo(Equal(resting), "the refused request goes elsewhere")
	for n := range uint64(59) {
		now := time.Duration(n) * 50 * time.Millisecond
		s := sendOne(c, n+10, "llm", now)
		g.Expect(s.Members[0].Upstream).NotTo(Equal(resting), "at %v", now)
		c.Step(now, CallerGone{RequestNumber: n + 10})
	}
	used := make(map[string]bool)
	for n := range uint64(40) {
		now := 3*time.Second + time.Duration(n)*50*time.Millisecond
		used[sendOne(c, n+100, "llm", now).Members[0].Upstream] = true
		c.Step(now, CallerGone{RequestNumber: n + 100})
	}
	g.Expect(used).To(HaveKey(resting), "it gets requests again")
}

func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	g := NewWithT(t)
	var i intake
	i.rest(3*time.Second, 0)
	i.rest(time.Second, 100*time.Millisecond)
	g.Expect(i.resting(2900 * time.Millisecond)).To(BeTrue())
	g.Expect(i.resting(3 * time.Second)).To(BeFalse())
	i.rest(2*time.Second, 2*time.Second)
	g.Expect(i.admitsAt(3 * time.Second)).To(Equal(4 * time.Second))
}

// TestRequestsAreRefusedAtOnceWhileAllServersRest guards against requests that are held
// until their deadline although all servers rest for longer.
func TestRequestsAreRefusedAtOnceWhileAllServersRest(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	rests := map[string]time.Duration{"deska1": 5 * time.Second, "deska2": 8 * time.Second, "deskb1": 4 * time.Second, "deskb2": 9 * time.Second}
	refusal := firstRefuse(putToRest(t, c, "desk", rests, 0))
	g.Expect(refusal).NotTo(BeNil(), "the request that all of them refused")
	waits := make(map[time.Duration]bool)
	for n := range uint64(20) {
		refusal = firstRefuse(c.Step(time.Second, newArrival(n+1, safeRoute, "desk", 0, time.Second)))
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Code).To(Equal(CodeOverloaded))
		g.Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 3750*time.Millisecond)), "the first rest ends in 3 s")
		waits[refusal.RetryAfter] = true
	}
	g.Expect(len(waits)).To(BeNumerically(">", 15), "callers do not return at the same moment")
}

// TestRequestsWaitForARestThatEndsInTime guards against refusals of what could be served
// in time, and against requests that are kept waiting when the rest is prolonged.
func TestRequestsWaitForARestThatEndsInTime(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	rests := map[string]time.Duration{"deska1": 40 * time.Millisecond, "deska2": time.Second, "deskb1": time.Second, "deskb2": time.Second}
	putToRest(t, c, "desk", rests, 0)
	g.Expect(firstRefuse(c.Step(0, newArrival(1, safeRoute, "desk", 0, 0)))).To(BeNil())
	g.Expect(firstSend(c.Step(30*time.Millisecond, Tick{}))).To(BeNil())
	sent := firstSend(c.Step(100*time.Millisecond, Tick{}))
	g.Expect(sent).NotTo(BeNil())
	g.Expect(sent.Members[0].Upstream).To(Equal("deska1"))
}

// TestReservedPromptIsNotSentToAServerThatRests covers the time between the choice of
// servers and the confirmation of their memory.
func TestReservedPromptIsNotSentToAServerThatRests(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	var asked []ReserveMemory
	for _, effect := range c.Step(0, newArrival(1, longPromptRoute, "llm", 400000, 0)) {
		if e, ok := effect.(ReserveMemory); ok {
			asked = append(asked, e)
		}
	}
	g.Expect(len(asked)).To(BeNumerically(">", 1))
	leader := asked[0].Member.Upstream
	c.Step(0, AnswerNotice{RequestNumber: 1, Attempt: 1, Upstream: leader, RestTime: 3 * time.Second})
	var last []Effect
	for _, e := range asked {
		last = c.Step(time.Millisecond, ReservationResult{RequestNumber: 1, Attempt: 1, Upstream: e.Member.Upstream, OK: true})
	}
	g.Expect(firstSend(last)).To(BeNil())
	for _, effect := range last {
		if e, ok := effect.(ReserveMemory); ok {
			g.Expect(e.Member.Upstream).NotTo(Equal(leader))
		}
	}
	g.Expect(last).To(ContainElement(BeAssignableToTypeOf(ReleaseMemory{})))
}

// leave has a server announce that it is shutting down in its answer to a request.
func leave(c *Core, s *Send, now time.Duration) []Effect {
	return c.Step(now, AnswerNotice{RequestNumber: s.RequestNumber, Attempt: s.Attempt, Upstream: s.Members[0].Upstream, Leaving: true})
}

// deskUpstreams returns registrations of the servers of one service with an incarnation.
func deskUpstreams(incarnation int64, ids ...string) UpstreamsChanged {
	var list []Upstream
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Service: "desk", Address: id, DataCentre: "a", Slots: 16, Incarnation: incarnation})
	}
	return UpstreamsChanged{Upstreams: list}
}

// TestLeavingServerGetsNothingUntilItsNextRun guards against servers that get requests
// again since their registration was read anew, or disappeared for a while.
func TestLeavingServerGetsNothingUntilItsNextRun(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, deskUpstreams(1, "one"))
	s := sendOne(c, 1, "desk", 0)
	effects := leave(c, s, 0)
	g.Expect(effects).To(ContainElement(UpstreamLeaving{Upstream: "one", Incarnation: 1}))
	g.Expect(leave(c, s, 0)).NotTo(ContainElement(BeAssignableToTypeOf(UpstreamLeaving{})), "told once")
	c.Step(time.Second, Finished{RequestNumber: 1, Attempt: 1, Success: true})
	g.Expect(sendOne(c, 2, "desk", time.Second)).To(BeNil())
	c.Step(2*time.Second, deskUpstreams(1, "one", "two"))
	g.Expect(sendOne(c, 3, "desk", 2*time.Second).Members[0].Upstream).To(Equal("two"))
	c.Step(3*time.Second, deskUpstreams(1, "two"))
	c.Step(4*time.Second, deskUpstreams(1, "one"))
	g.Expect(sendOne(c, 4, "desk", 4*time.Second)).To(BeNil(), "its registration lapsed and is back")
	c.Step(5*time.Second, deskUpstreams(2, "one"))
	g.Expect(sendOne(c, 5, "desk", 5*time.Second)).NotTo(BeNil(), "another run")
}

// TestNewsOfALeavingServerConcernItsRunOnly guards against a server that is shunned since
// its former run has left.
func TestNewsOfALeavingServerConcernItsRunOnly(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, deskUpstreams(1, "one"))
	s := sendOne(c, 1, "desk", 0)
	c.Step(time.Second, deskUpstreams(2, "one"))
	leave(c, s, time.Second)
	c.Step(time.Second, LeavingReported{Host: "h2", Upstream: "one", Incarnation: 1})
	g.Expect(sendOne(c, 2, "desk", time.Second)).NotTo(BeNil())
	effects := c.Step(time.Second, LeavingReported{Host: "h2", Upstream: "one", Incarnation: 2})
	g.Expect(effects).To(ContainElement(UpstreamLeaving{Upstream: "one", Incarnation: 2, Host: "h2"}))
	g.Expect(sendOne(c, 3, "desk", time.Second)).To(BeNil())
}

// TestLoadOfRestingServersIsBorneByTheOthers guards against hosts that send to servers
// during their rest, or that drive the other servers into being late.
func TestLoadOfRestingServersIsBorneByTheOthers(t *testing.T) {
	for _, size := range []fleetSize{{8, 18, directDelayForTests}, {24, 50, relayedDelayForTests}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(size.hosts, " hosts, seed ", seed), func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimulation(PolicyPredict, size.hosts, size.servers, 100*seed)
				sim.reportDelay = size.reportDelay
				for i := range size.servers {
					sim.servers[fmt.Sprint("i-", i)].asksForRest = func(now time.Duration) bool {
						return now > 4*time.Second && i%3 == int(now/(4*time.Second))%3
					}
				}
				random := rand.New(rand.NewPCG(seed, 7))
				sim.generateTraffic(random, shortRoute, 2.5*float64(size.servers), 4000, 0.5, 700, 16*time.Second)
				sim.runUntil(18 * time.Second)
				refusals, delivered := 0, 0
				for _, s := range sim.servers {
					refusals += s.refusals
				}
				for _, r := range sim.results {
					if r.delivered {
						delivered++
					}
				}
				served := float64(delivered) / float64(len(sim.results))
				t.Logf("%d refusals, %d requests during a rest, served %.3f, in time %.3f", refusals, sim.duringRest, served, sim.inTimeShare("short"))
				g.Expect(refusals).To(BeNumerically(">", 0))
				g.Expect(sim.duringRest).To(BeZero())
				g.Expect(served).To(BeNumerically(">=", 0.99))
			})
		}
	}
}
