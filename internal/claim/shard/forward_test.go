package shard_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// TestMissingEntryIsReadAgainBeforeGiveBackOrComplete sends GiveBack and
// Complete for claims that the core doesn't have in its view of the object.
// Another host's core may have stored them since the last read, so the core must
// read the object again before it reports a result.
func TestMissingEntryIsReadAgainBeforeGiveBackOrComplete(t *testing.T) {
	for _, e := range []shard.Event{
		shard.GiveBack{ID: shard.ID{1}, Token: shard.Token{Incarnation: 2}},
		shard.Complete{ID: shard.ID{1}, Token: shard.Token{Incarnation: 2}},
		shard.GiveBack{ID: shard.ID{2}, Token: shard.Token{Incarnation: 2}},
		shard.Complete{ID: shard.ID{2}, Token: shard.Token{Incarnation: 2}},
	} {
		g := NewWithT(t)
		c, _ := newCoreWritingFirstClaim(g)
		c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
		effects := c.Step(0, e)
		firstOfType[shard.Read](g, effects)
		g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(shard.RecordResult{})))
	}
}

// TestRefusedForwardedClaimIsNotGivenBack refuses a claim that another host
// forwarded and whose write has an unknown result. That host may have been
// granted the claim in another way, so it gives the claim back itself.
func TestRefusedForwardedClaimIsNotGivenBack(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	claim := newClaim(1)
	claim.Forwarded = true
	c.Step(0, claim)
	firstOfType[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	refused := firstOfType[shard.Answer](g, c.Step(20*second, shard.Tick{}))
	g.Expect(refused.Decision).To(Equal(shard.Refused))
	g.Expect(refused.NotStored).To(BeFalse())
	g.Expect(c.Waiting()).To(BeZero())
}

// TestGrantStaysWhenDuplicateClaimTimesOut delivers a forwarded claim twice. The
// second copy times out while the write is in flight; the claim that was granted
// to the first copy must not be given back.
func TestGrantStaysWhenDuplicateClaimTimesOut(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	first, second := newClaim(1), newClaim(1)
	first.Forwarded, second.Forwarded = true, true
	second.WaitUntil = 1
	c.Step(0, first)
	c.Step(0, second)
	firstOfType[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
	c.Step(1, shard.Tick{})
	effects := c.Step(1, shard.WriteDone{Result: shard.OK, Version: 1})
	g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(shard.Write{})))
	g.Expect(c.Idle()).To(BeTrue())
}
