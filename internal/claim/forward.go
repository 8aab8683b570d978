package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// ErrNotSent is returned by Peers.Forward if the request was provably not
// delivered.
var ErrNotSent = errors.New("request to the owner was not sent")

// Peers forwards requests to the hosts that own shard objects; the owner of an
// object is the host that writes it. Hosts may disagree about the owner, and
// messages may be lost or late. A message that is delivered twice may leave a
// key claimed without an outcome, but never lets an action run twice.
type Peers interface {
	// Owner returns the address of the host that writes the object, or "" if it
	// is this host or if no owner is known. It must not block.
	Owner(object string) string
	// Forward passes r to Claimer.Serve on the host at address and returns the
	// reply. After any error other than ErrNotSent it is unknown whether r took
	// effect.
	Forward(ctx context.Context, address string, r Request) (Reply, error)
}

// RequestKind is the kind of a Request.
type RequestKind uint8

// The kinds of Request.
const (
	RequestClaim RequestKind = iota
	RequestComplete
	RequestGiveBack
)

// Request is a Claim, Complete or GiveBack that is forwarded to the owner of its
// shard object. It is sent to other hosts under the names of its fields.
type Request struct {
	Kind RequestKind
	// ID identifies the action, as in shard.ID.
	ID [16]byte
	// Date is the key's date or 0 if the key is undated, EntryDate the date to
	// record in the entry, and Deadline the end of the attempt's time limit,
	// all in Unix seconds.
	Date        int64
	EntryDate   int64
	Deadline    int64
	Token       Token
	Fingerprint uint64
	// Patience is the time for which the sender waits for the reply.
	Patience time.Duration
	// Outcome is the outcome to record, with RequestComplete.
	Outcome Outcome
}

// Reply is the reply to a Request. It is sent to other hosts under the names of
// its fields.
type Reply struct {
	// Decision, Outcome and RetryAfter answer a RequestClaim, as in Answer.
	Decision   Decision
	Outcome    Outcome
	RetryAfter time.Duration
	// NotStored is true if the claim is certainly not in the store, with
	// Refused.
	NotStored bool
	// Settled is true if the Complete or GiveBack is durable.
	Settled bool
}

// OwnerOf returns the owner of an object among the given hosts by rendezvous
// hashing, so that only the objects of a host change their owner when it joins
// or leaves.
func OwnerOf(object string, hosts []string) string {
	var owner string
	var highest uint64
	for _, host := range hosts {
		weight := xxhash.Sum64String(object + "\x00" + host)
		if owner == "" || weight > highest || weight == highest && host < owner {
			owner, highest = host, weight
		}
	}
	return owner
}

// Serve carries out a request that the Claimer of another host forwarded.
func (c *Claimer) Serve(ctx context.Context, r Request) Reply {
	refused := Reply{Decision: shard.Refused, RetryAfter: c.config.Core.RetryMax, NotStored: true}
	layout, err := c.layout.get(ctx, c)
	if err != nil {
		return refused
	}
	w, err := c.workerFor(Key{id: r.ID, date: r.Date}, layout)
	if err != nil {
		return refused
	}
	switch r.Kind {
	case RequestComplete:
		return Reply{Settled: w.recordAndWait(ctx, r.Token, shard.Complete{ID: r.ID, Token: r.Token, Outcome: r.Outcome}) == nil}
	case RequestGiveBack:
		return Reply{Settled: w.recordAndWait(ctx, r.Token, shard.GiveBack{ID: r.ID, Token: r.Token}) == nil}
	}
	a := w.claim(ctx, shard.Claim{
		ID: r.ID, Token: r.Token, Fingerprint: r.Fingerprint,
		Date: r.EntryDate, Deadline: r.Deadline, WallTime: time.Now().Unix(),
		WaitUntil: c.sinceStart() + r.Patience, Forwarded: true,
	})
	return Reply{Decision: a.Decision, Outcome: a.Outcome, RetryAfter: a.RetryAfter, NotStored: a.NotStored}
}

// ownerAddress returns the address of the object's owner to forward to, or "" if
// this host has to write the object itself: it is the owner, no owner is known,
// or the owner did not answer within the last Config.AvoidOwner.
func (c *Claimer) ownerAddress(object string) string {
	if c.config.Peers == nil {
		return ""
	}
	address := c.config.Peers.Owner(object)
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.avoidedUntil[address]; ok {
		if c.sinceStart() < until {
			return ""
		}
		delete(c.avoidedUntil, address)
	}
	return address
}

// avoidOwner makes this host forward nothing to the address for
// Config.AvoidOwner.
func (c *Claimer) avoidOwner(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[address] = c.sinceStart() + c.config.AvoidOwner
}

// runInBackground runs f on a goroutine that Close waits for. It reports false,
// and doesn't run f, if the Claimer has stopped.
func (c *Claimer) runInBackground(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.forwardsInFlight.Add(1)
	c.tasks.Go(func() {
		defer c.forwardsInFlight.Add(-1)
		f()
	})
	return true
}

// requestClaim makes the claim through the owner of the object, or on this host
// if there is no owner to forward to.
func (c *Claimer) requestClaim(ctx context.Context, w *worker, key Key, e shard.Claim) Answer {
	address := c.ownerAddress(w.object)
	if address == "" {
		return toAnswer(w.claim(ctx, e))
	}
	answered := make(chan shard.Answer, 1)
	callerGone := make(chan struct{})
	if !c.runInBackground(func() { c.forwardClaim(w, address, key, e, answered, callerGone) }) {
		return c.refusedAnswer()
	}
	select {
	case a := <-answered:
		return toAnswer(a)
	case <-ctx.Done():
		close(callerGone)
		return c.refusedAnswer()
	}
}

// toAnswer converts the answer of a core to the Answer for the caller of Claim.
func toAnswer(a shard.Answer) Answer {
	return Answer{Decision: a.Decision, Token: a.Token, Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// forwardClaim forwards the claim and passes the owner's answer to the caller.
// If the caller has left, a granted claim is given back.
func (c *Claimer) forwardClaim(w *worker, address string, key Key, e shard.Claim, answered chan<- shard.Answer, callerGone <-chan struct{}) {
	ctx, cancel := context.WithTimeout(c.ctx, e.WaitUntil-c.sinceStart())
	defer cancel()
	a := c.claimThroughOwner(ctx, w, address, key, e)
	select {
	case answered <- a:
	case <-callerGone:
		if a.Decision == shard.Granted {
			w.step(shard.GiveBack{ID: e.ID, Token: e.Token})
		}
	}
}

// claimThroughOwner forwards the claim to the owner and returns the answer. If
// the owner may have stored the claim but did not grant it, this host gives the
// claim back. Only if the request was provably not sent, this host makes the
// claim itself.
func (c *Claimer) claimThroughOwner(ctx context.Context, w *worker, address string, key Key, e shard.Claim) shard.Answer {
	reply, err := c.config.Peers.Forward(ctx, address, Request{
		Kind: RequestClaim, ID: e.ID, Date: key.date, EntryDate: e.Date, Deadline: e.Deadline,
		Token: e.Token, Fingerprint: e.Fingerprint, Patience: e.WaitUntil - c.sinceStart(),
	})
	if err != nil {
		c.avoidOwner(address)
		reply = Reply{Decision: shard.Refused, RetryAfter: c.config.Core.RetryMax}
	}
	if errors.Is(err, ErrNotSent) {
		return w.claim(ctx, e)
	}
	if reply.Decision == shard.Refused && !reply.NotStored {
		w.step(shard.Abandon{ID: e.ID, Token: e.Token})
	}
	return shard.Answer{Token: e.Token, Decision: reply.Decision, Outcome: reply.Outcome, RetryAfter: reply.RetryAfter}
}

// forwardComplete records an outcome through the owner. If the owner does not
// confirm it, this host records the outcome itself.
func (c *Claimer) forwardComplete(w *worker, address string, key Key, e shard.Complete) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.Patience)
	defer cancel()
	r := Request{Kind: RequestComplete, ID: e.ID, Date: key.date, Token: e.Token, Outcome: e.Outcome}
	if reply, err := c.config.Peers.Forward(ctx, address, r); err != nil || !reply.Settled {
		c.avoidOwner(address)
		w.step(e)
	}
}

// forwardGiveBack gives a claim back through the owner and reports whether the
// removal is durable.
func (c *Claimer) forwardGiveBack(ctx context.Context, address string, key Key, e shard.GiveBack) bool {
	r := Request{Kind: RequestGiveBack, ID: e.ID, Date: key.date, Token: e.Token}
	reply, err := c.config.Peers.Forward(ctx, address, r)
	if err != nil {
		c.avoidOwner(address)
	}
	return err == nil && reply.Settled
}
