package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSilentAttemptIsGivenUpForAnotherServerOnly guards against requests that are taken from
// a server which is silent for a moment and then only wait.
func TestSilentAttemptIsGivenUpForAnotherServerOnly(t *testing.T) {
	for _, arrival := range []Arrived{newArrival(1, shortRoute, "llm", 5000, 0), newArrival(1, safeRoute, "desk", 0, 0)} {
		g := NewWithT(t)
		c := newTestCore(t)
		s := firstSend(c.Step(0, arrival))
		silent := s.Members[0].Upstream
		g.Expect(c.HasAlternative(1, s.Attempt, time.Second)).To(BeTrue())
		for id, u := range c.upstreams {
			if id != silent {
				u.avoidUntil = 2 * time.Second
			}
		}
		g.Expect(c.HasAlternative(1, s.Attempt, time.Second)).To(BeFalse(), "no other server")
		g.Expect(c.HasAlternative(1, s.Attempt, 3*time.Second)).To(BeTrue(), "another one is back")
		g.Expect(c.HasAlternative(1, s.Attempt+1, time.Second)).To(BeTrue(), "an attempt that has ended")
		for now := time.Duration(0); c.budgetOfService(arrival.Service).trySpend(now, &c.config, 1); {
		}
		g.Expect(c.HasAlternative(1, s.Attempt, 3*time.Second)).To(BeFalse(), "no retry is allowed")
	}
}

// TestAttemptThatHoldsMemoryIsGivenUp guards against memory that stays reserved at sound
// servers for an attempt whose leader has gone dark.
func TestAttemptThatHoldsMemoryIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	var sent *Send
	for _, r := range effectsOf[ReserveMemory](c.Step(0, newArrival(1, longPromptRoute, "llm", 300000, 0))) {
		if s := firstSend(c.Step(TickInterval, ReservationResult{RequestNumber: 1, Attempt: r.Attempt, Upstream: r.Member.Upstream, OK: true})); s != nil {
			sent = s
		}
	}
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	g.Expect(c.HasAlternative(1, sent.Attempt, time.Second)).To(BeTrue())
}
