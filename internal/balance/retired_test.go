package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/route"
)

// retireService removes a service from the configuration, and its servers from those that
// are registered.
func retireService(c *Core, service string, now time.Duration) []Effect {
	var services []*route.Service
	for name, pool := range c.servicePools {
		if name != service {
			services = append(services, pool.service)
		}
	}
	var list []Upstream
	for _, u := range c.upstreams {
		if u.Service != service {
			list = append(list, u.Upstream)
		}
	}
	effects := c.Step(now, ServicesChanged{Services: services})
	return append(effects, c.Step(now, UpstreamsChanged{Upstreams: list})...)
}

// expectRefusal expects that the effects refuse one request since it has no upstream, with
// a short time to come back.
func expectRefusal(g Gomega, effects []Effect) {
	refusals := effectsOf[Refuse](effects)
	g.Expect(refusals).To(HaveLen(1))
	g.Expect(refusals[0].Code).To(Equal(CodeNoUpstream))
	g.Expect(refusals[0].RetryAfter).To(Equal(minRetryAfter))
}

// TestRequestsOfARetiredServiceAreRefused guards against hosts that end, or hold requests
// until their time is over, when a configuration drops a service for which requests wait.
func TestRequestsOfARetiredServiceAreRefused(t *testing.T) {
	for name, coordinators := range map[string][]string{"host that chooses": nil, "host that asks": {"k1"}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCoordinatedCore(t, coordinators...)
			for _, u := range c.upstreams {
				u.avoidUntil = time.Minute
			}
			c.Step(0, newArrival(1, longPromptRoute, "llm", 45000, 0))
			g.Expect(c.Waiting()).To(Equal(1))
			expectRefusal(g, retireService(c, "llm", queryInterval))
			expectRefusal(g, c.Step(2*queryInterval, newArrival(2, longPromptRoute, "llm", 45000, 0)))
			for now := 2 * queryInterval; now < time.Second; now += TickInterval {
				c.Step(now, Tick{})
			}
		})
	}
}

// TestRequestsWaitForServersThatReturn guards against a refusal of what waits for a service
// that has no server for a moment and that the configuration still has.
func TestRequestsWaitForServersThatReturn(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	c.Step(0, newArrival(1, longPromptRoute, "llm", 45000, 0))
	c.Step(TickInterval, UpstreamsChanged{})
	g.Expect(c.Waiting()).To(Equal(1))
	effects := c.Step(2*TickInterval, UpstreamsChanged{Upstreams: []Upstream{{ID: "new", Service: "llm", Address: "new", DataCentre: "a", Slots: 16}}})
	g.Expect(firstSend(append(effects, c.Step(3*TickInterval, Tick{})...))).NotTo(BeNil())
}

// TestQuestionsAboutARetiredServiceAreDeclined guards against a coordinator that ends, or
// keeps another host waiting, when a service is dropped about which it was asked.
func TestQuestionsAboutARetiredServiceAreDeclined(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	c.Step(0, newQueryFrom(1, 1))
	g.Expect(c.Waiting()).To(Equal(1))
	answers := effectsOf[AnswerPlacement](retireService(c, "llm", queryInterval))
	answers = append(answers, effectsOf[AnswerPlacement](c.Step(2*queryInterval, newQueryFrom(2, 1)))...)
	g.Expect(answers).To(HaveLen(2))
	for _, a := range answers {
		g.Expect(a.Answer.Outcome).To(Equal(PlacementDeclined))
	}
}

// TestLateAnswersAboutARetiredServiceAreDropped guards against work that begins at servers
// which are gone, since the word about it comes late.
func TestLateAnswersAboutARetiredServiceAreDropped(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1")
	query := effectsOf[QueryPlacement](c.Step(0, newArrival(1, shortRoute, "llm", 5000, 0)))[0].Query
	retireService(c, "llm", TickInterval)
	effects := c.Step(2*TickInterval, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{RequestNumber: 1, Number: query.Number, Outcome: PlacementChosen, Members: []string{"llma1"}}})
	g.Expect(firstSend(effects)).To(BeNil())

	c = newTestCore(t)
	reservations := effectsOf[ReserveMemory](c.Step(0, newArrival(1, longPromptRoute, "llm", 300000, 0)))
	g.Expect(reservations).NotTo(BeEmpty())
	retireService(c, "llm", TickInterval)
	effects = nil
	for _, r := range reservations {
		effects = append(effects, c.Step(2*TickInterval, ReservationResult{RequestNumber: 1, Attempt: r.Attempt, Upstream: r.Member.Upstream, OK: true})...)
	}
	g.Expect(firstSend(effects)).To(BeNil(), "the servers are gone")
	expectRefusal(g, effects)
}
