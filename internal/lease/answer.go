package lease

import (
	"slices"
	"time"
)

func (c *Core) readDone(now time.Duration, e ReadDone) {
	switch e.Result {
	case OK:
		record, err := ParseRecord(e.Value)
		if err != nil {
			// Another release's record: it is another holder's of full duration.
			record = Record{DurationMillis: c.cfg.Duration.Milliseconds()}
		}
		c.failures = 0
		c.observe(now, record, e.Version)
	case NotFound:
		c.failures = 0
		c.observe(now, Record{}, 0)
	default:
		c.retry(now)
	}
}

// observe takes in the object as read back.
func (c *Core) observe(now time.Duration, record Record, version uint64) {
	c.highest = max(c.highest, record.Fencing)
	if i := c.find(record); i >= 0 && version != 0 {
		c.confirm(now, c.sent[i], version)
		return
	}
	if !c.known || version != c.version {
		c.lose(ReasonSuperseded)
		c.known, c.mine = true, false
		c.record, c.version, c.seenAt = record, version, now
		c.readNext = true
		c.nextAt = now + c.pollWait()
	} else {
		c.unchanged(now)
	}
	if !c.mine && c.free(now) {
		c.readNext = false
		c.nextAt = now
	}
}

// unchanged plans the next step after a read that showed nothing new.
func (c *Core) unchanged(now time.Duration) {
	if c.mine {
		// A write of unknown outcome has not taken effect so far: write again.
		c.readNext = false
		c.nextAt = now
		return
	}
	c.readNext = true
	left := c.patience() - (now - c.seenAt)
	c.nextAt = now + min(c.pollWait(), left+c.jitter(c.cfg.RetryEvery))
}

// find returns the own write that a record stems from, or -1.
func (c *Core) find(r Record) int {
	return slices.IndexFunc(c.sent, func(a attempt) bool { return a.record == r })
}

func (c *Core) writeDone(now time.Duration, e WriteDone) {
	if c.releasing {
		c.finish()
		return
	}
	i := slices.IndexFunc(c.sent, func(a attempt) bool { return a.nonce == c.writing })
	switch e.Result {
	case OK:
		c.failures = 0
		c.confirm(now, c.sent[i], e.Version)
	case Unknown:
		c.readNext = true
		c.retry(now)
	case Conflict, NotFound:
		c.sent = slices.Delete(c.sent, i, i+1)
		c.readNext = true
		c.nextAt = now
	default:
		c.sent = slices.Delete(c.sent, i, i+1)
		c.retry(now)
	}
}

// confirm takes note that a write took effect; the lease counts from before it
// was sent. Earlier writes had older bases and can't take effect any more.
func (c *Core) confirm(now time.Duration, a attempt, version uint64) {
	again := c.held && c.record.Fencing == a.record.Fencing
	c.known, c.mine, c.readNext = true, true, false
	c.record, c.version, c.seenAt = a.record, version, now
	c.highest = max(c.highest, a.record.Fencing)
	c.sent = nil
	c.until = a.at + c.cfg.Duration - c.cfg.Margin
	c.held = now < c.until && !c.stopping
	c.nextAt = a.at + c.cfg.RenewEvery
	if c.held && !again {
		c.emit(Acquired{Fencing: c.record.Fencing})
	}
	if c.raise > c.record.Fencing {
		c.nextAt = now
	}
}

// retry waits after a call that failed, shorter for the holder.
func (c *Core) retry(now time.Duration) {
	wait := c.cfg.RetryEvery
	if !c.held {
		factor := min(1<<min(c.failures, maxBackoff), maxBackoff)
		wait = max(time.Duration(factor)*wait, c.pollMean())
	}
	c.failures++
	c.nextAt = now + c.jitter(wait)
}

// pollMean is the mean time between two reads of a candidate. It grows with
// the number of candidates, so that all of them together keep to the rate.
func (c *Core) pollMean() time.Duration {
	scaled := time.Duration(float64(c.candidates) / c.cfg.PollRate * float64(time.Second))
	return max(c.cfg.PollMin, scaled)
}

func (c *Core) pollWait() time.Duration {
	return c.jitter(c.pollMean())
}

// jitter draws a time around the mean given.
func (c *Core) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}
