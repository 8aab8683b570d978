package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) []T {
	var found []T
	for _, e := range effects {
		if typed, ok := e.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// newCoordinatedCore returns the core of a host whose data centre has the given
// coordinators.
func newCoordinatedCore(t *testing.T, coordinators ...string) *Core {
	t.Helper()
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 200, ReportDelay: manyHostsReportDelay, Coordinators: coordinators, CoordinatedDataCentres: 2})
	return c
}

// newQueryFrom returns the question of another host about a short prompt.
func newQueryFrom(number uint64, count int) PlacementQueried {
	return PlacementQueried{Host: "other", Query: PlacementQuery{
		Boot: 1, RequestNumber: number, Number: count, Service: "llm", Kind: shortRoute.Kind,
		TargetLatency: shortRoute.TargetLatency, TargetPieceGap: shortRoute.TargetPieceGap,
		PromptTokens: 5000, AnswerTokens: 500, TimeLeft: 10 * time.Second,
	}}
}

// reportFrom returns a report of another host.
func reportFrom(report WorkReport) ReportReceived {
	report.Boot = 1
	return ReportReceived{Host: "other", Report: report}
}

// workOn returns the number of work items that a core knows on all servers.
func workOn(c *Core) int {
	items := 0
	for _, u := range c.upstreams {
		items += len(u.items)
	}
	return items
}

func TestHostSendsToTheServersThatItsCoordinatorChose(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1", "k2")
	effects := c.Step(0, newArrival(7, shortRoute, "llm", 5000, 0))
	g.Expect(firstSend(effects)).To(BeNil())
	queries := effectsOf[QueryPlacement](effects)
	g.Expect(queries).To(HaveLen(1))
	g.Expect(queries[0].Host).To(Equal("k1"))
	g.Expect(queries[0].Query.PromptTokens).To(Equal(5000))
	s := firstSend(c.Step(5*time.Millisecond, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{
		RequestNumber: 7, Number: queries[0].Query.Number, Outcome: PlacementChosen, Members: []string{"llmb1"}, PredictedFirstPiece: 80 * time.Millisecond,
	}}))
	g.Expect(s).NotTo(BeNil())
	g.Expect(s.Members[0].Upstream).To(Equal("llmb1"))
	g.Expect(s.Choice.Coordinator).To(Equal("k1"))
}

// TestRequestOutlivesSilentCoordinators guards against requests that wait for a
// coordinator that has failed: the next one is asked, and then the host itself chooses.
func TestRequestOutlivesSilentCoordinators(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1", "k2")
	c.Step(0, newArrival(7, shortRoute, "llm", 5000, 0))
	var asked []string
	var sentAt time.Duration
	for now := TickInterval; now < time.Second && sentAt == 0; now += TickInterval {
		effects := c.Step(now, Tick{})
		for _, q := range effectsOf[QueryPlacement](effects) {
			asked = append(asked, q.Host)
		}
		if firstSend(effects) != nil {
			sentAt = now
		}
	}
	g.Expect(asked).To(Equal([]string{"k2"}))
	g.Expect(sentAt).To(BeNumerically(">", 0))
	g.Expect(sentAt).To(BeNumerically("<=", 2*answerTimeout+3*TickInterval))
	later := c.Step(sentAt+TickInterval, newArrival(8, shortRoute, "llm", 5000, sentAt+TickInterval))
	g.Expect(firstSend(later)).NotTo(BeNil(), "later requests do not wait for silent coordinators")
}

// TestAnswerFoundAfterAPauseIsNotUsed guards against a host that was paused and then acts
// on a choice that the coordinator no longer counts on.
func TestAnswerFoundAfterAPauseIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1")
	queries := effectsOf[QueryPlacement](c.Step(0, newArrival(7, shortRoute, "llm", 5000, 0)))
	answer := PlacementAnswered{Host: "k1", Answer: PlacementAnswer{
		RequestNumber: 7, Number: queries[0].Query.Number, Outcome: PlacementChosen, Members: []string{"llmb1"},
	}}
	const pause = 800 * time.Millisecond
	effects := c.Step(pause, answer)
	g.Expect(firstSend(effects)).To(BeNil())
	again := effectsOf[QueryPlacement](effects)
	g.Expect(again).To(HaveLen(1), "the request is asked about again")
	g.Expect(again[0].Query.Number).To(BeNumerically(">", queries[0].Query.Number))
	g.Expect(firstSend(c.Step(pause+time.Millisecond, answer))).To(BeNil(), "an answer to the earlier question")
}

func TestHostAsksAgainWhenTheChosenServerIsLeaving(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1")
	queries := effectsOf[QueryPlacement](c.Step(0, newArrival(7, shortRoute, "llm", 5000, 0)))
	c.Step(time.Millisecond, LeavingReported{Host: "h2", Upstream: "llmb1"})
	effects := c.Step(2*time.Millisecond, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{
		RequestNumber: 7, Number: queries[0].Query.Number, Outcome: PlacementChosen, Members: []string{"llmb1"},
	}})
	g.Expect(firstSend(effects)).To(BeNil())
	again := effectsOf[QueryPlacement](effects)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Query.Excluded).To(ContainElement("llmb1"))
}

func TestRefusalOfTheCoordinatorReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "k1")
	queries := effectsOf[QueryPlacement](c.Step(0, newArrival(7, shortRoute, "llm", 5000, 0)))
	refusals := effectsOf[Refuse](c.Step(time.Millisecond, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{
		RequestNumber: 7, Number: queries[0].Query.Number, Outcome: PlacementRefused, Code: CodeOverloaded, RetryAfter: 700 * time.Millisecond,
	}}))
	g.Expect(refusals).To(HaveLen(1))
	g.Expect(refusals[0].Code).To(Equal(CodeOverloaded))
	g.Expect(refusals[0].RetryAfter).To(Equal(700 * time.Millisecond))
}

func TestRepeatedQuestionGetsTheSameAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	first := effectsOf[AnswerPlacement](c.Step(0, newQueryFrom(3, 1)))
	second := effectsOf[AnswerPlacement](c.Step(50*time.Millisecond, newQueryFrom(3, 1)))
	g.Expect(first).To(HaveLen(1))
	g.Expect(first[0].Answer.Outcome).To(Equal(PlacementChosen))
	g.Expect(second).To(Equal(first))
	g.Expect(workOn(c)).To(Equal(1))
}

// TestUnusedChoiceIsForgotten guards against servers that look busy with requests that
// the asking host never sent.
func TestUnusedChoiceIsForgotten(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	c.Step(0, newQueryFrom(3, 1))
	c.Step(grantConfirmTime/2, reportFrom(WorkReport{Full: true}))
	g.Expect(workOn(c)).To(Equal(1), "the host may not have got the answer when it reported")
	c.Step(2*grantConfirmTime, reportFrom(WorkReport{Full: true}))
	g.Expect(workOn(c)).To(Equal(0))
}

func TestChoiceOfAHostThatFailedExpires(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	c.Step(0, newQueryFrom(3, 1))
	for now := TickInterval; now < 4*time.Second; now += TickInterval {
		c.Step(now, Tick{})
	}
	g.Expect(workOn(c)).To(Equal(0))
	g.Expect(c.asked).To(BeEmpty())
}

func TestWorkElsewhereReplacesTheChoice(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	chosen := effectsOf[AnswerPlacement](c.Step(0, newQueryFrom(3, 1)))[0].Answer.Members[0]
	elsewhere := "llmb2"
	if chosen == elsewhere {
		elsewhere = "llmb1"
	}
	c.Step(10*time.Millisecond, reportFrom(WorkReport{Work: []ReportedWork{{RequestNumber: 3, Upstream: elsewhere, Leader: true, TimeLeft: time.Second}}}))
	g.Expect(c.upstreams[chosen].items).To(BeEmpty())
	g.Expect(c.upstreams[elsewhere].items).To(HaveLen(1))
}

// TestEndOfAnEarlierAttemptKeepsTheNewChoice guards against the end of a failed attempt,
// reported after the question about the next one, that removes the choice for that one.
func TestEndOfAnEarlierAttemptKeepsTheNewChoice(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	failed := effectsOf[AnswerPlacement](c.Step(0, newQueryFrom(3, 1)))[0].Answer.Members[0]
	next := newQueryFrom(3, 2)
	next.Query.Tried = []string{failed}
	chosen := effectsOf[AnswerPlacement](c.Step(200*time.Millisecond, next))[0].Answer.Members[0]
	g.Expect(chosen).NotTo(Equal(failed))
	c.Step(210*time.Millisecond, reportFrom(WorkReport{Ended: []ReportedEnd{{RequestNumber: 3, Upstream: failed, Class: FailureNotConnected}}}))
	g.Expect(c.upstreams[chosen].items).To(HaveLen(1))
	g.Expect(workOn(c)).To(Equal(1))
}

// TestReportedRetryStaysKnown guards against the end of an attempt that hides the next
// one of the same request, which the same report names.
func TestReportedRetryStaysKnown(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 2, ReportDelay: 4 * time.Millisecond})
	c.Step(0, reportFrom(WorkReport{Work: []ReportedWork{{RequestNumber: 3, Upstream: "llma1", Leader: true, TimeLeft: time.Second}}}))
	c.Step(time.Millisecond, reportFrom(WorkReport{
		Work:  []ReportedWork{{RequestNumber: 3, Upstream: "llma2", Leader: true, TimeLeft: time.Second}},
		Ended: []ReportedEnd{{RequestNumber: 3, Upstream: "llma1", Class: FailureNotConnected}},
	}))
	g.Expect(c.upstreams["llma1"].items).To(BeEmpty())
	g.Expect(c.upstreams["llma2"].items).To(HaveLen(1))
}

// TestCallerThatLeavesWithdrawsItsQuestion has a caller leave whose request waits at the
// coordinator.
func TestCallerThatLeavesWithdrawsItsQuestion(t *testing.T) {
	g := NewWithT(t)
	host := newCoordinatedCore(t, "k1")
	queries := effectsOf[QueryPlacement](host.Step(0, newArrival(3, shortRoute, "llm", 5000, 0)))
	host.Step(time.Millisecond, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{RequestNumber: 3, Number: queries[0].Query.Number, Outcome: PlacementQueued}})
	host.Step(2*time.Millisecond, CallerGone{RequestNumber: 3})
	var ended []ReportedEnd
	for _, broadcast := range effectsOf[BroadcastReport](host.Step(TickInterval, Tick{})) {
		ended = append(ended, broadcast.Report.Ended...)
	}
	g.Expect(ended).To(HaveLen(1))

	c := newCoordinatedCore(t, "h")
	for _, u := range c.upstreams {
		u.avoidUntil = time.Minute
	}
	g.Expect(effectsOf[AnswerPlacement](c.Step(0, newQueryFrom(3, 1)))[0].Answer.Outcome).To(Equal(PlacementQueued))
	c.Step(time.Millisecond, reportFrom(WorkReport{Ended: ended}))
	g.Expect(c.Waiting()).To(Equal(0))
	g.Expect(c.asked).To(BeEmpty())
}

func TestQueuedRequestIsGrantedOnceAServerIsFree(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	for _, u := range c.upstreams {
		u.avoidUntil = 100 * time.Millisecond
	}
	g.Expect(effectsOf[AnswerPlacement](c.Step(0, newQueryFrom(3, 1)))[0].Answer.Outcome).To(Equal(PlacementQueued))
	var answers []AnswerPlacement
	for now := TickInterval; now <= 200*time.Millisecond; now += TickInterval {
		answers = append(answers, effectsOf[AnswerPlacement](c.Step(now, Tick{}))...)
	}
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Answer.Outcome).To(Equal(PlacementChosen))
}

// TestCoordinatorWithoutServersDeclines has a coordinator that knows no server of the
// service, which the asking host may know.
func TestCoordinatorWithoutServersDeclines(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	query := newQueryFrom(3, 1)
	query.Query.Service = "unknown"
	g.Expect(effectsOf[AnswerPlacement](c.Step(0, query))[0].Answer.Outcome).To(Equal(PlacementDeclined))

	host := newCoordinatedCore(t, "k1")
	queries := effectsOf[QueryPlacement](host.Step(0, newArrival(7, shortRoute, "llm", 5000, 0)))
	effects := host.Step(time.Millisecond, PlacementAnswered{Host: "k1", Answer: PlacementAnswer{RequestNumber: 7, Number: queries[0].Query.Number, Outcome: PlacementDeclined}})
	g.Expect(firstSend(effects)).NotTo(BeNil(), "the host chooses itself")
}

func TestCoordinatorSparesServersThatTheHostExcludes(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinatedCore(t, "h")
	query := newQueryFrom(3, 1)
	query.Query.Excluded, query.Query.CutOff = []string{"llma1"}, []string{"b"}
	answer := effectsOf[AnswerPlacement](c.Step(0, query))[0].Answer
	g.Expect(answer.Members).To(Equal([]string{"llma2"}))
}

func TestInvalidQueriesAndAnswersAreRejected(t *testing.T) {
	g := NewWithT(t)
	valid := newQueryFrom(3, 1).Query
	g.Expect(valid.Check()).To(Succeed())
	negative, long := valid, valid
	negative.PromptTokens = -1
	g.Expect(negative.Check()).To(MatchError(ContainSubstring("PromptTokens is -1")))
	long.Excluded = make([]string, maxNamedInQuery+1)
	g.Expect(long.Check()).To(MatchError(ContainSubstring("at most")))
	g.Expect((&PlacementAnswer{Members: make([]string, maxHelpers+2)}).Check()).To(MatchError(ContainSubstring("servers")))
	g.Expect((&PlacementAnswer{PartPrefillTime: -1}).Check()).To(MatchError(ContainSubstring("negative")))
}

// TestHostsAliveCountAsHeardOf has a host of a large fleet hear of another one only
// through its coordinator, and pass a request on to it.
func TestHostsAliveCountAsHeardOf(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(t)
	c.Step(0, PeersChanged{OtherHosts: 200, Coordinators: []string{"k1"}, CoordinatedDataCentres: 2, Forwarders: []Forwarder{{Host: "h2", DataCentre: "a", Address: "x", Weight: 1}}})
	g.Expect(c.CanForward(0)).To(BeFalse())
	c.Step(time.Second, HostsAlive{Hosts: []string{"h", "h2"}})
	g.Expect(c.CanForward(time.Second)).To(BeTrue())
	g.Expect(c.CanForward(time.Second + 2*maxPeerSilence)).To(BeFalse())
}
