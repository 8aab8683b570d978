package shard

type opKind uint8

const (
	claimOp opKind = iota
	completeOp
	giveBackOp
)

// op is an event that waits for the store.
type op struct {
	kind    opKind
	id      ID
	token   Token
	claim   Claim
	outcome Outcome
	seq     uint64

	// inWrite says that the write in flight carries the op, and answer is what
	// it is answered with when that write takes effect.
	inWrite bool
	answer  Answer
	// mayBeStored says that a write of unknown result carried the claim.
	mayBeStored bool
	// answered says that the claim was refused, abandoned that its caller is
	// gone. Either way it is given back if it turns out to be stored.
	answered  bool
	abandoned bool
	// settled ops are removed.
	settled bool
}

// plan is what the next write would hold.
type plan struct {
	next    *draft
	changed bool
	// stale says that an op needs a newer view of the object.
	stale  bool
	riders []*op
}

func (p *plan) ride(o *op, a Answer) {
	a.Token = o.token
	o.answer = a
	p.riders = append(p.riders, o)
}

// plan drafts the waiting ops on the known table, and answers what
// the known table alone can answer.
func (c *Core) plan() plan {
	p := plan{next: newDraft(c.table)}
	if c.config.KeepSeconds > 0 {
		p.next.prune(c.wall - c.config.KeepSeconds)
	}
	for _, o := range c.ops {
		switch o.kind {
		case claimOp:
			c.planClaim(&p, o)
		case completeOp:
			c.planComplete(&p, o)
		case giveBackOp:
			c.planGiveBack(&p, o)
		}
	}
	return p
}

func (c *Core) planClaim(p *plan, o *op) {
	if o.abandoned || o.answered {
		o.kind = giveBackOp
		c.planGiveBack(p, o)
		return
	}
	if c.unreadable || c.superseded {
		c.planUnusable(p, o)
		return
	}
	held, taken := p.next.get(o.id)
	if !taken {
		c.planNew(p, o)
		return
	}
	answer := c.answerFor(o, held)
	stored, ok := c.table.Get(o.id)
	durable := ok && stored.Token == held.Token && stored.Done == held.Done
	final := answer.Decision == Granted || answer.Decision == Done
	switch {
	case durable && (final || o.seq <= c.fresh):
		c.answer(o, answer)
	default:
		p.stale = true
		p.ride(o, answer)
	}
}

func (c *Core) planNew(p *plan, o *op) {
	e := Entry{
		ID: o.id, Token: o.token, Fingerprint: o.claim.Fingerprint,
		Date: o.claim.Date, Deadline: o.claim.Deadline,
	}
	if p.next.size+e.bytes() > c.config.MaxBytes {
		c.planFull(p, o)
		return
	}
	p.next.set(e)
	p.changed = true
	p.ride(o, Answer{Decision: Granted})
}

// planFull refuses a claim for want of room, once it is certain that it is not
// stored already.
func (c *Core) planFull(p *plan, o *op) {
	switch {
	case o.mayBeStored:
		p.changed = true
	case o.seq > c.fresh:
		p.stale = true
	default:
		c.answer(o, Answer{Decision: Full})
	}
}

// answerFor is the answer to a claim whose key is held.
func (c *Core) answerFor(o *op, held Entry) Answer {
	switch {
	case held.Token == o.token:
		return Answer{Decision: Granted}
	case held.Fingerprint != o.claim.Fingerprint:
		return Answer{Decision: Mismatch}
	case held.Done:
		return Answer{Decision: Done, Outcome: held.Outcome}
	case held.Deadline < o.claim.Wall:
		return Answer{Decision: OutcomeUnknown}
	}
	return Answer{Decision: InProgress}
}

// planUnusable answers a claim on an object that can't take it.
func (c *Core) planUnusable(p *plan, o *op) {
	switch {
	case c.superseded:
		c.answer(o, Answer{Decision: TooOld})
	case o.seq > c.fresh:
		p.stale = true
	default:
		c.answer(o, Answer{Decision: Unreadable})
	}
}

func (c *Core) planComplete(p *plan, o *op) {
	held, ok := p.next.get(o.id)
	switch {
	case (!ok || held.Token != o.token) && o.seq > c.fresh:
		// Another host's Core may have stored the claim since.
		p.stale = true
	case c.unreadable || c.superseded || !ok || held.Token != o.token:
		// The claim was granted, so it was stored; it is gone with its window.
		c.record(o, true)
	case held.Done:
		c.record(o, false)
	default:
		held.Done = true
		held.Outcome = o.outcome
		p.next.set(held)
		p.changed = true
		p.ride(o, Answer{})
	}
}

func (c *Core) planGiveBack(p *plan, o *op) {
	held, ok := p.next.get(o.id)
	own := ok && held.Token == o.token && !held.Done
	switch {
	case c.unreadable || c.superseded:
		c.record(o, true)
	case own:
		p.next.remove(o.id)
		p.changed = true
		p.ride(o, Answer{})
	case c.dangling:
		// The write that carried the claim may still take effect. Writing
		// anything on the same base rules that out.
		p.changed = true
		p.ride(o, Answer{})
	case (!ok || held.Token != o.token) && o.seq > c.fresh:
		p.stale = true
	default:
		c.record(o, false)
	}
}
