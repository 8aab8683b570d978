// Package claim makes sure that an action which may not be repeated is run at
// most once, whichever hosts its requests reach.
//
// The caller's contract: Claim first, and send the action upstream only after
// Granted, at most once under the token returned. Then either Complete with
// the outcome, or GiveBack if there is proof that it was not run; when neither
// is certain do nothing, and the key stays claimed. After any other decision
// nothing was run by this request. The decisions are made in package shard,
// here are the store calls, the callers who wait, and the keys.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// idleTime is how long the worker of an unused object is kept.
const idleTime = time.Minute

// ErrClosed says that the Claimer was closed.
var ErrClosed = errors.New("claims are closed")

// Decision, Outcome and Token are those of package shard.
type (
	// Decision is the answer to a claim.
	Decision = shard.Decision
	// Outcome is what a repeated request is answered with.
	Outcome = shard.Outcome
	// Token identifies the attempt that was granted.
	Token = shard.Token
)

// Answer ends a Claim.
type Answer struct {
	Decision Decision
	// Token is set with Granted.
	Token Token
	// Outcome is set with Done.
	Outcome Outcome
	// RetryAfter is set with Refused: when coming back can help.
	RetryAfter time.Duration
}

// Claimer makes claims for one process. It is safe for concurrent use.
type Claimer struct {
	config      Config
	store       platform.Store
	logger      log.Interface
	start       time.Time
	incarnation uint64
	attempts    atomic.Uint64
	storeDown   atomic.Bool
	layout      layoutReader

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	workers map[string]*worker
	swept   time.Duration
	stopped bool
	// avoided says until when an owner is not asked.
	avoided  map[string]time.Duration
	inFlight atomic.Int64 // messages to owners
}

// New returns a Claimer, or an error naming every problem of the configuration.
func New(config Config, store platform.Store, logger log.Interface) (*Claimer, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "check the configuration of claims")
	}
	var incarnation [8]byte
	if _, err := rand.Read(incarnation[:]); err != nil {
		return nil, errors.Wrap(err, "draw an incarnation number")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		config:      config,
		store:       store,
		logger:      logger,
		start:       time.Now(),
		incarnation: binary.BigEndian.Uint64(incarnation[:]),
		ctx:         ctx,
		cancel:      cancel,
		workers:     make(map[string]*worker),
		avoided:     make(map[string]time.Duration),
	}, nil
}

// Claim asks for the right to run the action once. limit is the request's time
// limit; after it other requests with the key are told that the outcome is
// unknown instead of in progress. Claim returns by limit, by the end of ctx or
// after Patience, whichever is first.
func (c *Claimer) Claim(ctx context.Context, key Key, fingerprint uint64, limit time.Time) Answer {
	patience := min(c.config.Patience, time.Until(limit))
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	layout, err := c.layout.get(ctx, c)
	if err != nil {
		return c.refused()
	}
	now := time.Now()
	if decision, ok := c.checkDate(key, layout, now); !ok {
		return Answer{Decision: decision}
	}
	w, err := c.worker(key, layout)
	if err != nil {
		return c.refused()
	}
	return c.ask(ctx, w, key, c.claimOf(key, fingerprint, limit, now, patience))
}

func (c *Claimer) claimOf(key Key, fingerprint uint64, limit, now time.Time, patience time.Duration) shard.Claim {
	token := Token{Incarnation: c.incarnation, Attempt: c.attempts.Add(1)}
	return shard.Claim{
		ID: key.id, Token: token, Fingerprint: fingerprint,
		Date: keyDate(key, now), Deadline: limit.Unix(), Wall: now.Unix(),
		Expires: c.now() + patience,
	}
}

func (c *Claimer) refused() Answer {
	return Answer{Decision: shard.Refused, RetryAfter: c.config.Core.RetryMax}
}

// checkDate refuses keys outside the memory by this host's clock. It spares
// store calls; the promise rests on the window recorded in each object.
func (c *Claimer) checkDate(key Key, layout Layout, now time.Time) (Decision, bool) {
	if !key.Dated() {
		return shard.Undated, c.config.AcceptUndated
	}
	date := time.Unix(key.date, 0)
	switch {
	case date.After(now.Add(c.config.MaxAhead)):
		return shard.TooNew, false
	case date.Before(now.Add(c.config.MaxAhead - layout.Memory())):
		return shard.TooOld, false
	}
	return 0, true
}

func keyDate(key Key, now time.Time) int64 {
	if key.Dated() {
		return key.date
	}
	return now.Unix()
}

// Complete records the outcome of a granted claim. It returns at once; the
// record is written with the next batch, and again until the store has it.
func (c *Claimer) Complete(key Key, token Token, outcome Outcome) {
	w, err := c.grantedWorker(key)
	if err != nil {
		logevent.OutcomeNotRecorded.Emit(c.logger, log.Fields{"object": ""})
		return
	}
	e := shard.Complete{ID: key.id, Token: token, Outcome: outcome}
	address := c.owner(w.object)
	if address == "" || !c.background(func() { c.forwardComplete(w, address, key, e) }) {
		w.step(e)
	}
}

// GiveBack frees the key of a granted claim that provably was not run. It
// waits until that is durable or ctx ends, and goes on in the background.
func (c *Claimer) GiveBack(ctx context.Context, key Key, token Token) error {
	w, err := c.grantedWorker(key)
	if err != nil {
		return err
	}
	e := shard.GiveBack{ID: key.id, Token: token}
	if address := c.owner(w.object); address != "" && c.forwardGiveBack(ctx, address, key, e) {
		return nil
	}
	return w.settle(ctx, token, e)
}

// grantedWorker is the worker of a key that was granted, so the layout is known.
func (c *Claimer) grantedWorker(key Key) (*worker, error) {
	layout, ok := c.layout.known()
	if !ok {
		return nil, errors.New("the key was not granted by this process")
	}
	return c.worker(key, layout)
}

func (c *Claimer) now() time.Duration {
	return time.Since(c.start)
}

// worker returns the worker of the key's object.
func (c *Claimer) worker(key Key, layout Layout) (*worker, error) {
	name, core := c.place(key, layout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	c.sweep()
	id := fmt.Sprintf("%s@%d", name, core.Window)
	w, ok := c.workers[id]
	if !ok {
		w = newWorker(c, name, core)
		c.workers[id] = w
	}
	w.used.Store(int64(c.now()))
	return w, nil
}

// place gives the name of the key's object and its core's configuration.
func (c *Claimer) place(key Key, layout Layout) (string, shard.Config) {
	core := c.config.Core
	n := binary.BigEndian.Uint64(key.id[:8]) % uint64(layout.Shards)
	if !key.Dated() {
		core.KeepSeconds = int64(layout.Memory() / time.Second)
		return fmt.Sprintf("claims/undated/%03d", n), core
	}
	core.Window = uint64(key.date / layout.WindowSeconds)
	return fmt.Sprintf("claims/%05d/%03d", core.Window%layout.Slots, n), core
}

// sweep drops workers that nobody uses; the caller holds the lock. Whoever
// still has one may go on with it beside a new one: the store decides.
func (c *Claimer) sweep() {
	now := c.now()
	if now-c.swept < idleTime {
		return
	}
	c.swept = now
	for id, w := range c.workers {
		if now-time.Duration(w.used.Load()) > idleTime && w.idle() {
			delete(c.workers, id)
		}
	}
}

// Waiting is the number of claims and records that the store does not have yet.
func (c *Claimer) Waiting() int {
	n := int(c.inFlight.Load())
	for _, w := range c.all() {
		n += w.waiting()
	}
	return n
}

func (c *Claimer) all() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		all = append(all, w)
	}
	return all
}

// closePoll is how often Close looks whether all is recorded.
const closePoll = 5 * time.Millisecond

// Close waits until all outcomes are recorded or ctx ends, and stops all store
// calls. New claims are refused from its start.
func (c *Claimer) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	var err error
	for left := c.Waiting(); left > 0 && err == nil; left = c.Waiting() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			err = errors.Wrapf(ctx.Err(), "record %d outcomes", left)
		}
	}
	c.cancel()
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for _, w := range c.all() {
		w.stop()
	}
	c.calls.Wait()
	return err
}
