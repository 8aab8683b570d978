package shard

// operationKind is what an operation does to the stored table.
type operationKind uint8

const (
	claimOperation operationKind = iota
	completeOperation
	giveBackOperation
)

// operation is a Claim, Complete or GiveBack event that waits for the store.
type operation struct {
	kind    operationKind
	id      ID
	token   Token
	claim   Claim
	outcome Outcome
	seq     uint64 // number of the event

	// inWrite is true if the write in flight carries the operation.
	// writtenAnswer is the answer to give when that write has taken effect.
	inWrite       bool
	writtenAnswer Answer
	// mayBeStored is true if a write of unknown result carried the claim.
	mayBeStored bool
	// refused is true if the claim was refused, abandoned if its caller does
	// not wait any more. In both cases the claim is given back if it turns out
	// to be stored.
	refused   bool
	abandoned bool
	// finished is true for an operation that removeFinished has to remove.
	finished bool
}

// writePlan describes the next store call that the waiting operations need.
type writePlan struct {
	draft *draft
	// needsWrite is true if the draft has to be written.
	needsWrite bool
	// needsRead is true if an operation needs a newer view of the object. If a
	// write is needed too, the write comes first.
	needsRead bool
	// batch holds the operations that the write carries.
	batch []*operation
}

// joinBatch adds an operation to the write and keeps its answer until the write
// has taken effect.
func (p *writePlan) joinBatch(o *operation, a Answer) {
	a.Token = o.token
	o.writtenAnswer = a
	p.batch = append(p.batch, o)
}

// planWrite applies the waiting operations to a draft of the table as last read
// or written. Operations that this table alone can answer are answered at once.
func (c *Core) planWrite() writePlan {
	p := writePlan{draft: newDraft(c.table)}
	if c.config.RetentionSeconds > 0 {
		p.draft.removeDatedBefore(c.wallTime - c.config.RetentionSeconds)
	}
	for _, o := range c.pending {
		switch o.kind {
		case claimOperation:
			c.planClaim(&p, o)
		case completeOperation:
			c.planComplete(&p, o)
		case giveBackOperation:
			c.planGiveBack(&p, o)
		}
	}
	return p
}

// planClaim plans a claim. If the draft has an entry for the key, the claim is
// answered from it at once when the stored table has the same entry and the
// answer still holds: Granted and Done always hold, any other answer only if
// the object was read or written after the claim arrived. Otherwise the claim
// needs a newer view of the object: it joins the batch, and is answered after
// the write, or after a read if the plan needs no write.
func (c *Core) planClaim(p *writePlan, o *operation) {
	if o.abandoned || o.refused {
		o.kind = giveBackOperation
		c.planGiveBack(p, o)
		return
	}
	if c.unreadable || c.superseded {
		c.planClaimOnUnusableObject(p, o)
		return
	}
	entry, exists := p.draft.get(o.id)
	if !exists {
		c.planNewClaim(p, o)
		return
	}
	answer := c.answerFromEntry(o, entry)
	stored, ok := c.table.Get(o.id)
	durable := ok && stored.Token == entry.Token && stored.Done == entry.Done
	final := answer.Decision == Granted || answer.Decision == Done
	switch {
	case durable && (final || o.seq <= c.viewSeq):
		c.finishClaim(o, answer)
	default:
		p.needsRead = true
		p.joinBatch(o, answer)
	}
}

// planNewClaim adds an entry for a claim whose key has none.
func (c *Core) planNewClaim(p *writePlan, o *operation) {
	e := Entry{
		ID: o.id, Token: o.token, Fingerprint: o.claim.Fingerprint,
		Date: o.claim.Date, Deadline: o.claim.Deadline,
	}
	if p.draft.sizeBound+e.maxEncodedBytes() > c.config.MaxBytes {
		c.planClaimOnFullTable(p, o)
		return
	}
	p.draft.set(e)
	p.needsWrite = true
	p.joinBatch(o, Answer{Decision: Granted})
}

// planClaimOnFullTable answers a claim with Full if the table has no space for
// it, but only once it is certain that the claim is not stored already. If a
// write of unknown result carried the claim, the plan needs a write: a write on
// the same base version shows whether the earlier one took effect.
func (c *Core) planClaimOnFullTable(p *writePlan, o *operation) {
	switch {
	case o.mayBeStored:
		p.needsWrite = true
	case o.seq > c.viewSeq:
		p.needsRead = true
	default:
		c.finishClaim(o, Answer{Decision: Full})
	}
}

// answerFromEntry returns the answer to a claim whose key has an entry.
func (c *Core) answerFromEntry(o *operation, entry Entry) Answer {
	switch {
	case entry.Token == o.token:
		return Answer{Decision: Granted}
	case entry.Fingerprint != o.claim.Fingerprint:
		return Answer{Decision: Mismatch}
	case entry.Done:
		return Answer{Decision: Done, Outcome: entry.Outcome}
	case entry.Deadline < o.claim.WallTime:
		return Answer{Decision: OutcomeUnknown}
	}
	return Answer{Decision: InProgress}
}

// planClaimOnUnusableObject answers a claim on an object that belongs to a
// later window or can't be decoded. Unreadable needs a view that is newer than
// the claim, because the object may have been repaired since the last read.
func (c *Core) planClaimOnUnusableObject(p *writePlan, o *operation) {
	switch {
	case c.superseded:
		c.finishClaim(o, Answer{Decision: TooOld})
	case o.seq > c.viewSeq:
		p.needsRead = true
	default:
		c.finishClaim(o, Answer{Decision: Unreadable})
	}
}

// planComplete plans the recording of an outcome. It reports that nothing was
// recorded if the claim's entry is gone.
func (c *Core) planComplete(p *writePlan, o *operation) {
	entry, exists := p.draft.get(o.id)
	switch {
	case (!exists || entry.Token != o.token) && o.seq > c.viewSeq:
		// Another host's Core may have stored the claim since the last read.
		p.needsRead = true
	case c.unreadable || c.superseded || !exists || entry.Token != o.token:
		// The claim was granted, so it was stored. The entry was removed when
		// its window ended.
		c.finishRecord(o, true)
	case entry.Done:
		c.finishRecord(o, false)
	default:
		entry.Done = true
		entry.Outcome = o.outcome
		p.draft.set(entry)
		p.needsWrite = true
		p.joinBatch(o, Answer{})
	}
}

// planGiveBack plans the removal of a claim's entry. Nothing has to be removed
// if the entry is certainly not stored.
func (c *Core) planGiveBack(p *writePlan, o *operation) {
	entry, exists := p.draft.get(o.id)
	isOwnClaim := exists && entry.Token == o.token && !entry.Done
	switch {
	case c.unreadable || c.superseded:
		c.finishRecord(o, true)
	case isOwnClaim:
		p.draft.remove(o.id)
		p.needsWrite = true
		p.joinBatch(o, Answer{})
	case c.unresolvedWrite:
		// The write that carried the claim may still take effect. Once any
		// write on the same base version has succeeded, it can't any more.
		p.needsWrite = true
		p.joinBatch(o, Answer{})
	case (!exists || entry.Token != o.token) && o.seq > c.viewSeq:
		p.needsRead = true
	default:
		c.finishRecord(o, false)
	}
}
