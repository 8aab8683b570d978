package lease

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxUnresolvedWrites bounds the number of writes with an unknown outcome
	// that are remembered. If a forgotten one took effect after all, its record
	// is treated as another holder's.
	maxUnresolvedWrites = 16
	// maxBackoffFactor bounds the factor by which consecutive failed calls
	// lengthen the wait.
	maxBackoffFactor = 8
	// jitterShare is the largest deviation of a random wait from its mean, as a
	// share of the mean.
	jitterShare = 0.5
)

// Core is the state of one candidate for the lease. It is not safe for
// concurrent use.
type Core struct {
	cfg        Config
	random     *rand.Rand
	effects    []Effect
	candidates int

	// callInFlight reports that a call to the object API is not answered yet.
	callInFlight bool
	// nextCallAt is the time at which the next call is due; nextCallIsRead
	// reports that it is a read.
	nextCallAt     time.Duration
	nextCallIsRead bool
	// failedCalls is the number of consecutive failed calls.
	failedCalls int

	// objectKnown reports that the lease object was read or written. record and
	// version are its last known content and version, and versionSeenAt is when
	// this candidate first saw that version. Version 0 stands for an absent
	// object.
	objectKnown   bool
	record        Record
	version       uint64
	versionSeenAt time.Duration

	// ownRecord reports that this candidate wrote the last known record.
	ownRecord bool
	// unresolvedWrites lists this candidate's writes that may have taken
	// effect, oldest first.
	unresolvedWrites []writeAttempt
	// writeNonce is the nonce of the write in flight.
	writeNonce uint64

	// held reports that this candidate holds the lease, until the time
	// heldUntil.
	held            bool
	heldUntil       time.Duration
	highestFencing  uint64 // highest fencing number ever seen
	requiredFencing uint64 // lowest fencing number that the next renewal may carry
	// stopping reports that the lease is to be released, releasing that the
	// write of the released record is in flight, and finished that the
	// candidate makes no more calls.
	stopping  bool
	releasing bool
	finished  bool
}

// writeAttempt is one write of the lease object.
type writeAttempt struct {
	// nonce identifies the write; sentAt is when it was sent.
	nonce  uint64
	sentAt time.Duration
	// record is the content that was written.
	record Record
}

// New returns a candidate that does not hold the lease yet. It returns an error
// if the configuration is invalid.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configure the lease")
	}
	return &Core{
		cfg:            cfg,
		random:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		candidates:     1,
		nextCallIsRead: true,
	}, nil
}

// Term is a lease that is held until a given time.
type Term struct {
	// Fencing is the fencing number, which rises with each change of holder.
	Fencing uint64
	// Until is the time at which the holder must stop acting.
	Until time.Duration
}

// Holding returns the current term, and whether this candidate holds the lease
// at the time now.
func (c *Core) Holding(now time.Duration) (Term, bool) {
	if !c.held || now >= c.heldUntil {
		return Term{}, false
	}
	return Term{Fencing: c.record.Fencing, Until: c.heldUntil}, true
}

// Step applies one event at the time now and returns the effects that the
// caller has to carry out, in order.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	if c.finished {
		return nil
	}
	c.expire(now)
	switch e := event.(type) {
	case CandidatesCounted:
		c.candidates = max(1, e.Count)
	case ReadDone:
		c.callInFlight = false
		c.handleReadDone(now, e)
	case WriteDone:
		c.callInFlight = false
		c.handleWriteDone(now, e)
	case RaiseFencing:
		c.raiseFencing(now, e.Above)
	case Release:
		c.stopping = true
		c.lose(ReasonReleased)
	}
	if !c.finished {
		c.startDueCall(now)
	}
	return c.effects
}

// emit adds an effect to the result of the current step.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// expire ends a lease whose time has run out. The object may still hold this
// candidate's record. If a later renewal succeeds, that proves that no other
// candidate held the lease in between.
func (c *Core) expire(now time.Duration) {
	if c.held && now >= c.heldUntil {
		c.lose(ReasonExpired)
	}
}

// lose records and reports the loss of the lease, if it is held.
func (c *Core) lose(reason Reason) {
	if c.held {
		c.held = false
		c.emit(Lost{Fencing: c.record.Fencing, Reason: reason})
	}
}

// raiseFencing makes the next renewal carry a fencing number above the given
// one.
func (c *Core) raiseFencing(now time.Duration, above uint64) {
	c.highestFencing = max(c.highestFencing, above)
	if c.ownRecord && above >= c.record.Fencing {
		c.requiredFencing = above + 1
		c.nextCallAt = now
	}
}

// startDueCall starts the next call to the object API if it is due and no other
// call is in flight.
func (c *Core) startDueCall(now time.Duration) {
	if c.callInFlight {
		return
	}
	if c.stopping {
		c.release()
		return
	}
	if now < c.nextCallAt {
		return
	}
	switch {
	case c.nextCallIsRead || !c.objectKnown:
		c.callInFlight = true
		c.emit(Read{})
	case c.ownRecord:
		c.renew(now)
	case c.canTakeOver(now):
		c.takeOver(now)
	default:
		c.callInFlight = true
		c.emit(Read{})
	}
}

// canTakeOver reports whether the last known state of the object allows this
// candidate to take the lease over.
func (c *Core) canTakeOver(now time.Duration) bool {
	return c.record.Released || now-c.versionSeenAt >= c.takeoverWait()
}

// takeoverWait returns how long a candidate must see a version unchanged before
// it may take the lease over.
func (c *Core) takeoverWait() time.Duration {
	return max(c.record.duration(), c.cfg.Duration) + c.cfg.Margin
}

// renew writes this candidate's record again, with a higher fencing number if
// one is required.
func (c *Core) renew(now time.Duration) {
	r := c.record
	r.Fencing = max(r.Fencing, c.requiredFencing)
	c.write(now, r)
}

// takeOver writes a new record of this candidate with the next fencing number.
func (c *Core) takeOver(now time.Duration) {
	c.highestFencing = max(c.highestFencing, c.record.Fencing)
	c.write(now, Record{Fencing: c.highestFencing + 1})
}

// write completes the record and requests a write that is conditional on the
// last known version.
func (c *Core) write(now time.Duration, r Record) {
	r.Holder, r.Instance, r.Released = c.cfg.Holder, c.cfg.Instance, false
	r.DurationMillis = c.cfg.Duration.Milliseconds()
	r.Nonce = c.random.Uint64()
	c.unresolvedWrites = append(c.unresolvedWrites, writeAttempt{nonce: r.Nonce, sentAt: now, record: r})
	if len(c.unresolvedWrites) > maxUnresolvedWrites {
		c.unresolvedWrites = c.unresolvedWrites[1:]
	}
	c.writeNonce = r.Nonce
	c.callInFlight = true
	c.emit(Write{Value: r.encode(), Base: c.version})
}

// release requests one write that marks the lease as released. The outcome of
// this write only decides how soon another candidate can take over.
func (c *Core) release() {
	if !c.ownRecord {
		c.finish()
		return
	}
	r := c.record
	r.Released = true
	r.Nonce = c.random.Uint64()
	c.releasing = true
	c.callInFlight = true
	c.emit(Write{Value: r.encode(), Base: c.version})
}

// finish ends the candidate's work; no calls follow.
func (c *Core) finish() {
	c.finished = true
	c.emit(Released{})
}
