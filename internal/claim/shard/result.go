package shard

import (
	"slices"
	"time"
)

func (c *Core) readDone(now time.Duration, e ReadDone) {
	c.call = noCall
	if e.Result != OK && e.Result != NotFound {
		c.failed(now, e.Result)
		return
	}
	c.succeeded()
	c.known = true
	c.fresh = c.callSeq
	c.load(e)
	if c.dangling && c.version != c.base {
		c.resolve()
	}
}

// load takes over the object as read.
func (c *Core) load(e ReadDone) {
	c.superseded, c.unreadable = false, false
	c.table = NewTable(c.config.Window)
	c.version = 0
	if e.Result == NotFound {
		return
	}
	c.version = e.Version
	t, err := Decode(e.Value)
	switch {
	case err != nil:
		c.unreadable = true
	case t.Window > c.config.Window:
		c.superseded = true
	case t.Window == c.config.Window:
		c.table = t
	}
}

// resolve notes that no write of unknown result can take effect any more: what
// is not in the object by now will never be.
func (c *Core) resolve() {
	c.dangling = false
	for _, o := range c.ops {
		held, ok := c.table.Get(o.id)
		o.mayBeStored = o.mayBeStored && ok && held.Token == o.token
	}
}

func (c *Core) writeDone(now time.Duration, e WriteDone) {
	c.call = noCall
	switch e.Result {
	case OK:
		c.wrote(e.Version)
	case Unknown:
		c.lost(now)
	case Conflict, NotFound:
		c.land()
		c.known = false
	default:
		c.land()
		c.failed(now, e.Result)
	}
	c.next = nil
}

// wrote settles everything that the write carried.
func (c *Core) wrote(version uint64) {
	c.succeeded()
	c.version = version
	c.table = c.next.apply()
	c.fresh = c.callSeq
	c.resolve()
	for _, o := range c.ops {
		if !o.inWrite {
			continue
		}
		o.inWrite = false
		if o.kind != claimOp {
			c.record(o, false)
			continue
		}
		c.finish(o)
	}
	c.settle()
}

// finish answers a claim whose write took effect. One that nobody waits for
// stays queued, to be given back.
func (c *Core) finish(o *op) {
	if !o.abandoned && !o.answered {
		c.answer(o, o.answer)
		return
	}
	o.kind = giveBackOp
	o.settled = o.answer.Decision != Granted || o.claim.Forwarded
}

// land takes the ops off a write that certainly had no effect.
func (c *Core) land() {
	for _, o := range c.ops {
		o.inWrite = false
	}
}

// lost handles a write that may have taken effect or may yet: the object has
// to be read, and as long as its version is the write's base, written again.
func (c *Core) lost(now time.Duration) {
	for _, o := range c.ops {
		if o.inWrite && o.kind == claimOp && o.answer.Decision == Granted {
			o.mayBeStored = true
		}
		o.inWrite = false
	}
	c.dangling = true
	c.base = c.version
	c.known = false
	c.backOff(now)
}

func (c *Core) failed(now time.Duration, r Result) {
	c.backOff(now)
	if r != Unavailable {
		return
	}
	c.down = true
	for _, o := range c.ops {
		if o.kind == claimOp {
			c.refuse(now, o)
		}
	}
	c.settle()
}

func (c *Core) succeeded() {
	c.failures = 0
	c.down = false
	c.notBefore = 0
}

func (c *Core) backOff(now time.Duration) {
	wait := c.config.RetryMin << min(c.failures, 20)
	c.failures++
	c.notBefore = now + min(wait, c.config.RetryMax)
}

func (c *Core) retryAfter(now time.Duration) time.Duration {
	return max(c.config.RetryMax, c.notBefore-now)
}

// expire refuses the claims whose callers have no time left to wait.
func (c *Core) expire(now time.Duration) {
	for _, o := range c.ops {
		if o.kind == claimOp && now >= o.claim.Expires {
			c.refuse(now, o)
		}
	}
	c.settle()
}

// refuse tells the caller that nothing was run. A claim that is or may be
// stored stays queued, to be given back.
func (c *Core) refuse(now time.Duration, o *op) {
	notStored := !o.inWrite && !o.mayBeStored
	if !o.answered && !o.abandoned {
		c.emit(Answer{Token: o.token, Decision: Refused, RetryAfter: c.retryAfter(now), NotStored: notStored})
	}
	o.answered = true
	o.settled = notStored || o.claim.Forwarded && !o.inWrite
}

func (c *Core) answer(o *op, a Answer) {
	a.Token = o.token
	c.emit(a)
	o.settled = true
}

func (c *Core) record(o *op, lost bool) {
	if !o.answered && !o.abandoned {
		c.emit(Recorded{Token: o.token, Lost: lost})
	}
	o.settled = true
}

func (c *Core) settle() {
	c.ops = slices.DeleteFunc(c.ops, func(o *op) bool { return o.settled })
}
