package shard_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

const second = time.Second

func testConfig() shard.Config {
	c := shard.DefaultConfig()
	c.Window = 5
	c.Pace = 0
	return c
}

func claimOf(n byte) shard.Claim {
	return shard.Claim{
		ID: shard.ID{n}, Token: shard.Token{Incarnation: 1, Attempt: uint64(n)}, Fingerprint: 7,
		Date: 100, Deadline: 110, Wall: 100, Expires: 10 * second,
	}
}

// pick returns the first effect of one type.
func pick[T shard.Effect](g Gomega, effects []shard.Effect) T {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found
		}
	}
	var none T
	g.Expect(effects).To(ContainElement(BeAssignableToTypeOf(none)))
	return none
}

// started returns a core that has read an absent object and is writing claim 1.
func started(g Gomega) (*shard.Core, shard.Write) {
	c := shard.New(testConfig())
	pick[shard.Read](g, c.Step(0, claimOf(1)))
	return c, pick[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
}

func TestGrantOnlyAfterTheWrite(t *testing.T) {
	g := NewWithT(t)
	c, w := started(g)
	g.Expect(w.Base).To(BeZero())
	g.Expect(c.Step(0, claimOf(2))).NotTo(ContainElement(BeAssignableToTypeOf(shard.Answer{})))
	effects := c.Step(0, shard.WriteDone{Result: shard.OK, Version: 9})
	g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
	next := pick[shard.Write](g, effects)
	g.Expect(next.Base).To(Equal(uint64(9)))
	table, err := shard.Decode(next.Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Len()).To(Equal(2), "a claim that came meanwhile rides on the next write")
}

func TestLostWriteIsReadBackAsOwn(t *testing.T) {
	g := NewWithT(t)
	c, w := started(g)
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	pick[shard.Read](g, c.Step(second, shard.Tick{}))
	effects := c.Step(second, shard.ReadDone{Result: shard.OK, Version: 3, Value: w.Value})
	g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
}

// TestLateWriteIsFenced refuses a claim whose write got lost and is not in the
// store. The write may still arrive, so the base must be written over.
func TestLateWriteIsFenced(t *testing.T) {
	g := NewWithT(t)
	c, w := started(g)
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	effects := c.Step(20*second, shard.Tick{})
	g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(shard.Refused))
	pick[shard.Read](g, effects)
	fence := pick[shard.Write](g, c.Step(20*second, shard.ReadDone{Result: shard.NotFound}))
	g.Expect(fence.Base).To(Equal(w.Base))
	effects = c.Step(20*second, shard.WriteDone{Result: shard.Conflict})
	pick[shard.Read](g, effects)
	removal := pick[shard.Write](g, c.Step(20*second, shard.ReadDone{Result: shard.OK, Version: 3, Value: w.Value}))
	table, err := shard.Decode(removal.Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Len()).To(BeZero(), "the late write's claim is given back")
	c.Step(20*second, shard.WriteDone{Result: shard.OK, Version: 4})
	g.Expect(c.Idle()).To(BeTrue())
}

func TestStoreDownRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	c, _ := started(g)
	effects := c.Step(0, shard.WriteDone{Result: shard.Unavailable})
	a := pick[shard.Answer](g, effects)
	g.Expect(a.Decision).To(Equal(shard.Refused))
	g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(pick[shard.Answer](g, c.Step(0, claimOf(2))).Decision).To(Equal(shard.Refused), "no call while it is known to be down")
	g.Expect(c.Idle()).To(BeTrue())
	pick[shard.Write](g, c.Step(second, claimOf(3)))
}

func TestRepeatsSeeTheRecord(t *testing.T) {
	g := NewWithT(t)
	c, _ := started(g)
	c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
	again := claimOf(1)
	again.Token = shard.Token{Incarnation: 2, Attempt: 1}
	held := c.Step(0, again)
	pick[shard.Read](g, held)
	_, w := started(g)
	answer := func(claim shard.Claim, value []byte) shard.Answer {
		other := shard.New(testConfig())
		other.Step(0, claim)
		return pick[shard.Answer](g, other.Step(0, shard.ReadDone{Result: shard.OK, Version: 1, Value: value}))
	}
	g.Expect(answer(again, w.Value).Decision).To(Equal(shard.InProgress))
	late := again
	late.Wall = 111
	g.Expect(answer(late, w.Value).Decision).To(Equal(shard.OutcomeUnknown))
	different := again
	different.Fingerprint++
	g.Expect(answer(different, w.Value).Decision).To(Equal(shard.Mismatch))
}

func TestOutcomeIsRecordedAndBounded(t *testing.T) {
	g := NewWithT(t)
	c, _ := started(g)
	c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
	long := shard.Outcome{Status: 200, Body: make([]byte, shard.MaxBodyBytes+1)}
	w := pick[shard.Write](g, c.Step(0, shard.Complete{ID: shard.ID{1}, Token: claimOf(1).Token, Outcome: long}))
	g.Expect(pick[shard.Recorded](g, c.Step(0, shard.WriteDone{Result: shard.OK, Version: 2})).Lost).To(BeFalse())
	table, err := shard.Decode(w.Value)
	g.Expect(err).NotTo(HaveOccurred())
	e, _ := table.Get(shard.ID{1})
	g.Expect(e.Done).To(BeTrue())
	g.Expect(e.Outcome).To(Equal(shard.Outcome{Status: 200, Truncated: true}))
	again := claimOf(1)
	again.Token.Attempt = 99
	g.Expect(pick[shard.Answer](g, c.Step(0, again)).Decision).To(Equal(shard.Done), "a recorded outcome needs no store call")
}

func TestRingOfWindows(t *testing.T) {
	g := NewWithT(t)
	for window, want := range map[uint64]shard.Decision{6: shard.TooOld, 5: shard.Granted, 4: shard.Granted} {
		value := shard.NewTable(window).Encode()
		c := shard.New(testConfig())
		c.Step(0, claimOf(1))
		effects := c.Step(0, shard.ReadDone{Result: shard.OK, Version: 8, Value: value})
		if want == shard.Granted {
			g.Expect(pick[shard.Write](g, effects).Base).To(Equal(uint64(8)))
			effects = c.Step(0, shard.WriteDone{Result: shard.OK, Version: 9})
		}
		g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(want))
	}
}

func TestUnreadableObjectIsNeverOverwritten(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	c.Step(0, claimOf(1))
	effects := c.Step(0, shard.ReadDone{Result: shard.OK, Version: 8, Value: []byte("junk")})
	g.Expect(pick[shard.Answer](g, effects).Decision).To(Equal(shard.Unreadable))
	pick[shard.Read](g, c.Step(0, claimOf(2)))
}

// TestFullShardStaysBelowItsLimit fills a shard and records the longest outcomes.
func TestFullShardStaysBelowItsLimit(t *testing.T) {
	g := NewWithT(t)
	config := testConfig()
	config.MaxBytes = 20000
	c := shard.New(config)
	version, granted, full := uint64(0), 0, 0
	settle := func(effects []shard.Effect) {
		for i := 0; i < len(effects); i++ {
			switch e := effects[i].(type) {
			case shard.Read:
				effects = append(effects, c.Step(0, shard.ReadDone{Result: shard.NotFound})...)
			case shard.Write:
				g.Expect(len(e.Value)).To(BeNumerically("<=", config.MaxBytes))
				version++
				effects = append(effects, c.Step(0, shard.WriteDone{Result: shard.OK, Version: version})...)
			case shard.Answer:
				if e.Decision == shard.Full {
					full++
					continue
				}
				granted++
				o := shard.Outcome{Status: 1 << 30, Code: string(make([]byte, 99)), Body: make([]byte, shard.MaxBodyBytes)}
				effects = append(effects, c.Step(0, shard.Complete{ID: shard.ID{byte(granted)}, Token: e.Token, Outcome: o})...)
			}
		}
	}
	for n := range byte(100) {
		settle(c.Step(0, claimOf(n+1)))
	}
	g.Expect(granted).To(BeNumerically(">", 20))
	g.Expect(full).To(Equal(100 - granted))
}
