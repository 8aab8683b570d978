package dispatch

import (
	"slices"
	"sort"
	"time"
)

// workKey identifies one attempt on one engine.
type workKey struct {
	upstream string
	id       string
	attempt  uint32
}

// less orders keys by upstream, then by ID, then by attempt.
func (k workKey) less(o workKey) bool {
	if k.upstream != o.upstream {
		return k.upstream < o.upstream
	}
	if k.id != o.id {
		return k.id < o.id
	}
	return k.attempt < o.attempt
}

// pendingCancel is a cancel that the engine has not confirmed yet.
type pendingCancel struct {
	address string
	// firstSentAt is when the cancel was first sent, nextSendAt when it is due
	// to be sent again, and repeatDelay the current delay between two sendings.
	firstSentAt time.Duration
	nextSendAt  time.Duration
	repeatDelay time.Duration
}

// cancelTable holds every cancel until the engine has confirmed it, or until it
// is no longer repeated.
type cancelTable struct {
	pending map[workKey]*pendingCancel
}

// newCancelTable returns an empty table.
func newCancelTable() cancelTable {
	return cancelTable{pending: make(map[workKey]*pendingCancel)}
}

// len returns the number of unconfirmed cancels.
func (t *cancelTable) len() int { return len(t.pending) }

// sendCancel cancels an attempt on an engine and repeats the cancel until it is
// confirmed.
func (c *Core) sendCancel(now time.Duration, u *upstream, id string, attempt uint32) {
	k := workKey{upstream: u.name, id: id, attempt: attempt}
	if p, waiting := c.cancels.pending[k]; waiting {
		// The engine still lists the work, so the last cancel was lost.
		p.nextSendAt = min(p.nextSendAt, now+c.cfg.CancelRetry)
		return
	}
	c.cancels.pending[k] = &pendingCancel{
		address:     u.address,
		firstSentAt: now,
		nextSendAt:  now + c.cfg.CancelRetry,
		repeatDelay: c.cfg.CancelRetry,
	}
	c.emit(Cancel{Upstream: u.name, Address: u.address, ID: id, Attempt: attempt})
}

// handleCancelled removes a confirmed cancel and schedules the repetition of an
// unconfirmed one.
func (t *cancelTable) handleCancelled(now time.Duration, e Cancelled) {
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	p := t.pending[k]
	if p == nil {
		return
	}
	if e.Confirmed {
		delete(t.pending, k)
		return
	}
	p.nextSendAt = now + p.repeatDelay
}

// repeatCancels sends the cancels again that are due and not yet confirmed. It
// sorts them, so that the same events always give the same effects.
func (c *Core) repeatCancels(now time.Duration) {
	var due []workKey
	for k, p := range c.cancels.pending {
		if p.nextSendAt <= now {
			due = append(due, k)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].less(due[j]) })
	for _, k := range due {
		c.repeatCancel(now, k)
	}
}

// repeatCancel sends one cancel again, or drops it if it has been repeated for
// longer than Config.CancelLimit.
func (c *Core) repeatCancel(now time.Duration, k workKey) {
	p := c.cancels.pending[k]
	u := c.upstreams[k.upstream]
	if u == nil || now-p.firstSentAt > c.cfg.CancelLimit {
		// The engine is gone and its memory with it, or the sweep of its work
		// list will find the work.
		delete(c.cancels.pending, k)
		return
	}
	p.repeatDelay = min(2*p.repeatDelay, c.cfg.CancelRetryMax)
	p.nextSendAt = now + p.repeatDelay
	c.emit(Cancel{Upstream: k.upstream, Address: p.address, ID: k.id, Attempt: k.attempt})
}

// handleWorkListed cancels the listed work that holds memory and that no host
// wants any more.
func (c *Core) handleWorkListed(now time.Duration, e WorkListed) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	for _, w := range e.Work {
		if c.isOrphaned(now, w) {
			c.sendCancel(now, u, w.ID, w.Attempt)
		}
	}
}

// isOrphaned reports whether listed work has no owner that still wants it.
func (c *Core) isOrphaned(now time.Duration, w HeldWork) bool {
	if now > w.Deadline+c.cfg.OverdueGrace {
		return true
	}
	if w.Host == c.cfg.Host {
		return c.isOwnOrphan(w)
	}
	owner, knownHost := c.peerHosts[w.Host]
	if !knownHost || owner.leavingIncarnation == w.Incarnation {
		return false
	}
	if w.Attached {
		// A host that reads the answer is alive, even if membership declared it
		// dead.
		return false
	}
	if owner.incarnation > w.Incarnation {
		return true
	}
	return owner.incarnation == w.Incarnation && owner.state == HostDead
}

// isOwnOrphan reports whether work listed under the name of this host is no
// longer wanted: its request is over, or its attempt was abandoned. Work of an
// earlier incarnation that this process did not use is left to the other hosts,
// which know whether that incarnation is still finishing it; without other
// hosts it counts as orphaned.
func (c *Core) isOwnOrphan(w HeldWork) bool {
	if !slices.Contains(c.incarnations, w.Incarnation) {
		return c.sharingHosts() == 1
	}
	r := c.requests[w.ID]
	return r == nil || w.Attempt < r.attempt || r.phase == phaseQueued
}
