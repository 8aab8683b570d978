package shard_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// TestReturnIsNotSettledFromAnOldView has another host's core take and free
// the key since this core last saw the object.
func TestReturnIsNotSettledFromAnOldView(t *testing.T) {
	for _, e := range []shard.Event{
		shard.GiveBack{ID: shard.ID{1}, Token: shard.Token{Incarnation: 2}},
		shard.Complete{ID: shard.ID{1}, Token: shard.Token{Incarnation: 2}},
		shard.GiveBack{ID: shard.ID{2}, Token: shard.Token{Incarnation: 2}},
		shard.Complete{ID: shard.ID{2}, Token: shard.Token{Incarnation: 2}},
	} {
		g := NewWithT(t)
		c, _ := started(g)
		c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
		effects := c.Step(0, e)
		pick[shard.Read](g, effects)
		g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(shard.Recorded{})))
	}
}

// TestForwardedClaimIsNotGivenBack refuses another host's claim whose write got
// lost. That host may hold the grant from elsewhere, so it gives it back itself.
func TestForwardedClaimIsNotGivenBack(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	claim := claimOf(1)
	claim.Forwarded = true
	c.Step(0, claim)
	pick[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	refused := pick[shard.Answer](g, c.Step(20*second, shard.Tick{}))
	g.Expect(refused.Decision).To(Equal(shard.Refused))
	g.Expect(refused.NotStored).To(BeFalse())
	g.Expect(c.Waiting()).To(BeZero())
}

// TestClaimDeliveredTwice has the second copy expire while the write is in
// flight: the grant to the first must stay.
func TestClaimDeliveredTwice(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	first, second := claimOf(1), claimOf(1)
	first.Forwarded, second.Forwarded = true, true
	second.Expires = 1
	c.Step(0, first)
	c.Step(0, second)
	pick[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
	c.Step(1, shard.Tick{})
	effects := c.Step(1, shard.WriteDone{Result: shard.OK, Version: 1})
	g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(shard.Write{})))
	g.Expect(c.Idle()).To(BeTrue())
}
