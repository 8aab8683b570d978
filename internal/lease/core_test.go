package lease

import (
	"testing"
	"time"
)

// candidate wraps a Core together with its simulated time and the effects of
// its last step.
type candidate struct {
	t *testing.T
	*Core
	now     time.Duration
	effects []Effect
}

// newCandidate returns a candidate with the default configuration.
func newCandidate(t *testing.T, instance string) *candidate {
	t.Helper()
	c, err := New(DefaultConfig("host", instance, 1))
	if err != nil {
		t.Fatal(err)
	}
	return &candidate{t: t, Core: c}
}

// step passes one event to the Core and records the effects.
func (c *candidate) step(e Event) []Effect {
	c.effects = c.Step(c.now, e)
	return c.effects
}

// nextWrite sends ticks until the candidate requests a write. It answers reads
// with the given object; version 0 stands for an absent object.
func (c *candidate) nextWrite(r Record, version uint64) Write {
	c.t.Helper()
	for range 1000 {
		if len(c.effects) == 0 {
			c.now += 100 * time.Millisecond
			c.step(Tick{})
			continue
		}
		switch f := c.effects[len(c.effects)-1].(type) {
		case Write:
			return f
		case Read:
			answer := ReadDone{Result: OK, Value: r.encode(), Version: version}
			if version == 0 {
				answer = ReadDone{Result: NotFound}
			}
			c.step(answer)
		default:
			c.effects = nil
		}
	}
	c.t.Fatal("the candidate requested no write")
	return Write{}
}

// parseWrite decodes the record that a write carries.
func (c *candidate) parseWrite(w Write) Record {
	c.t.Helper()
	r, err := ParseRecord(w.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// TestLeaseTimeStartsWhenWriteIsSent checks that a late answer to the write
// does not extend the lease.
func TestLeaseTimeStartsWhenWriteIsSent(t *testing.T) {
	c := newCandidate(t, "a")
	c.nextWrite(Record{}, 0)
	sent := c.now
	c.now += 4 * time.Second
	c.step(WriteDone{Result: OK, Version: 1})
	term, holds := c.Holding(c.now)
	if want := sent + 9*time.Second; !holds || term.Until != want || term.Fencing != 1 {
		t.Fatalf("lease held: %v until %v, fencing number %d, want until %v", holds, term.Until, term.Fencing, want)
	}
	if _, holds := c.Holding(term.Until); holds {
		t.Fatal("the lease is held at its end")
	}
}

// TestWriteWithLostAnswerIsConfirmedByRead checks that a candidate whose write
// took effect, but whose answer was lost, obtains the lease by reading the
// object.
func TestWriteWithLostAnswerIsConfirmedByRead(t *testing.T) {
	c := newCandidate(t, "a")
	w := c.nextWrite(Record{}, 0)
	sent := c.now
	c.now += 2 * time.Second
	c.step(WriteDone{Result: Unknown})
	for len(c.effects) == 0 {
		c.now += 100 * time.Millisecond
		c.step(Tick{})
	}
	c.step(ReadDone{Result: OK, Value: w.Value, Version: 1})
	if term, holds := c.Holding(c.now); !holds || term.Until != sent+9*time.Second {
		t.Fatalf("lease held: %v until %v", holds, term.Until)
	}
}

// TestReleasedLeaseIsTakenOverAtOnce checks that a candidate does not wait for
// the end of a released lease, and that the fencing number rises.
func TestReleasedLeaseIsTakenOverAtOnce(t *testing.T) {
	c := newCandidate(t, "b")
	c.step(Tick{})
	w := c.nextWrite(Record{Holder: "other", Instance: "a", Fencing: 7, DurationMillis: 10_000, Released: true}, 5)
	if r := c.parseWrite(w); r.Fencing != 8 || w.Base != 5 || c.now > time.Second {
		t.Fatalf("after %v: wrote %+v based on version %d", c.now, r, w.Base)
	}
}

// TestRaiseFencingExceedsNumberSeen covers an engine that has seen a higher
// fencing number than the lease object has, as after a restore of the store
// from an older copy.
func TestRaiseFencingExceedsNumberSeen(t *testing.T) {
	c := newCandidate(t, "a")
	c.nextWrite(Record{}, 0)
	c.step(WriteDone{Result: OK, Version: 1})
	c.step(RaiseFencing{Above: 40})
	w := c.nextWrite(Record{}, 0)
	if term, _ := c.Holding(c.now); term.Fencing != 1 {
		t.Fatalf("fencing number %d is in force before the write is confirmed", term.Fencing)
	}
	c.step(WriteDone{Result: OK, Version: 2})
	if term, holds := c.Holding(c.now); !holds || term.Fencing != 41 || c.parseWrite(w).Fencing != 41 {
		t.Fatalf("lease held: %v, fencing number %d", holds, term.Fencing)
	}
}

// TestReleaseWritesOnceAndFinishes checks that a release makes a single write
// and that the candidate then makes no more calls.
func TestReleaseWritesOnceAndFinishes(t *testing.T) {
	c := newCandidate(t, "a")
	c.nextWrite(Record{}, 0)
	c.step(WriteDone{Result: OK, Version: 1})
	c.step(Release{})
	if _, holds := c.Holding(c.now); holds {
		t.Fatal("the lease is held during its release")
	}
	if r := c.parseWrite(c.nextWrite(Record{}, 0)); !r.Released || r.Fencing != 1 {
		t.Fatalf("wrote %+v", r)
	}
	effects := c.step(WriteDone{Result: Unknown})
	if len(effects) != 1 || effects[0] != (Released{}) || c.step(Tick{}) != nil {
		t.Fatalf("effects after the write: %v", effects)
	}
}
