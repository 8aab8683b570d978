package dispatch

import (
	"slices"
	"sort"
	"time"
)

// workKey names one attempt on one engine.
type workKey struct {
	upstream string
	id       string
	attempt  uint32
}

func (k workKey) less(o workKey) bool {
	if k.upstream != o.upstream {
		return k.upstream < o.upstream
	}
	if k.id != o.id {
		return k.id < o.id
	}
	return k.attempt < o.attempt
}

type pendingCancel struct {
	address string
	since   time.Duration
	next    time.Duration
	delay   time.Duration
}

// cancelTable keeps every cancel until the engine has confirmed it.
type cancelTable struct {
	pending map[workKey]*pendingCancel
}

func newCancelTable() cancelTable {
	return cancelTable{pending: make(map[workKey]*pendingCancel)}
}

func (t *cancelTable) len() int { return len(t.pending) }

// cancel sends a cancel and keeps it until it is confirmed.
func (c *Core) cancel(now time.Duration, u *upstream, id string, attempt uint32) {
	k := workKey{upstream: u.name, id: id, attempt: attempt}
	if p, waiting := c.cancels.pending[k]; waiting {
		// Seen again on the engine: the last one was lost.
		p.next = min(p.next, now+c.cfg.CancelRetry)
		return
	}
	c.cancels.pending[k] = &pendingCancel{
		address: u.address,
		since:   now,
		next:    now + c.cfg.CancelRetry,
		delay:   c.cfg.CancelRetry,
	}
	c.emit(Cancel{Upstream: u.name, Address: u.address, ID: id, Attempt: attempt})
}

// answered removes a confirmed cancel; an unconfirmed one is repeated later.
func (t *cancelTable) answered(now time.Duration, e Cancelled) {
	k := workKey{upstream: e.Upstream, id: e.ID, attempt: e.Attempt}
	p := t.pending[k]
	if p == nil {
		return
	}
	if e.Confirmed {
		delete(t.pending, k)
		return
	}
	p.next = now + p.delay
}

// repeatCancels sends again what was not confirmed, in a fixed order.
func (c *Core) repeatCancels(now time.Duration) {
	var due []workKey
	for k, p := range c.cancels.pending {
		if p.next <= now {
			due = append(due, k)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].less(due[j]) })
	for _, k := range due {
		c.repeatCancel(now, k)
	}
}

func (c *Core) repeatCancel(now time.Duration, k workKey) {
	p := c.cancels.pending[k]
	u := c.upstreams[k.upstream]
	if u == nil || now-p.since > c.cfg.CancelLimit {
		// The engine is gone with its memory, or the sweep of its work list takes over.
		delete(c.cancels.pending, k)
		return
	}
	p.delay = min(2*p.delay, c.cfg.CancelRetryMax)
	p.next = now + p.delay
	c.emit(Cancel{Upstream: k.upstream, Address: p.address, ID: k.id, Attempt: k.attempt})
}

// workListed cancels whatever holds memory without a live owner.
func (c *Core) workListed(now time.Duration, e WorkListed) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	for _, w := range e.Work {
		if c.orphaned(now, w) {
			c.cancel(now, u, w.ID, w.Attempt)
		}
	}
}

// orphaned says whether listed work has no owner that still wants it.
func (c *Core) orphaned(now time.Duration, w HeldWork) bool {
	if now > w.Deadline+c.cfg.OverdueGrace {
		return true
	}
	if w.Host == c.cfg.Host {
		return c.ownOrphan(w)
	}
	owner, known := c.hosts[w.Host]
	if !known || owner.finishing == w.Incarnation {
		return false
	}
	if w.Attached {
		// An owner that reads is alive, whatever membership believes.
		return false
	}
	if owner.incarnation > w.Incarnation {
		return true
	}
	return owner.incarnation == w.Incarnation && owner.state == HostDead
}

// ownOrphan recognises work of this host that it no longer wants: of a request
// that is over, or of an attempt given up. Work of an earlier incarnation is
// left to the other hosts, which know whether that one is still finishing it.
func (c *Core) ownOrphan(w HeldWork) bool {
	if !slices.Contains(c.incarnations, w.Incarnation) {
		return c.sharers() == 1
	}
	r := c.requests[w.ID]
	return r == nil || w.Attempt < r.attempt || r.phase == phaseQueued
}
