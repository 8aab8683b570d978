package lease

import (
	"testing"
	"time"
)

// candidate is a Core with the calls that it has made.
type candidate struct {
	t *testing.T
	*Core
	now     time.Duration
	effects []Effect
}

func newCandidate(t *testing.T, instance string) *candidate {
	t.Helper()
	c, err := New(DefaultConfig("host", instance, 1))
	if err != nil {
		t.Fatal(err)
	}
	return &candidate{t: t, Core: c}
}

// step gives one event and keeps the effects.
func (c *candidate) step(e Event) []Effect {
	c.effects = c.Step(c.now, e)
	return c.effects
}

// write ticks until the candidate writes, answering reads by the object given.
func (c *candidate) write(r Record, version uint64) Write {
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
	c.t.Fatal("no write")
	return Write{}
}

func (c *candidate) content(w Write) Record {
	c.t.Helper()
	r, err := ParseRecord(w.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return r
}

// TestLeaseCountsFromBeforeTheWrite gives the answer late.
func TestLeaseCountsFromBeforeTheWrite(t *testing.T) {
	c := newCandidate(t, "a")
	c.write(Record{}, 0)
	sent := c.now
	c.now += 4 * time.Second
	c.step(WriteDone{Result: OK, Version: 1})
	term, holds := c.Holding(c.now)
	if want := sent + 9*time.Second; !holds || term.Until != want || term.Fencing != 1 {
		t.Fatalf("holds %v until %v under %d, want until %v", holds, term.Until, term.Fencing, want)
	}
	if _, holds := c.Holding(term.Until); holds {
		t.Fatal("the lease is held at its end")
	}
}

// TestLostAnswerIsReadBack loses the answer to a write that took effect.
func TestLostAnswerIsReadBack(t *testing.T) {
	c := newCandidate(t, "a")
	w := c.write(Record{}, 0)
	sent := c.now
	c.now += 2 * time.Second
	c.step(WriteDone{Result: Unknown})
	for len(c.effects) == 0 {
		c.now += 100 * time.Millisecond
		c.step(Tick{})
	}
	c.step(ReadDone{Result: OK, Value: w.Value, Version: 1})
	if term, holds := c.Holding(c.now); !holds || term.Until != sent+9*time.Second {
		t.Fatalf("holds %v until %v", holds, term.Until)
	}
}

// TestReleasedLeaseIsTakenAtOnce and the number rises.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	c := newCandidate(t, "b")
	c.step(Tick{})
	w := c.write(Record{Holder: "other", Instance: "a", Fencing: 7, DurationMillis: 10_000, Released: true}, 5)
	if r := c.content(w); r.Fencing != 8 || w.Base != 5 || c.now > time.Second {
		t.Fatalf("after %v: %+v on %d", c.now, r, w.Base)
	}
}

// TestRaiseTakesANumberAboveTheOneSeen as after a store restored from a copy.
func TestRaiseTakesANumberAboveTheOneSeen(t *testing.T) {
	c := newCandidate(t, "a")
	c.write(Record{}, 0)
	c.step(WriteDone{Result: OK, Version: 1})
	c.step(RaiseFencing{Above: 40})
	w := c.write(Record{}, 0)
	if term, _ := c.Holding(c.now); term.Fencing != 1 {
		t.Fatalf("acts under %d before the write is confirmed", term.Fencing)
	}
	c.step(WriteDone{Result: OK, Version: 2})
	if term, holds := c.Holding(c.now); !holds || term.Fencing != 41 || c.content(w).Fencing != 41 {
		t.Fatalf("holds %v under %d", holds, term.Fencing)
	}
}

// TestReleaseWritesOnce and ends.
func TestReleaseWritesOnce(t *testing.T) {
	c := newCandidate(t, "a")
	c.write(Record{}, 0)
	c.step(WriteDone{Result: OK, Version: 1})
	c.step(Release{})
	if _, holds := c.Holding(c.now); holds {
		t.Fatal("holds the lease while giving it up")
	}
	if r := c.content(c.write(Record{}, 0)); !r.Released || r.Fencing != 1 {
		t.Fatalf("wrote %+v", r)
	}
	effects := c.step(WriteDone{Result: Unknown})
	if len(effects) != 1 || effects[0] != (Released{}) || c.step(Tick{}) != nil {
		t.Fatalf("after the write: %v", effects)
	}
}
