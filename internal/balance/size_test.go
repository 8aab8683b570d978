package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/route"
)

// Sizes above those of the users' aim.
const (
	manyHosts   = 600
	manyServers = 6000
)

// newHugeCore returns a coordinator that knows manyServers servers in ten data centres.
func newHugeCore(t *testing.T) *Core {
	t.Helper()
	c := newTestCore(t)
	c.Step(0, ServicesChanged{Services: []*route.Service{{Name: "llm", Engine: testEngine()}}})
	list := make([]Upstream, manyServers)
	for i := range list {
		id := fmt.Sprintf("i-%d", i)
		list[i] = Upstream{ID: id, Service: "llm", Address: id, DataCentre: fmt.Sprint("dc", i%10), Slots: 16}
	}
	c.config.DataCentre = "dc3"
	c.Step(0, UpstreamsChanged{Upstreams: list})
	c.Step(0, PeersChanged{OtherHosts: manyHosts - 1, Coordinators: []string{"h"}, CoordinatedDataCentres: 10})
	return c
}

// TestChoiceAmongThousandsOfServersIsBounded guards against choices whose time grows with
// the number of servers.
func TestChoiceAmongThousandsOfServersIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newHugeCore(t)
	r := &request{Arrived: newArrival(1, longPromptRoute, "llm", 200000, 0), tried: map[string]bool{}}
	candidates := c.candidates(r, 0)
	g.Expect(candidates).To(HaveLen(maxCandidates))
	near := 0
	for _, u := range c.limitCandidates(c.servicePools["llm"].upstreams) {
		if u.DataCentre == c.config.DataCentre {
			near++
		}
	}
	g.Expect(near).To(Equal(maxCandidates), "servers of the own data centre come first")
	g.Expect(firstSend(c.Step(0, newArrival(1, longPromptRoute, "llm", 200000, 0)))).NotTo(BeNil())
}

// TestThousandsOfHostsAndQuestionsLeaveNothingBehind has every host of a huge fleet ask,
// report and leave.
func TestThousandsOfHostsAndQuestionsLeaveNothingBehind(t *testing.T) {
	g := NewWithT(t)
	c := newHugeCore(t)
	for i := range manyHosts {
		q := newQueryFrom(1, 1)
		q.Host = fmt.Sprint("host", i)
		answers := effectsOf[AnswerPlacement](c.Step(time.Duration(i)*time.Millisecond, q))
		g.Expect(answers).To(HaveLen(1))
		c.Step(time.Duration(i)*time.Millisecond, ReportReceived{Host: q.Host, Report: WorkReport{Boot: 1, Ended: []ReportedEnd{{RequestNumber: 1}}}})
	}
	c.Step(manyHosts*time.Millisecond+answerMemory, Tick{})
	g.Expect(c.asked).To(BeEmpty())
	g.Expect(c.work).To(BeEmpty())
	g.Expect(workOn(c)).To(Equal(0))
}
