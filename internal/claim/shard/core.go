// Package shard decides claims on actions that may run at most once. A claim
// is the durable right of one attempt to run the action of an idempotency key.
// The claims are spread over shard objects of the platform's store; each object
// holds a Table with one Entry for each claimed key.
//
// A Core serves one shard object for one host. It is a state machine without
// input, output or a clock: Step takes an Event and returns the Effects that
// the caller has to carry out. The Core collects the claims, outcomes and
// given back claims that arrive during a store call and sends them together in
// one conditional write, and it has at most one store call in flight.
//
// The caller must keep these rules:
//   - It carries out every Read and Write effect and passes the result to Step.
//   - It reports the result of a write as Unknown unless the result is proven.
//   - It uses a token again only for the same attempt through another host's
//     Core (see Claim.Forwarded).
//   - It sends Complete and GiveBack only after a Granted answer, and GiveBack
//     only with proof that the action was not run.
//
// Any number of Cores on any hosts may serve the same object. That an action
// runs at most once does not depend on clocks: a Core that is paused for any
// time, or lost, leaves claims behind, and no other attempt takes them over.
package shard

import (
	"slices"
	"time"
)

// Config configures a Core.
type Config struct {
	// Window is the number of the time window whose keys the object holds; a
	// key belongs to the window that contains the key's date. Objects are
	// reused for later windows: if the stored object belongs to a later window,
	// the Core answers claims with TooOld; if it belongs to an earlier window,
	// the Core starts with an empty table.
	Window uint64
	// RetentionSeconds, if not 0, is the time in seconds after which an entry
	// is removed, counted from its date. All keys then belong to one window
	// without end. It must exceed the time within which callers repeat a
	// request, and the differences between the hosts' clocks must be much
	// smaller than it.
	RetentionSeconds int64
	// MaxBytes is the maximum size of the object in bytes. A larger value lets
	// a window hold more keys, and each write carries more bytes.
	MaxBytes int
	// Pace is the minimum time between the starts of two writes. A longer time
	// makes larger batches and fewer writes, and claims wait longer.
	Pace time.Duration
	// RetryMin and RetryMax are the shortest and the longest wait after a
	// failed store call. The wait doubles with each further failure. Shorter
	// waits recover sooner and put more load on a failing store.
	RetryMin time.Duration
	RetryMax time.Duration
	// MaxQueue is the number of waiting operations from which on the Core
	// refuses new claims. Outcomes and given back claims are taken up to twice
	// that number.
	MaxQueue int
}

// DefaultConfig returns a Config for window 0, with values for the present
// number of hosts and actions.
func DefaultConfig() Config {
	return Config{
		MaxBytes: 1<<20 - 1<<12, // 4 KiB below the store's limit for a value
		Pace:     20 * time.Millisecond,
		RetryMin: 20 * time.Millisecond,
		RetryMax: time.Second,
		MaxQueue: 10000,
	}
}

// callState is the kind of store call that is in flight.
type callState uint8

const (
	noCall callState = iota
	readInFlight
	writeInFlight
)

// Core decides the claims of one shard object for one host. It is not safe for
// concurrent use.
type Core struct {
	config   Config
	wallTime int64 // the latest wall-clock time of any claim, in Unix seconds
	pending  []*operation
	eventSeq uint64 // number of events so far, used to order them with reads and writes

	// These fields hold the object as this Core last read or wrote it; they
	// count only while viewValid is set. The object had this content at some
	// time after all events with numbers up to viewSeq had arrived.
	viewValid  bool
	version    uint64
	table      *Table
	superseded bool // the object belongs to a later window
	unreadable bool // the object's content can't be decoded
	viewSeq    uint64

	call          callState
	inFlightDraft *draft // the content of the write in flight
	callSeq       uint64 // eventSeq when the call in flight started

	// unresolvedWrite is true while a write of unknown result may still take
	// effect. It can as long as the object has the version unresolvedBase.
	unresolvedWrite bool
	unresolvedBase  uint64

	failures    int           // failed store calls since the last success
	retryAt     time.Duration // no store call starts earlier, because the last one failed
	storeDown   bool          // the last call found the store unavailable
	nextWriteAt time.Duration // no store call starts earlier, to keep Config.Pace
	effects     []Effect
}

// New returns a Core that has not read its object yet.
func New(config Config) *Core {
	return &Core{config: config}
}

// Idle reports whether no operation is waiting and no store call is in flight,
// so that the Core may be discarded.
func (c *Core) Idle() bool {
	return len(c.pending) == 0 && c.call == noCall
}

// Waiting returns the number of operations that are not finished yet.
func (c *Core) Waiting() int {
	return len(c.pending)
}

// Step processes one event and returns the effects that the caller must carry
// out. now is the time since a fixed start that the caller chooses.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	c.eventSeq++
	switch e := event.(type) {
	case Claim:
		c.enqueueClaim(now, e)
	case Complete:
		e.Outcome = e.Outcome.withinLimits()
		c.enqueue(&operation{kind: completeOperation, id: e.ID, token: e.Token, outcome: e.Outcome})
	case GiveBack:
		c.enqueue(&operation{kind: giveBackOperation, id: e.ID, token: e.Token})
	case Abandon:
		c.abandon(e)
	case ReadDone:
		c.handleReadDone(now, e)
	case WriteDone:
		c.handleWriteDone(now, e)
	}
	c.advance(now)
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// enqueueClaim queues a claim, or refuses it at once if the queue is full or
// the store was found unavailable and the wait for the next call is not over.
func (c *Core) enqueueClaim(now time.Duration, e Claim) {
	c.wallTime = max(c.wallTime, e.WallTime)
	if len(c.pending) >= c.config.MaxQueue || c.storeDown && now < c.retryAt {
		c.emit(Answer{Token: e.Token, Decision: Refused, RetryAfter: c.retryAfter(now), NotStored: true})
		return
	}
	c.pending = append(c.pending, &operation{kind: claimOperation, id: e.ID, token: e.Token, claim: e, seq: c.eventSeq})
}

// enqueue queues a Complete or GiveBack, for which the queue has twice the
// space that it has for claims.
func (c *Core) enqueue(o *operation) {
	if len(c.pending) >= 2*c.config.MaxQueue {
		c.emit(RecordResult{Token: o.token, NotRecorded: true})
		return
	}
	o.seq = c.eventSeq
	c.pending = append(c.pending, o)
}

// abandon handles a claim whose answer nobody waits for. A claim that is
// certainly not in the store is removed from the queue; one that is or may be
// stored is given back.
func (c *Core) abandon(e Abandon) {
	for i, o := range c.pending {
		if o.kind != claimOperation || o.token != e.Token {
			continue
		}
		if o.inWrite || o.mayBeStored {
			o.abandoned = true
			return
		}
		c.pending = slices.Delete(c.pending, i, i+1)
		return
	}
	c.enqueue(&operation{kind: giveBackOperation, id: e.ID, token: e.Token})
}

// advance refuses the claims whose callers have stopped waiting, and starts the
// next store call if operations are waiting, no call is in flight, and neither
// a retry wait nor the pace forbids it.
func (c *Core) advance(now time.Duration) {
	c.refuseTimedOut(now)
	if c.call == noCall && len(c.pending) > 0 && now >= c.retryAt && now >= c.nextWriteAt {
		c.startCall(now)
	}
	c.setTimer(now)
}

// startCall starts a read or a write if the waiting operations need one.
func (c *Core) startCall(now time.Duration) {
	if !c.viewValid {
		c.startRead()
		return
	}
	p := c.planWrite()
	c.removeFinished()
	switch {
	case p.needsWrite:
		c.startWrite(now, p)
	case p.needsRead:
		c.startRead()
	}
}

// startRead requests a read of the object.
func (c *Core) startRead() {
	c.call = readInFlight
	c.callSeq = c.eventSeq
	c.emit(Read{})
}

// startWrite requests the write of the planned draft, and marks the operations
// that it carries.
func (c *Core) startWrite(now time.Duration, p writePlan) {
	for _, o := range p.batch {
		o.inWrite = true
	}
	c.call = writeInFlight
	c.callSeq = c.eventSeq
	c.inFlightDraft = p.draft
	c.nextWriteAt = now + c.config.Pace
	c.emit(Write{Value: p.draft.encode(), BaseVersion: c.version})
}

// setTimer requests a Tick for the next time at which the Core has to act
// without another event: when a claim's caller stops waiting, or when the next
// store call may start.
func (c *Core) setTimer(now time.Duration) {
	var at time.Duration
	consider := func(t time.Duration) {
		if t > now && (at == 0 || t < at) {
			at = t
		}
	}
	for _, o := range c.pending {
		if o.kind == claimOperation && !o.refused {
			consider(o.claim.WaitUntil)
		}
	}
	if len(c.pending) > 0 && c.call == noCall {
		consider(c.retryAt)
		consider(c.nextWriteAt)
	}
	if at > 0 {
		c.emit(SetTimer{At: at})
	}
}
