package balance

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// probesOf returns the upstreams that effects ask to probe.
func probesOf(effects []Effect) []string {
	var probed []string
	for _, e := range effects {
		if p, ok := e.(ProbeConnection); ok {
			probed = append(probed, p.Upstream)
		}
	}
	return probed
}

// cutOff makes all connections of a host fail, those of its probes too, and returns
// how many probes that took.
func cutOff(c *Core, now time.Duration) int {
	c.effects = nil
	first := slices.Sorted(maps.Keys(c.upstreams))[0]
	c.recordOutcome(c.upstreams[first], FailureNotConnected, now, now)
	due, probed := probesOf(c.effects), 0
	for len(due) > 0 && probed < 100 {
		probed++
		due = append(due[1:], probesOf(c.Step(now, ConnectionProbed{Upstream: due[0]}))...)
	}
	return probed
}

// TestConnectionsOfOtherHostsSayNothingAboutOwnPaths guards against hosts that avoid
// sound servers, or go back to servers that they can't reach, on the word of hosts
// with other paths.
func TestConnectionsOfOtherHostsSayNothingAboutOwnPaths(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	report := WorkReport{Boot: 1}
	for n, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		report.Ended = append(report.Ended, ReportedEnd{RequestNumber: uint64(n), Upstream: id, Class: FailureNotConnected})
	}
	for i := range 20 {
		c.Step(time.Duration(i)*100*time.Millisecond, ReportReceived{Host: "cut-off", Report: report})
	}
	now := 2 * time.Second
	g.Expect(c.Isolated(now)).To(BeFalse())
	g.Expect(firstSend(c.Step(now, newArrival(1, shortRoute, "llm", 5000, now)))).NotTo(BeNil())

	c = newTestCore(t)
	cutOff(c, now)
	for i := range report.Ended {
		report.Ended[i].Class = ""
	}
	c.Step(now, ReportReceived{Host: "connected", Report: report})
	g.Expect(c.Isolated(now + time.Minute)).To(BeTrue())
}

// TestLossOfAllPathsIsNoticedAfterOneRequest guards against a host that lets request
// after request try the servers that it can't reach.
func TestLossOfAllPathsIsNoticedAfterOneRequest(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	g.Expect(cutOff(c, time.Second)).To(BeNumerically("<=", 6), "probes")
	g.Expect(c.Isolated(time.Second)).To(BeTrue())
	g.Expect(c.Isolated(time.Hour)).To(BeTrue(), "until a connection succeeds")
}

func TestOneCrashedServerDoesNotCutOffItsDataCentre(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.effects = nil
	c.recordOutcome(c.upstreams["llma1"], FailureNotConnected, time.Second, time.Second)
	probed := probesOf(c.effects)
	g.Expect(probed).To(HaveLen(1))
	g.Expect(probed).NotTo(ContainElement("llma1"))
	c.Step(time.Second, ConnectionProbed{Upstream: probed[0], Connected: true})
	g.Expect(c.path("a").cut).To(BeFalse())
	c.recordOutcome(c.upstreams["llma1"], FailureNotConnected, 2*time.Second, 2*time.Second)
	g.Expect(c.path("a").cut).To(BeFalse())
}

// TestOpenConnectionsAreNoEvidenceOfAPath guards against a host that goes back to its
// servers since streams end on connections from before the cut.
func TestOpenConnectionsAreNoEvidenceOfAPath(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	sent := firstSend(c.Step(0, newArrival(1, shortRoute, "llm", 5000, 0)))
	cutOff(c, time.Second)
	c.Step(2*time.Second, FirstPiece{RequestNumber: 1, Attempt: 1})
	c.Step(2*time.Second, Finished{RequestNumber: 1, Attempt: 1, Success: true})
	g.Expect(c.path(c.upstreams[sent.Members[0].Upstream].DataCentre).cut).To(BeTrue())
}

func TestCutOffHostFindsItsPathsBackByProbes(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	cutOff(c, time.Second)
	probes := 0
	for now := time.Second; now < 11*time.Second; now += TickInterval {
		probes += len(probesOf(c.Step(now, Tick{})))
	}
	g.Expect(probes).To(BeNumerically("~", 24, 6), "about one a second for each data centre")
	now := 11 * time.Second
	c.Step(now, ConnectionProbed{Upstream: "deska1", Connected: true})
	g.Expect(c.Isolated(now)).To(BeFalse())
	sent := firstSend(c.Step(now+5*time.Second, newArrival(1, shortRoute, "llm", 5000, now+5*time.Second)))
	g.Expect(sent).NotTo(BeNil())
	g.Expect(sent.Members[0].Upstream).To(HavePrefix("llma"), "the other data centre is still out of reach")
}
