package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestDelayOfAHelpersPartCosts guards against long prompts whose parts are read ahead of
// each other until the wave of prompts is over: delaying the part of a prompt on a server
// that only helps delays its first event too.
func TestDelayOfAHelpersPartCosts(t *testing.T) {
	g := NewWithT(t)
	var l ledger
	part := &workItem{key: requestKey{"h1", 1}, prefillTime: 2500 * time.Millisecond, weight: 20, targetLatency: 3 * time.Second, targetPieceGap: time.Second}
	l.add(part, 0)
	e := testEngine()
	costOf := func(now, prefill time.Duration) float64 {
		return l.addedLatenessCost(now, l.predictPause(e, now, 0, 0, 0), l.predictPause(e, now, prefill, 1, 5000))
	}
	g.Expect(costOf(0, time.Second)).To(BeNumerically(">", 1))
	l.completePrefill(part, 100*time.Millisecond)
	g.Expect(costOf(200*time.Millisecond, time.Second)).To(BeZero(), "the part has been read")
}

func TestSumsFollowTheWork(t *testing.T) {
	g := NewWithT(t)
	var l ledger
	l.add(&workItem{key: requestKey{"h1", 1}, isLeader: true, memoryTokens: 100, contextTokens: 70}, 0)
	l.add(&workItem{key: requestKey{"h1", 2}, memoryTokens: 30, contextTokens: 20}, 0)
	g.Expect(l.load()).To(Equal(loadSummary{leaders: 1, helperParts: 1, contextTokens: 70, memoryTokens: 130}))
	l.remove(requestKey{"h1", 1}, 0)
	g.Expect(l.load()).To(Equal(loadSummary{helperParts: 1, memoryTokens: 30}))
}

// TestIndexForgetsWhatEnds looks for entries of the index that outlive the work.
func TestIndexForgetsWhatEnds(t *testing.T) {
	g := NewWithT(t)
	sim := simulateMix(PolicyPredict, 5, 2.5, 9)
	for i, c := range sim.cores {
		g.Expect(c.work).To(BeEmpty(), "host %d", i)
	}
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 2})
	c.Step(0, reportFrom(WorkReport{Work: []ReportedWork{{RequestNumber: 3, Upstream: "llma1", Leader: true, TimeLeft: time.Second}}}))
	g.Expect(c.work).NotTo(BeEmpty())
	c.Step(time.Millisecond, UpstreamsChanged{})
	g.Expect(c.work).To(BeEmpty(), "the server is gone")
}
