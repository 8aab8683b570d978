package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// ErrNotSent is returned by Peers.Forward when the request was provably not delivered.
var ErrNotSent = errors.New("request to the owner was not sent")

// Peers is the way to the hosts that write shard objects. Hosts may disagree
// about owners, and messages may be
// lost or late. One that is delivered twice may leave a key blocked, never run twice.
type Peers interface {
	// Owner returns the address of the host that writes the object, or "" for
	// this host or if none is known. It must not block.
	Owner(object string) string
	// Forward brings r to Serve of the Claimer at address. Any error but
	// ErrNotSent leaves open whether r took effect.
	Forward(ctx context.Context, address string, r Request) (Reply, error)
}

// RequestKind is what a Request asks for.
type RequestKind uint8

// The kinds of Request.
const (
	RequestClaim RequestKind = iota
	RequestComplete
	RequestGiveBack
)

// Request is a Claim, Complete or GiveBack on its way to a shard's owner.
type Request struct {
	Kind RequestKind
	ID   [16]byte
	// Date is the key's date, 0 if undated, EntryDate that of its record, and
	// Deadline the attempt's time limit, all in Unix seconds.
	Date        int64
	EntryDate   int64
	Deadline    int64
	Token       Token
	Fingerprint uint64
	// Patience is how long the sender waits.
	Patience time.Duration
	Outcome  Outcome
}

// Reply answers a Request.
type Reply struct {
	Decision   Decision
	Outcome    Outcome
	RetryAfter time.Duration
	// NotStored goes with Refused when the claim is certainly not in the store.
	NotStored bool
	// Settled says that a Complete or GiveBack is durable.
	Settled bool
}

// OwnerOf picks the owner of an object among hosts by rendezvous hashing, so
// that a host that comes or goes moves only its own objects.
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

// Serve carries out a request of another host's Claimer.
func (c *Claimer) Serve(ctx context.Context, r Request) Reply {
	refused := Reply{Decision: shard.Refused, RetryAfter: c.config.Core.RetryMax, NotStored: true}
	layout, err := c.layout.get(ctx, c)
	if err != nil {
		return refused
	}
	w, err := c.worker(Key{id: r.ID, date: r.Date}, layout)
	if err != nil {
		return refused
	}
	switch r.Kind {
	case RequestComplete:
		return Reply{Settled: w.settle(ctx, r.Token, shard.Complete{ID: r.ID, Token: r.Token, Outcome: r.Outcome}) == nil}
	case RequestGiveBack:
		return Reply{Settled: w.settle(ctx, r.Token, shard.GiveBack{ID: r.ID, Token: r.Token}) == nil}
	}
	a := w.claim(ctx, shard.Claim{
		ID: r.ID, Token: r.Token, Fingerprint: r.Fingerprint,
		Date: r.EntryDate, Deadline: r.Deadline, Wall: time.Now().Unix(),
		Expires: c.now() + r.Patience, Forwarded: true,
	})
	return Reply{Decision: a.Decision, Outcome: a.Outcome, RetryAfter: a.RetryAfter, NotStored: a.NotStored}
}

// owner is the address to forward to, or "".
func (c *Claimer) owner(object string) string {
	if c.config.Peers == nil {
		return ""
	}
	address := c.config.Peers.Owner(object)
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.avoided[address]; ok {
		if c.now() < until {
			return ""
		}
		delete(c.avoided, address)
	}
	return address
}

func (c *Claimer) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = c.now() + c.config.AvoidOwner
}

// background runs f on a goroutine that Close waits for.
func (c *Claimer) background(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.inFlight.Add(1)
	c.calls.Go(func() {
		defer c.inFlight.Add(-1)
		f()
	})
	return true
}

// ask makes the claim through the owner, or here if there is none.
func (c *Claimer) ask(ctx context.Context, w *worker, key Key, e shard.Claim) Answer {
	address := c.owner(w.object)
	if address == "" {
		return answerOf(w.claim(ctx, e))
	}
	answered := make(chan shard.Answer, 1)
	left := make(chan struct{})
	if !c.background(func() { c.forwardClaim(w, address, key, e, answered, left) }) {
		return c.refused()
	}
	select {
	case a := <-answered:
		return answerOf(a)
	case <-ctx.Done():
		close(left)
		return c.refused()
	}
}

func answerOf(a shard.Answer) Answer {
	return Answer{Decision: a.Decision, Token: a.Token, Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// forwardClaim hands the owner's answer to the caller. A grant that nobody
// takes is given back.
func (c *Claimer) forwardClaim(w *worker, address string, key Key, e shard.Claim, answered chan<- shard.Answer, left <-chan struct{}) {
	ctx, cancel := context.WithTimeout(c.ctx, e.Expires-c.now())
	defer cancel()
	a := c.viaOwner(ctx, w, address, key, e)
	select {
	case answered <- a:
	case <-left:
		if a.Decision == shard.Granted {
			w.step(shard.GiveBack{ID: e.ID, Token: e.Token})
		}
	}
}

// viaOwner asks the owner. What it may have stored without saying so is given
// back from here; only a request that never left is made here instead.
func (c *Claimer) viaOwner(ctx context.Context, w *worker, address string, key Key, e shard.Claim) shard.Answer {
	reply, err := c.config.Peers.Forward(ctx, address, Request{
		Kind: RequestClaim, ID: e.ID, Date: key.date, EntryDate: e.Date, Deadline: e.Deadline,
		Token: e.Token, Fingerprint: e.Fingerprint, Patience: e.Expires - c.now(),
	})
	if err != nil {
		c.avoid(address)
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

// forwardComplete records an outcome through the owner, or else from here.
func (c *Claimer) forwardComplete(w *worker, address string, key Key, e shard.Complete) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.Patience)
	defer cancel()
	r := Request{Kind: RequestComplete, ID: e.ID, Date: key.date, Token: e.Token, Outcome: e.Outcome}
	if reply, err := c.config.Peers.Forward(ctx, address, r); err != nil || !reply.Settled {
		c.avoid(address)
		w.step(e)
	}
}

// forwardGiveBack gives a claim back through the owner and reports whether that is durable.
func (c *Claimer) forwardGiveBack(ctx context.Context, address string, key Key, e shard.GiveBack) bool {
	r := Request{Kind: RequestGiveBack, ID: e.ID, Date: key.date, Token: e.Token}
	reply, err := c.config.Peers.Forward(ctx, address, r)
	if err != nil {
		c.avoid(address)
	}
	return err == nil && reply.Settled
}
