package shard

import (
	"slices"
	"time"
)

// handleReadDone makes the object that was read this Core's view. If its version
// shows that the writes of unknown result can't take effect any more, they are
// resolved.
func (c *Core) handleReadDone(now time.Duration, e ReadDone) {
	c.call = noCall
	if e.Result != OK && e.Result != NotFound {
		c.handleFailedCall(now, e.Result)
		return
	}
	c.resetFailures()
	c.viewValid = true
	c.viewSeq = c.callSeq
	c.loadObject(e)
	if c.unresolvedWrite && c.version != c.unresolvedBase {
		c.resolveUnknownWrites()
	}
}

// loadObject replaces this Core's view by the object that was read.
func (c *Core) loadObject(e ReadDone) {
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

// resolveUnknownWrites is called when no write of unknown result can take
// effect any more, because the object has another version than such a write
// requires. A claim that is not in the table by now will never be stored by it.
func (c *Core) resolveUnknownWrites() {
	c.unresolvedWrite = false
	for _, o := range c.pending {
		entry, ok := c.table.Get(o.id)
		o.mayBeStored = o.mayBeStored && ok && entry.Token == o.token
	}
}

// handleWriteDone handles the result of a write. After a conflict the object has
// to be read again, and the operations of the write wait for the next one.
func (c *Core) handleWriteDone(now time.Duration, e WriteDone) {
	c.call = noCall
	switch e.Result {
	case OK:
		c.confirmWrite(e.Version)
	case Unknown:
		c.handleUnknownWrite(now)
	case Conflict, NotFound:
		c.clearBatch()
		c.viewValid = false
	default:
		c.clearBatch()
		c.handleFailedCall(now, e.Result)
	}
	c.inFlightDraft = nil
}

// confirmWrite applies a write that took effect and finishes all operations
// that it carried.
func (c *Core) confirmWrite(version uint64) {
	c.resetFailures()
	c.version = version
	c.table = c.inFlightDraft.apply()
	c.viewSeq = c.callSeq
	c.resolveUnknownWrites()
	for _, o := range c.pending {
		if !o.inWrite {
			continue
		}
		o.inWrite = false
		if o.kind != claimOperation {
			c.finishRecord(o, false)
			continue
		}
		c.finishWrittenClaim(o)
	}
	c.removeFinished()
}

// finishWrittenClaim answers a claim whose write took effect. A claim that was
// granted but that nobody waits for stays queued as a GiveBack, unless another
// host forwarded it: then that host gives it back.
func (c *Core) finishWrittenClaim(o *operation) {
	if !o.abandoned && !o.refused {
		c.finishClaim(o, o.writtenAnswer)
		return
	}
	o.kind = giveBackOperation
	o.finished = o.writtenAnswer.Decision != Granted || o.claim.Forwarded
}

// clearBatch is called when the write certainly had no effect. Its operations
// wait for the next call again.
func (c *Core) clearBatch() {
	for _, o := range c.pending {
		o.inWrite = false
	}
}

// handleUnknownWrite handles a write that may have taken effect or may still
// take effect. The object has to be read again, and as long as its version is
// the base version of that write, the object has to be written again.
func (c *Core) handleUnknownWrite(now time.Duration) {
	for _, o := range c.pending {
		if o.inWrite && o.kind == claimOperation && o.writtenAnswer.Decision == Granted {
			o.mayBeStored = true
		}
		o.inWrite = false
	}
	c.unresolvedWrite = true
	c.unresolvedBase = c.version
	c.viewValid = false
	c.backOff(now)
}

// handleFailedCall delays the next store call. If the store is unavailable it
// also refuses all waiting claims, so that their callers need not wait.
func (c *Core) handleFailedCall(now time.Duration, r Result) {
	c.backOff(now)
	if r != Unavailable {
		return
	}
	c.storeDown = true
	for _, o := range c.pending {
		if o.kind == claimOperation {
			c.refuse(now, o)
		}
	}
	c.removeFinished()
}

// resetFailures ends the waits after failed calls, because a call has
// succeeded.
func (c *Core) resetFailures() {
	c.failures = 0
	c.storeDown = false
	c.retryAt = 0
}

// backOff delays the next store call by RetryMin, doubled for each failure since
// the last success, but by at most RetryMax. The bound of 20 doublings keeps the
// wait from overflowing.
func (c *Core) backOff(now time.Duration) {
	wait := c.config.RetryMin << min(c.failures, 20)
	c.failures++
	c.retryAt = now + min(wait, c.config.RetryMax)
}

// retryAfter returns the time after which a refused caller should try again.
func (c *Core) retryAfter(now time.Duration) time.Duration {
	return max(c.config.RetryMax, c.retryAt-now)
}

// refuseTimedOut refuses the claims whose callers have stopped waiting.
func (c *Core) refuseTimedOut(now time.Duration) {
	for _, o := range c.pending {
		if o.kind == claimOperation && now >= o.claim.WaitUntil {
			c.refuse(now, o)
		}
	}
	c.removeFinished()
}

// refuse answers a claim with Refused, which means that the action was not run.
// A claim that is or may be stored stays queued, so that it is given back. A
// forwarded claim stays only while a write carries it, because the host that
// forwarded it gives it back.
func (c *Core) refuse(now time.Duration, o *operation) {
	notStored := !o.inWrite && !o.mayBeStored
	if !o.refused && !o.abandoned {
		c.emit(Answer{Token: o.token, Decision: Refused, RetryAfter: c.retryAfter(now), NotStored: notStored})
	}
	o.refused = true
	o.finished = notStored || o.claim.Forwarded && !o.inWrite
}

// finishClaim sends the answer to a claim.
func (c *Core) finishClaim(o *operation, a Answer) {
	a.Token = o.token
	c.emit(a)
	o.finished = true
}

// finishRecord reports the end of a Complete or GiveBack. For a claim that the
// Core gives back on its own it reports nothing.
func (c *Core) finishRecord(o *operation, notRecorded bool) {
	if !o.refused && !o.abandoned {
		c.emit(RecordResult{Token: o.token, NotRecorded: notRecorded})
	}
	o.finished = true
}

// removeFinished removes the finished operations from the queue.
func (c *Core) removeFinished() {
	c.pending = slices.DeleteFunc(c.pending, func(o *operation) bool { return o.finished })
}
