// Package shard decides claims on actions that may run at most once. One Core
// serves one shard object of the store for one host: many claims, outcomes and
// returns of claims travel in one conditional write, and at most one store
// call is in flight.
//
// The caller's contract: every Read and Write effect is carried out and its
// result fed back; a write's result is Unknown unless it is proven; tokens are
// reused only for the same attempt through another host's Core (Forwarded);
// Complete and GiveBack follow only a Granted answer, GiveBack
// only with proof that nothing was run. Any number of Cores on any hosts may
// serve the same object. No promise depends on clocks: a Core that is paused
// for any time, or lost, leaves claims that nobody takes over.
package shard

import (
	"slices"
	"time"
)

// Config configures a Core.
type Config struct {
	// Window is the window of dates whose keys the object holds. An object
	// that was used for a later window refuses the keys as too old, one of an
	// earlier window is emptied.
	Window uint64
	// KeepSeconds, if not 0, makes one window of all time and drops entries
	// whose date is longer ago, in seconds. It must exceed the time within
	// which callers repeat, and hosts' clocks must agree much better than it.
	KeepSeconds int64
	// MaxBytes bounds the object in bytes. Larger takes more keys in a window
	// and costs more bytes a write.
	MaxBytes int
	// Pace is the least time between the starts of two writes. Longer makes
	// larger batches and fewer writes, and claims wait longer.
	Pace time.Duration
	// RetryMin and RetryMax bound the wait after a failed store call, which
	// doubles from one to the other. Shorter recovers sooner and loads a
	// failing store more.
	RetryMin time.Duration
	RetryMax time.Duration
	// MaxQueue bounds waiting events; claims beyond it are refused.
	MaxQueue int
}

// DefaultConfig returns a Config for window 0 that holds for today's sizes.
func DefaultConfig() Config {
	return Config{
		MaxBytes: 1<<20 - 1<<12,
		Pace:     20 * time.Millisecond,
		RetryMin: 20 * time.Millisecond,
		RetryMax: time.Second,
		MaxQueue: 10000,
	}
}

// call is the store call in flight.
type call uint8

const (
	noCall call = iota
	reading
	writing
)

// Core is the state of one shard object on one host.
type Core struct {
	config Config
	wall   int64 // newest Unix second seen
	ops    []*op
	seq    uint64 // counts events, to order them with reads

	// The object as last read or written, if known. It was current at some
	// time after every event up to fresh.
	known      bool
	version    uint64
	table      *Table
	superseded bool
	unreadable bool
	fresh      uint64

	call    call
	next    *draft // the content being written
	callSeq uint64 // seq when the call in flight started

	// dangling says that a write on base may still take effect as long as the
	// object's version is base.
	dangling bool
	base     uint64

	failures  int
	notBefore time.Duration // no store call before
	down      bool          // the last call found the store down
	nextWrite time.Duration
	effects   []Effect
}

// New returns a Core that knows nothing of its object yet.
func New(config Config) *Core {
	return &Core{config: config}
}

// Idle says that nothing is waiting, so that the Core may be dropped.
func (c *Core) Idle() bool {
	return len(c.ops) == 0 && c.call == noCall
}

// Waiting is the number of events not settled yet.
func (c *Core) Waiting() int {
	return len(c.ops)
}

// Step takes one event at the time given and returns the effects.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	c.seq++
	switch e := event.(type) {
	case Claim:
		c.claim(now, e)
	case Complete:
		e.Outcome = e.Outcome.bounded()
		c.enqueue(&op{kind: completeOp, id: e.ID, token: e.Token, outcome: e.Outcome})
	case GiveBack:
		c.enqueue(&op{kind: giveBackOp, id: e.ID, token: e.Token})
	case Abandon:
		c.abandon(e)
	case ReadDone:
		c.readDone(now, e)
	case WriteDone:
		c.writeDone(now, e)
	}
	c.advance(now)
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) claim(now time.Duration, e Claim) {
	c.wall = max(c.wall, e.Wall)
	if len(c.ops) >= c.config.MaxQueue || c.down && now < c.notBefore {
		c.emit(Answer{Token: e.Token, Decision: Refused, RetryAfter: c.retryAfter(now), NotStored: true})
		return
	}
	c.ops = append(c.ops, &op{kind: claimOp, id: e.ID, token: e.Token, claim: e, seq: c.seq})
}

func (c *Core) enqueue(o *op) {
	if len(c.ops) >= 2*c.config.MaxQueue {
		c.emit(Recorded{Token: o.token, Lost: true})
		return
	}
	o.seq = c.seq
	c.ops = append(c.ops, o)
}

// abandon drops a claim that is certainly not in the store, and gives back one
// that is or may be.
func (c *Core) abandon(e Abandon) {
	for i, o := range c.ops {
		if o.kind != claimOp || o.token != e.Token {
			continue
		}
		if o.inWrite || o.mayBeStored {
			o.abandoned = true
			return
		}
		c.ops = slices.Delete(c.ops, i, i+1)
		return
	}
	c.enqueue(&op{kind: giveBackOp, id: e.ID, token: e.Token})
}

// advance starts the next store call when there is reason and leave for one.
func (c *Core) advance(now time.Duration) {
	c.expire(now)
	if c.call == noCall && len(c.ops) > 0 && now >= c.notBefore && now >= c.nextWrite {
		c.work(now)
	}
	c.wake(now)
}

func (c *Core) work(now time.Duration) {
	if !c.known {
		c.read()
		return
	}
	p := c.plan()
	c.settle()
	switch {
	case p.changed:
		c.write(now, p)
	case p.stale:
		c.read()
	}
}

func (c *Core) read() {
	c.call = reading
	c.callSeq = c.seq
	c.emit(Read{})
}

func (c *Core) write(now time.Duration, p plan) {
	for _, o := range p.riders {
		o.inWrite = true
	}
	c.call = writing
	c.callSeq = c.seq
	c.next = p.next
	c.nextWrite = now + c.config.Pace
	c.emit(Write{Value: p.next.encode(), Base: c.version})
}

// wake asks for a Tick when only time can bring something about.
func (c *Core) wake(now time.Duration) {
	var at time.Duration
	consider := func(t time.Duration) {
		if t > now && (at == 0 || t < at) {
			at = t
		}
	}
	for _, o := range c.ops {
		if o.kind == claimOp && !o.answered {
			consider(o.claim.Expires)
		}
	}
	if len(c.ops) > 0 && c.call == noCall {
		consider(c.notBefore)
		consider(c.nextWrite)
	}
	if at > 0 {
		c.emit(Wake{At: at})
	}
}
