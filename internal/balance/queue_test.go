package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReportsDoNotPlaceWaitingPromptsAnew has a long prompt wait while reports of other
// hosts come in. It guards against a host that spends all its time on a prompt that waits,
// and decides nothing for other callers.
func TestReportsDoNotPlaceWaitingPromptsAnew(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 90, ReportDelay: manyHostsReportDelay})
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	c.Step(0, newArrival(1, longPromptRoute, "llm", 150000, 0))
	g.Expect(c.Waiting()).To(Equal(1))
	before := c.placementsTried
	const reports, length = 750, time.Second
	for i := range reports {
		c.Step(time.Duration(i)*length/reports, reportFrom(WorkReport{Decoding: []uint64{uint64(i)}}))
	}
	g.Expect(c.placementsTried - before).To(BeNumerically("<=", length/TickInterval+1))
}

// TestWaitingRequestIsServedSoonAfterCapacityIsFree guards against requests that wait
// longer than a tick for servers that are free.
func TestWaitingRequestIsServedSoonAfterCapacityIsFree(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	for _, u := range c.upstreams {
		u.avoidUntil = 500 * time.Millisecond
	}
	c.Step(0, newArrival(1, shortRoute, "llm", 5000, 0))
	var sentAt time.Duration
	for now := TickInterval; now < time.Second && sentAt == 0; now += TickInterval {
		if firstSend(c.Step(now, Tick{})) != nil {
			sentAt = now
		}
	}
	g.Expect(sentAt).To(BeNumerically("<=", 500*time.Millisecond+TickInterval))
}

// TestAttemptThatReachesTheDeadlineIsATimeout guards against an answer that blames the
// server when the time that the caller or the route allows is over.
func TestAttemptThatReachesTheDeadlineIsATimeout(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	arrived := newArrival(1, unsafeRoute, "desk", 0, 0)
	arrived.Deadline = 400 * time.Millisecond
	s := firstSend(c.Step(0, arrived))
	failures := effectsOf[Fail](c.Step(arrived.Deadline, AttemptFailed{RequestNumber: 1, Attempt: s.Attempt, Class: FailureAnswerLost}))
	g.Expect(failures).To(HaveLen(1))
	g.Expect(failures[0].Code).To(Equal(CodeTimeLimit))
}

// TestNothingIsSentInTheLastMomentAfterAServersFailure has a server answer with a failure
// just before the deadline. Its own answer is the caller's.
func TestNothingIsSentInTheLastMomentAfterAServersFailure(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	arrived := newArrival(1, safeRoute, "desk", 0, 0)
	arrived.Deadline = 400 * time.Millisecond
	s := firstSend(c.Step(0, arrived))
	effects := c.Step(arrived.Deadline-minTimeLeft/2, AttemptFailed{RequestNumber: 1, Attempt: s.Attempt, Class: FailureUpstreamError})
	g.Expect(firstSend(effects)).To(BeNil())
	failures := effectsOf[Fail](effects)
	g.Expect(failures).To(HaveLen(1))
	g.Expect(failures[0].ForwardUpstreamError).To(BeTrue())
}
