package shard_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

const second = time.Second

// testConfig returns the configuration of an object of window 5 without a pace
// between writes.
func testConfig() shard.Config {
	c := shard.DefaultConfig()
	c.Window = 5
	c.Pace = 0
	return c
}

// newClaim returns a claim of key n by attempt n that waits for 10 s.
func newClaim(n byte) shard.Claim {
	return shard.Claim{
		ID: shard.ID{n}, Token: shard.Token{Incarnation: 1, Attempt: uint64(n)}, Fingerprint: 7,
		Date: 100, Deadline: 110, WallTime: 100, WaitUntil: 10 * second,
	}
}

// firstOfType returns the first effect of type T and fails the test if there is
// none.
func firstOfType[T shard.Effect](g Gomega, effects []shard.Effect) T {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found
		}
	}
	var none T
	g.Expect(effects).To(ContainElement(BeAssignableToTypeOf(none)))
	return none
}

// newCoreWritingFirstClaim returns a core that has found no object in the store
// and whose write of claim 1 is in flight.
func newCoreWritingFirstClaim(g Gomega) (*shard.Core, shard.Write) {
	c := shard.New(testConfig())
	firstOfType[shard.Read](g, c.Step(0, newClaim(1)))
	return c, firstOfType[shard.Write](g, c.Step(0, shard.ReadDone{Result: shard.NotFound}))
}

// TestClaimIsGrantedOnlyAfterItsWrite checks that a claim is answered when its
// write has taken effect, and that the next write carries the claims that
// arrived during it.
func TestClaimIsGrantedOnlyAfterItsWrite(t *testing.T) {
	g := NewWithT(t)
	c, w := newCoreWritingFirstClaim(g)
	g.Expect(w.BaseVersion).To(BeZero())
	g.Expect(c.Step(0, newClaim(2))).NotTo(ContainElement(BeAssignableToTypeOf(shard.Answer{})))
	effects := c.Step(0, shard.WriteDone{Result: shard.OK, Version: 9})
	g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
	next := firstOfType[shard.Write](g, effects)
	g.Expect(next.BaseVersion).To(Equal(uint64(9)))
	table, err := shard.Decode(next.Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Len()).To(Equal(2), "a claim that arrived during a write must be carried by the next write")
}

func TestClaimIsGrantedWhenItsUnknownWriteIsFoundInTheStore(t *testing.T) {
	g := NewWithT(t)
	c, w := newCoreWritingFirstClaim(g)
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	firstOfType[shard.Read](g, c.Step(second, shard.Tick{}))
	effects := c.Step(second, shard.ReadDone{Result: shard.OK, Version: 3, Value: w.Value})
	g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(shard.Granted))
}

// TestRefusedClaimIsGivenBackWhenItsLateWriteTakesEffect refuses a claim whose
// write has an unknown result and is not found in the store. The write may still
// arrive later, so the core must write on the same base version. Here the late
// write arrives first, and its claim must be given back.
func TestRefusedClaimIsGivenBackWhenItsLateWriteTakesEffect(t *testing.T) {
	g := NewWithT(t)
	c, w := newCoreWritingFirstClaim(g)
	c.Step(0, shard.WriteDone{Result: shard.Unknown})
	effects := c.Step(20*second, shard.Tick{})
	g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(shard.Refused))
	firstOfType[shard.Read](g, effects)
	fence := firstOfType[shard.Write](g, c.Step(20*second, shard.ReadDone{Result: shard.NotFound}))
	g.Expect(fence.BaseVersion).To(Equal(w.BaseVersion))
	effects = c.Step(20*second, shard.WriteDone{Result: shard.Conflict})
	firstOfType[shard.Read](g, effects)
	removal := firstOfType[shard.Write](g, c.Step(20*second, shard.ReadDone{Result: shard.OK, Version: 3, Value: w.Value}))
	table, err := shard.Decode(removal.Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Len()).To(BeZero(), "the claim of the late write must be given back")
	c.Step(20*second, shard.WriteDone{Result: shard.OK, Version: 4})
	g.Expect(c.Idle()).To(BeTrue())
}

// TestClaimsAreRefusedAtOnceWhileStoreIsUnavailable lets a write find the store
// unavailable. Claims must then be refused without a store call until the wait
// before the next call is over.
func TestClaimsAreRefusedAtOnceWhileStoreIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	c, _ := newCoreWritingFirstClaim(g)
	effects := c.Step(0, shard.WriteDone{Result: shard.Unavailable})
	a := firstOfType[shard.Answer](g, effects)
	g.Expect(a.Decision).To(Equal(shard.Refused))
	g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(firstOfType[shard.Answer](g, c.Step(0, newClaim(2))).Decision).To(Equal(shard.Refused), "no store call may start while the store is known to be unavailable")
	g.Expect(c.Idle()).To(BeTrue())
	firstOfType[shard.Write](g, c.Step(second, newClaim(3)))
}

func TestRepeatedClaimIsAnsweredFromTheStoredEntry(t *testing.T) {
	g := NewWithT(t)
	c, _ := newCoreWritingFirstClaim(g)
	c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
	repeated := newClaim(1)
	repeated.Token = shard.Token{Incarnation: 2, Attempt: 1}
	effects := c.Step(0, repeated)
	firstOfType[shard.Read](g, effects)
	_, w := newCoreWritingFirstClaim(g)
	answer := func(claim shard.Claim, value []byte) shard.Answer {
		other := shard.New(testConfig())
		other.Step(0, claim)
		return firstOfType[shard.Answer](g, other.Step(0, shard.ReadDone{Result: shard.OK, Version: 1, Value: value}))
	}
	g.Expect(answer(repeated, w.Value).Decision).To(Equal(shard.InProgress))
	afterDeadline := repeated
	afterDeadline.WallTime = 111
	g.Expect(answer(afterDeadline, w.Value).Decision).To(Equal(shard.OutcomeUnknown))
	different := repeated
	different.Fingerprint++
	g.Expect(answer(different, w.Value).Decision).To(Equal(shard.Mismatch))
}

// TestOutcomeIsRecordedWithoutOverlongBody checks that an outcome whose body
// exceeds MaxBodyBytes is recorded without the body and marked as truncated.
func TestOutcomeIsRecordedWithoutOverlongBody(t *testing.T) {
	g := NewWithT(t)
	c, _ := newCoreWritingFirstClaim(g)
	c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
	overlong := shard.Outcome{Status: 200, Body: make([]byte, shard.MaxBodyBytes+1)}
	w := firstOfType[shard.Write](g, c.Step(0, shard.Complete{ID: shard.ID{1}, Token: newClaim(1).Token, Outcome: overlong}))
	g.Expect(firstOfType[shard.RecordResult](g, c.Step(0, shard.WriteDone{Result: shard.OK, Version: 2})).NotRecorded).To(BeFalse())
	table, err := shard.Decode(w.Value)
	g.Expect(err).NotTo(HaveOccurred())
	e, _ := table.Get(shard.ID{1})
	g.Expect(e.Done).To(BeTrue())
	g.Expect(e.Outcome).To(Equal(shard.Outcome{Status: 200, Truncated: true}))
	repeated := newClaim(1)
	repeated.Token.Attempt = 99
	g.Expect(firstOfType[shard.Answer](g, c.Step(0, repeated)).Decision).To(Equal(shard.Done), "a recorded outcome must be answered without a store call")
}

// TestObjectOfAnotherWindowIsReusedOrRefused checks a core of window 5: it must
// reuse the object of an earlier window, and refuse claims on that of a later
// one.
func TestObjectOfAnotherWindowIsReusedOrRefused(t *testing.T) {
	g := NewWithT(t)
	for window, want := range map[uint64]shard.Decision{6: shard.TooOld, 5: shard.Granted, 4: shard.Granted} {
		value := shard.NewTable(window).Encode()
		c := shard.New(testConfig())
		c.Step(0, newClaim(1))
		effects := c.Step(0, shard.ReadDone{Result: shard.OK, Version: 8, Value: value})
		if want == shard.Granted {
			g.Expect(firstOfType[shard.Write](g, effects).BaseVersion).To(Equal(uint64(8)))
			effects = c.Step(0, shard.WriteDone{Result: shard.OK, Version: 9})
		}
		g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(want))
	}
}

// TestUnreadableObjectIsNeverOverwritten checks that a claim on an object that
// cannot be decoded causes no write, and that the next claim reads the object
// again.
func TestUnreadableObjectIsNeverOverwritten(t *testing.T) {
	g := NewWithT(t)
	c := shard.New(testConfig())
	c.Step(0, newClaim(1))
	effects := c.Step(0, shard.ReadDone{Result: shard.OK, Version: 8, Value: []byte("junk")})
	g.Expect(firstOfType[shard.Answer](g, effects).Decision).To(Equal(shard.Unreadable))
	firstOfType[shard.Read](g, c.Step(0, newClaim(2)))
}

// TestFullTableStaysWithinMaxBytes claims 100 keys in an object that has no
// space for all of them and records the longest possible outcomes: no write may
// exceed MaxBytes, and the remaining claims are answered with Full.
func TestFullTableStaysWithinMaxBytes(t *testing.T) {
	g := NewWithT(t)
	config := testConfig()
	config.MaxBytes = 20000
	c := shard.New(config)
	version, granted, full := uint64(0), 0, 0
	performEffects := func(effects []shard.Effect) {
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
		performEffects(c.Step(0, newClaim(n+1)))
	}
	g.Expect(granted).To(BeNumerically(">", 20))
	g.Expect(full).To(Equal(100 - granted))
}
