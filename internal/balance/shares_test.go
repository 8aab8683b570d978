package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/route"
)

// promptOf returns a request of an archive's kind with a prompt of the given length.
func promptOf(tokens int) *request {
	return &request{Arrived: Arrived{Service: "llm", Route: archiveRoute, PromptTokens: tokens}, weight: requestWeight(tokens)}
}

// TestLengthThatFallsBehindMayDoMoreHarm guards against a limit of harm by which length
// alone decides who is refused.
func TestLengthThatFallsBehindMayDoMoreHarm(t *testing.T) {
	g := NewWithT(t)
	f := newFairness()
	for range 20 {
		r := promptOf(100000)
		f.recordRequest(r, 0)
		f.recordPlacement(r, 0)
	}
	long := promptOf(400000)
	g.Expect(f.harmLimit(long, 0)).To(Equal(postponeCost), "nothing is known of its length")
	f.recordRequest(long, 0)
	f.recordRequest(long, 0)
	first := f.harmLimit(long, 0)
	g.Expect(first).To(BeNumerically(">", postponeCost))
	for range 20 {
		f.recordRequest(promptOf(400000), 0)
	}
	g.Expect(f.harmLimit(long, 0)).To(And(BeNumerically(">", first), BeNumerically("<=", maxHarmFactor*postponeCost)))
	g.Expect(f.harmLimit(promptOf(100000), 0)).To(Equal(postponeCost))
	f.recordPlacement(long, 0)
	f.recordPlacement(long, 0)
	g.Expect(f.kinds).To(HaveLen(1))
	for _, shares := range f.kinds {
		g.Expect(shares.all.placed.at(0)).To(BeNumerically("~", 21, 0.001), "a request counts once")
	}
	g.Expect(f.harmLimit(long, 30*shareHalfLife)).To(BeNumerically("~", postponeCost, 0.01), "the past is forgotten")
}

// TestHarmOfAllLongPromptsIsBounded guards against long prompts that take all servers from
// short ones because their length has fallen behind.
func TestHarmOfAllLongPromptsIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFairness()
	short := promptOf(5000)
	for range 1000 {
		short.counted = false
		f.recordRequest(short, 0)
	}
	for range 20 {
		f.recordRequest(promptOf(400000), 0)
	}
	long, harm, now := promptOf(400000), 0.0, time.Duration(0)
	cost := 2 * postponeCost * long.weight
	for f.bears(long, cost, false, harmBudgetShare, now) {
		harm += cost
	}
	g.Expect(harm).To(And(BeNumerically(">", 0), BeNumerically("<=", harmBudgetShare*f.weight.at(now))))
	g.Expect(f.bears(long, postponeCost*long.weight, true, harmBudgetShare, now)).To(BeTrue(), "what others bear anyhow is not counted")
	for range 1000 {
		short.counted = false
		f.recordRequest(short, now)
	}
	g.Expect(f.bears(long, cost, false, harmBudgetShare, now)).To(BeTrue(), "more requests bear more")
}

// TestSharesOfManyKindsAreBounded guards against memory that grows with the kinds of
// requests that other hosts ask about.
func TestSharesOfManyKindsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFairness()
	ask := func(i int, now time.Duration) *request {
		r := promptOf(20000)
		r.Route = &route.Route{Kind: route.Stream, TargetLatency: time.Duration(i)}
		f.recordRequest(r, now)
		return r
	}
	for i := range 4 * maxRequestKinds {
		ask(i, 0)
	}
	g.Expect(len(f.kinds)).To(Equal(maxRequestKinds))
	g.Expect(f.harmLimit(ask(4*maxRequestKinds, 0), 0)).To(Equal(postponeCost))
	ask(5*maxRequestKinds, 20*shareHalfLife)
	g.Expect(len(f.kinds)).To(Equal(1))
}

// TestLongPromptDoesNotBreakOffStreams guards against prompts that stall the streams of a
// server until they are taken to be broken.
func TestLongPromptDoesNotBreakOffStreams(t *testing.T) {
	g := NewWithT(t)
	u := &upstream{}
	p := &plan{members: []*upstream{u}, partPrefillTime: maxStreamStall}
	g.Expect(p.stallsStreams(0)).To(BeFalse(), "there is no stream")
	u.add(&workItem{isLeader: true, decoding: true}, 0)
	g.Expect(p.stallsStreams(0)).To(BeTrue())
	p.partPrefillTime--
	g.Expect(p.stallsStreams(0)).To(BeFalse())
	f := newFairness()
	f.weight.add(10000, 0)
	for range 20 {
		f.recordRequest(promptOf(400000), 0)
	}
	long := promptOf(400000)
	cost := 2 * postponeCost * long.weight
	g.Expect(f.bears(long, cost, true, harmBudgetShare, 0)).To(BeFalse())
	g.Expect(f.bears(long, cost, false, harmBudgetShare, 0)).To(BeTrue())
}
