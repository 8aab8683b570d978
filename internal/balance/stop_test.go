package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newStoppingCore returns a core of a host whose servers take no requests and which stops
// after the given time. One request waits there.
func newStoppingCore(t *testing.T, waiting Arrived, endsAt time.Duration) *Core {
	t.Helper()
	c := newTestCore(t)
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	c.Step(0, waiting)
	NewWithT(t).Expect(c.Waiting()).To(Equal(1))
	c.Step(0, HostStopping{EndsAt: endsAt})
	return c
}

// runUntilRefused passes ticks to a core until it refuses a request. It returns when, and
// the refusal.
func runUntilRefused(t *testing.T, c *Core, until time.Duration) (time.Duration, Refuse) {
	t.Helper()
	for now := TickInterval; now <= until; now += TickInterval {
		if refusals := effectsOf[Refuse](c.Step(now, Tick{})); len(refusals) > 0 {
			return now, refusals[0]
		}
	}
	t.Fatalf("not refused within %v", until)
	return 0, Refuse{}
}

// TestStoppingHostRefusesWhatItCannotAnswer guards against requests that wait at a host
// until it is gone.
func TestStoppingHostRefusesWhatItCannotAnswer(t *testing.T) {
	g := NewWithT(t)
	const endsAt = 4 * time.Second
	arrival := newArrival(1, longPromptRoute, "llm", 45000, 0)
	c := newStoppingCore(t, arrival, endsAt)
	at, refusal := runUntilRefused(t, c, endsAt)
	g.Expect(refusal.Code).To(Equal(CodeStopping))
	g.Expect(refusal.RetryAfter).To(Equal(StoppingRetryAfter))
	g.Expect(at).To(BeNumerically("~", endsAt-CautiousDuration(arrival.Route, arrival.PromptTokens, arrival.AnswerTokens), TickInterval))
	late := newArrival(2, longPromptRoute, "llm", 45000, at)
	g.Expect(effectsOf[Refuse](c.Step(at, late))).To(HaveLen(1), "a new one is refused at once")
}

// TestStoppingHostServesWhatItCanAnswer guards against refusals of requests that would be
// answered before their host is gone.
func TestStoppingHostServesWhatItCanAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newStoppingCore(t, newArrival(1, longPromptRoute, "llm", 45000, 0), 4*time.Second)
	for _, u := range c.upstreams {
		u.avoidUntil = 0
	}
	g.Expect(firstSend(c.Step(TickInterval, Tick{}))).NotTo(BeNil())
	g.Expect(firstSend(c.Step(2*TickInterval, newArrival(2, shortRoute, "llm", 5000, 2*TickInterval)))).NotTo(BeNil())
}

// TestStoppingHostTriesOnWhatMayHaveRun guards against a failure for a request that another
// server could still answer, and that its caller may not send again.
func TestStoppingHostTriesOnWhatMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	s := firstSend(c.Step(0, newArrival(1, longPromptRoute, "llm", 45000, 0)))
	const endsAt = 1800 * time.Millisecond
	c.Step(0, HostStopping{EndsAt: endsAt})
	effects := c.Step(100*time.Millisecond, AttemptFailed{RequestNumber: 1, Attempt: s.Attempt, Class: FailureAnswerLost})
	again := firstSend(effects)
	g.Expect(again).NotTo(BeNil())
	effects = c.Step(endsAt, AttemptFailed{RequestNumber: 1, Attempt: again.Attempt, Class: FailureAnswerLost})
	g.Expect(effectsOf[Fail](effects)).To(HaveLen(1))
}

// TestStopEndsRequestsWhoseMemoryIsReserved guards against a request without an answer
// since its memory is being reserved when the host is gone.
func TestStopEndsRequestsWhoseMemoryIsReserved(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	effects := c.Step(0, newArrival(1, longPromptRoute, "llm", 300000, 0))
	g.Expect(effectsOf[ReserveMemory](effects)).NotTo(BeEmpty())
	const endsAt = 4 * time.Second
	c.Step(0, HostStopping{EndsAt: endsAt})
	effects = c.Step(endsAt, DeadlinePassed{RequestNumber: 1})
	refusals := effectsOf[Refuse](effects)
	g.Expect(refusals).To(HaveLen(1))
	g.Expect(refusals[0].Code).To(Equal(CodeStopping))
	g.Expect(effectsOf[ReleaseMemory](effects)).NotTo(BeEmpty())
}
