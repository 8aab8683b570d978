package lease

import (
	"slices"
	"time"
)

// handleReadDone applies the answer to a Read.
func (c *Core) handleReadDone(now time.Duration, e ReadDone) {
	switch e.Result {
	case OK:
		record, err := ParseRecord(e.Value)
		if err != nil {
			// The record was written by another release. Treat it as the record
			// of another holder with the full duration.
			record = Record{DurationMillis: c.cfg.Duration.Milliseconds()}
		}
		c.failedCalls = 0
		c.observeObject(now, record, e.Version)
	case NotFound:
		c.failedCalls = 0
		c.observeObject(now, Record{}, 0)
	default:
		c.scheduleRetry(now)
	}
}

// observeObject applies the lease object as read: it confirms a write of this
// candidate, or records a version written by another candidate and schedules the
// next call.
func (c *Core) observeObject(now time.Duration, record Record, version uint64) {
	c.highestFencing = max(c.highestFencing, record.Fencing)
	if i := c.findUnresolvedWrite(record); i >= 0 && version != 0 {
		c.confirmWrite(now, c.unresolvedWrites[i], version)
		return
	}
	if !c.objectKnown || version != c.version {
		c.lose(ReasonSuperseded)
		c.objectKnown, c.ownRecord = true, false
		c.record, c.version, c.versionSeenAt = record, version, now
		c.nextCallIsRead = true
		c.nextCallAt = now + c.nextPollInterval()
	} else {
		c.scheduleAfterUnchanged(now)
	}
	if !c.ownRecord && c.canTakeOver(now) {
		c.nextCallIsRead = false
		c.nextCallAt = now
	}
}

// scheduleAfterUnchanged schedules the next call after a read that returned the
// version already known.
func (c *Core) scheduleAfterUnchanged(now time.Duration) {
	if c.ownRecord {
		// A write of unknown outcome has not taken effect so far: write again.
		c.nextCallIsRead = false
		c.nextCallAt = now
		return
	}
	c.nextCallIsRead = true
	remaining := c.takeoverWait() - (now - c.versionSeenAt)
	c.nextCallAt = now + min(c.nextPollInterval(), remaining+c.jittered(c.cfg.RetryEvery))
}

// findUnresolvedWrite returns the index of this candidate's unresolved write that
// produced the record, or -1 if there is none.
func (c *Core) findUnresolvedWrite(r Record) int {
	return slices.IndexFunc(c.unresolvedWrites, func(a writeAttempt) bool { return a.record == r })
}

// handleWriteDone applies the answer to a Write.
func (c *Core) handleWriteDone(now time.Duration, e WriteDone) {
	if c.releasing {
		c.finish()
		return
	}
	i := slices.IndexFunc(c.unresolvedWrites, func(a writeAttempt) bool { return a.nonce == c.writeNonce })
	switch e.Result {
	case OK:
		c.failedCalls = 0
		c.confirmWrite(now, c.unresolvedWrites[i], e.Version)
	case Unknown:
		c.nextCallIsRead = true
		c.scheduleRetry(now)
	case Conflict, NotFound:
		c.unresolvedWrites = slices.Delete(c.unresolvedWrites, i, i+1)
		c.nextCallIsRead = true
		c.nextCallAt = now
	default:
		c.unresolvedWrites = slices.Delete(c.unresolvedWrites, i, i+1)
		c.scheduleRetry(now)
	}
}

// confirmWrite records that a write of this candidate took effect. The lease
// time counts from the moment before the write was sent. Earlier writes were
// based on older versions and can't take effect any more.
func (c *Core) confirmWrite(now time.Duration, a writeAttempt, version uint64) {
	renewed := c.held && c.record.Fencing == a.record.Fencing
	c.objectKnown, c.ownRecord, c.nextCallIsRead = true, true, false
	c.record, c.version, c.versionSeenAt = a.record, version, now
	c.highestFencing = max(c.highestFencing, a.record.Fencing)
	c.unresolvedWrites = nil
	c.heldUntil = a.sentAt + c.cfg.Duration - c.cfg.Margin
	c.held = now < c.heldUntil && !c.stopping
	c.nextCallAt = a.sentAt + c.cfg.RenewEvery
	if c.held && !renewed {
		c.emit(Acquired{Fencing: c.record.Fencing})
	}
	if c.requiredFencing > c.record.Fencing {
		c.nextCallAt = now
	}
}

// scheduleRetry schedules the next call after a failed one. The holder waits
// for a shorter time than a candidate. The candidate's wait doubles with each
// failure up to a bound and is at least the mean poll interval.
func (c *Core) scheduleRetry(now time.Duration) {
	wait := c.cfg.RetryEvery
	if !c.held {
		factor := min(1<<min(c.failedCalls, maxBackoffFactor), maxBackoffFactor)
		wait = max(time.Duration(factor)*wait, c.meanPollInterval())
	}
	c.failedCalls++
	c.nextCallAt = now + c.jittered(wait)
}

// meanPollInterval returns the mean time between two reads by a candidate. It
// grows with the number of candidates, so that all of them together stay within
// PollRate.
func (c *Core) meanPollInterval() time.Duration {
	scaled := time.Duration(float64(c.candidates) / c.cfg.PollRate * float64(time.Second))
	return max(c.cfg.PollMin, scaled)
}

// nextPollInterval draws a random time around the mean poll interval.
func (c *Core) nextPollInterval() time.Duration {
	return c.jittered(c.meanPollInterval())
}

// jittered draws a random time around the given mean.
func (c *Core) jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}
