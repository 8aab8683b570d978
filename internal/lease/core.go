package lease

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxSent bounds the writes of unknown outcome that are remembered. One
	// that is forgotten and yet took effect is seen as another holder's.
	maxSent = 16
	// maxBackoff bounds the factor by which failed calls stretch the waits.
	maxBackoff = 8
	// jitterShare is the part of a wait that is drawn at random.
	jitterShare = 0.5
)

// Core is one candidate. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	random     *rand.Rand
	effects    []Effect
	candidates int

	// inCall says that a call to the object API is not yet answered.
	inCall bool
	// nextAt is when the next call is due; readNext says that it is a read.
	nextAt   time.Duration
	readNext bool
	failures int

	// record and version are the object as last seen, first at seenAt.
	// Version 0 is the absent object.
	known   bool
	record  Record
	version uint64
	seenAt  time.Duration

	// mine says that the object as last seen is this candidate's.
	mine bool
	// sent lists own writes that may have taken effect, oldest first.
	sent []attempt
	// writing is the nonce of the write in flight.
	writing uint64

	held    bool
	until   time.Duration
	highest uint64 // fencing number ever seen
	raise   uint64 // least fencing number wanted
	// stopping says that the lease is being given up, releasing that the write
	// which says so is in flight.
	stopping  bool
	releasing bool
	done      bool
}

// attempt is one write.
type attempt struct {
	nonce uint64
	at    time.Duration
	// record is what was written.
	record Record
}

// New returns a candidate that does not hold the lease.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configure the lease")
	}
	return &Core{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		candidates: 1,
		readNext:   true,
	}, nil
}

// Term is a held lease.
type Term struct {
	Fencing uint64
	// Until is when the holder has to stop acting.
	Until time.Duration
}

// Holding returns the term in force, if the lease is held now.
func (c *Core) Holding(now time.Duration) (Term, bool) {
	if !c.held || now >= c.until {
		return Term{}, false
	}
	return Term{Fencing: c.record.Fencing, Until: c.until}, true
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	if c.done {
		return nil
	}
	c.expire(now)
	switch e := event.(type) {
	case CandidatesCounted:
		c.candidates = max(1, e.Count)
	case ReadDone:
		c.inCall = false
		c.readDone(now, e)
	case WriteDone:
		c.inCall = false
		c.writeDone(now, e)
	case RaiseFencing:
		c.raiseAbove(now, e.Above)
	case Release:
		c.stopping = true
		c.lose(ReasonReleased)
	}
	if !c.done {
		c.act(now)
	}
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// expire ends a lease whose time is over. The object may still be this
// candidate's; a renewal that succeeds then proves that nobody else held it.
func (c *Core) expire(now time.Duration) {
	if c.held && now >= c.until {
		c.lose(ReasonExpired)
	}
}

func (c *Core) lose(reason Reason) {
	if c.held {
		c.held = false
		c.emit(Lost{Fencing: c.record.Fencing, Reason: reason})
	}
}

// raiseAbove has the next renewal carry a higher fencing number.
func (c *Core) raiseAbove(now time.Duration, above uint64) {
	c.highest = max(c.highest, above)
	if c.mine && above >= c.record.Fencing {
		c.raise = above + 1
		c.nextAt = now
	}
}

// act makes the next call if it is due.
func (c *Core) act(now time.Duration) {
	if c.inCall {
		return
	}
	if c.stopping {
		c.release()
		return
	}
	if now < c.nextAt {
		return
	}
	switch {
	case c.readNext || !c.known:
		c.inCall = true
		c.emit(Read{})
	case c.mine:
		c.renew(now)
	case c.free(now):
		c.takeOver(now)
	default:
		c.inCall = true
		c.emit(Read{})
	}
}

// free says whether the object as last seen lets this candidate take over.
func (c *Core) free(now time.Duration) bool {
	return c.record.Released || now-c.seenAt >= c.patience()
}

// patience is how long a version has to be seen unchanged.
func (c *Core) patience() time.Duration {
	return max(c.record.duration(), c.cfg.Duration) + c.cfg.Margin
}

func (c *Core) renew(now time.Duration) {
	r := c.record
	r.Fencing = max(r.Fencing, c.raise)
	c.write(now, r)
}

func (c *Core) takeOver(now time.Duration) {
	c.highest = max(c.highest, c.record.Fencing)
	c.write(now, Record{Fencing: c.highest + 1})
}

func (c *Core) write(now time.Duration, r Record) {
	r.Holder, r.Instance, r.Released = c.cfg.Holder, c.cfg.Instance, false
	r.DurationMillis = c.cfg.Duration.Milliseconds()
	r.Nonce = c.random.Uint64()
	c.sent = append(c.sent, attempt{nonce: r.Nonce, at: now, record: r})
	if len(c.sent) > maxSent {
		c.sent = c.sent[1:]
	}
	c.writing = r.Nonce
	c.inCall = true
	c.emit(Write{Value: r.encode(), Base: c.version})
}

// release writes once that the lease is given up; whether the write succeeds
// only decides how soon another candidate takes over.
func (c *Core) release() {
	if !c.mine {
		c.finish()
		return
	}
	r := c.record
	r.Released = true
	r.Nonce = c.random.Uint64()
	c.releasing = true
	c.inCall = true
	c.emit(Write{Value: r.encode(), Base: c.version})
}

func (c *Core) finish() {
	c.done = true
	c.emit(Released{})
}
