// Package claim makes sure that an action which may not be repeated is run at
// most once, whichever hosts its requests reach. A request claims its
// idempotency key in the platform's store before the action is sent; no other
// request can then claim the same key.
//
// The caller must keep these rules:
//   - It calls Claim first, and sends the action upstream only after the
//     decision Granted, at most once under the returned token.
//   - Afterwards it calls Complete with the outcome, or GiveBack if there is
//     proof that the action was not run. If neither is certain it calls
//     nothing, and the key stays claimed.
//   - After any other decision it does not send the action.
//
// Package shard makes the decisions. This package parses the keys, makes the
// store calls, holds the callers who wait for an answer, and forwards claims to
// the host that writes their object.
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

// workerIdleTime is the time for which the worker of an unused object is kept.
const workerIdleTime = time.Minute

// ErrClosed is returned by calls on a Claimer that was closed.
var ErrClosed = errors.New("the claimer is closed")

// Decision, Outcome and Token are the types of package shard.
type (
	// Decision is the answer to a claim.
	Decision = shard.Decision
	// Outcome is the recorded result of an action, with which repeated requests
	// are answered.
	Outcome = shard.Outcome
	// Token identifies the attempt that was granted the claim.
	Token = shard.Token
)

// Answer is the answer to Claim.
type Answer struct {
	Decision Decision
	// Token identifies the attempt, with Granted. Complete and GiveBack need it.
	Token Token
	// Outcome is the recorded outcome, with Done.
	Outcome Outcome
	// RetryAfter is the time after which another claim may succeed, with
	// Refused.
	RetryAfter time.Duration
}

// Claimer makes the claims of one process. It is safe for concurrent use.
type Claimer struct {
	config      Config
	store       platform.Store
	logger      log.Interface
	startTime   time.Time
	incarnation uint64
	attempts    atomic.Uint64
	storeDown   atomic.Bool
	layout      layoutReader

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup // the store calls and forwarded requests in progress

	mu        sync.Mutex
	closed    bool               // Close has begun; no call gets a worker any more
	workers   map[string]*worker // by object name and window
	lastSweep time.Duration      // time of the last removal of idle workers
	stopped   bool               // no forwarded request is started any more
	// avoidedUntil holds the address of each owner that did not answer, and the
	// time since startTime until which nothing is forwarded to it.
	avoidedUntil     map[string]time.Duration
	forwardsInFlight atomic.Int64 // messages to owners without an answer yet
}

// New returns a Claimer, or an error that names every problem of the
// configuration.
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
		config:       config,
		store:        store,
		logger:       logger,
		startTime:    time.Now(),
		incarnation:  binary.BigEndian.Uint64(incarnation[:]),
		ctx:          ctx,
		cancel:       cancel,
		workers:      make(map[string]*worker),
		avoidedUntil: make(map[string]time.Duration),
	}, nil
}

// Claim requests the right to run the action once. deadline is the end of the
// request's time limit; after it, other requests with the same key get the
// decision OutcomeUnknown instead of InProgress. Claim returns at deadline, at
// the end of ctx or after Config.Patience, whichever comes first.
func (c *Claimer) Claim(ctx context.Context, key Key, fingerprint uint64, deadline time.Time) Answer {
	waitTime := min(c.config.Patience, time.Until(deadline))
	ctx, cancel := context.WithTimeout(ctx, waitTime)
	defer cancel()
	layout, err := c.layout.get(ctx, c)
	if err != nil {
		return c.refusedAnswer()
	}
	now := time.Now()
	if decision, ok := c.checkDate(key, layout, now); !ok {
		return Answer{Decision: decision}
	}
	w, err := c.workerFor(key, layout)
	if err != nil {
		return c.refusedAnswer()
	}
	return c.requestClaim(ctx, w, key, c.newClaim(key, fingerprint, deadline, now, waitTime))
}

// newClaim returns the claim of a new attempt for the key.
func (c *Claimer) newClaim(key Key, fingerprint uint64, deadline, now time.Time, waitTime time.Duration) shard.Claim {
	token := Token{Incarnation: c.incarnation, Attempt: c.attempts.Add(1)}
	return shard.Claim{
		ID: key.id, Token: token, Fingerprint: fingerprint,
		Date: entryDate(key, now), Deadline: deadline.Unix(), WallTime: now.Unix(),
		WaitUntil: c.sinceStart() + waitTime,
	}
}

// refusedAnswer returns the answer to a claim that could not be made now.
func (c *Claimer) refusedAnswer() Answer {
	return Answer{Decision: shard.Refused, RetryAfter: c.config.Core.RetryMax}
}

// checkDate refuses keys whose date is outside the retention time by this
// host's clock, and reports whether the key is accepted. This only saves store
// calls: that a key is not run again after its retention time is ensured by the
// window recorded in each object.
func (c *Claimer) checkDate(key Key, layout Layout, now time.Time) (Decision, bool) {
	if !key.Dated() {
		return shard.Undated, c.config.AcceptUndated
	}
	date := time.Unix(key.date, 0)
	switch {
	case date.After(now.Add(c.config.MaxAhead)):
		return shard.TooNew, false
	case date.Before(now.Add(c.config.MaxAhead - layout.Retention())):
		return shard.TooOld, false
	}
	return 0, true
}

// entryDate returns the date to record for a key in Unix seconds: its own date,
// or the present if it has none.
func entryDate(key Key, now time.Time) int64 {
	if key.Dated() {
		return key.date
	}
	return now.Unix()
}

// Complete records the outcome of a granted claim. It returns at once. The
// outcome is written with the next batch, and the write is repeated until the
// store has it.
func (c *Claimer) Complete(key Key, token Token, outcome Outcome) {
	w, err := c.workerOfGrantedKey(key)
	if err != nil {
		logevent.OutcomeNotRecorded.Emit(c.logger, log.Fields{"object": ""})
		return
	}
	e := shard.Complete{ID: key.id, Token: token, Outcome: outcome}
	address := c.ownerAddress(w.object)
	if address == "" || !c.runInBackground(func() { c.forwardComplete(w, address, key, e) }) {
		w.step(e)
	}
}

// GiveBack removes a granted claim whose action was provably not run, so that
// the key can be claimed again. It waits until the removal is durable or ctx
// ends; in the second case the removal goes on in the background.
func (c *Claimer) GiveBack(ctx context.Context, key Key, token Token) error {
	w, err := c.workerOfGrantedKey(key)
	if err != nil {
		return err
	}
	e := shard.GiveBack{ID: key.id, Token: token}
	if address := c.ownerAddress(w.object); address != "" && c.forwardGiveBack(ctx, address, key, e) {
		return nil
	}
	return w.recordAndWait(ctx, token, e)
}

// workerOfGrantedKey returns the worker of a key that was granted before. The
// layout has then been read already, so the store is not asked for it.
func (c *Claimer) workerOfGrantedKey(key Key) (*worker, error) {
	layout, ok := c.layout.cached()
	if !ok {
		return nil, errors.New("the key was not granted by this process")
	}
	return c.workerFor(key, layout)
}

// sinceStart returns the present time as the time since startTime, which is the
// scale that shard.Core uses.
func (c *Claimer) sinceStart() time.Duration {
	return time.Since(c.startTime)
}

// workerFor returns the worker of the key's object, and creates it if there is
// none.
func (c *Claimer) workerFor(key Key, layout Layout) (*worker, error) {
	name, core := c.objectFor(key, layout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	c.removeIdleWorkers()
	id := fmt.Sprintf("%s@%d", name, core.Window)
	w, ok := c.workers[id]
	if !ok {
		w = newWorker(c, name, core)
		c.workers[id] = w
	}
	w.lastUsed.Store(int64(c.sinceStart()))
	return w, nil
}

// objectFor returns the name of the key's object and the configuration of its
// core.
func (c *Claimer) objectFor(key Key, layout Layout) (string, shard.Config) {
	core := c.config.Core
	n := binary.BigEndian.Uint64(key.id[:8]) % uint64(layout.Shards)
	if !key.Dated() {
		core.RetentionSeconds = int64(layout.Retention() / time.Second)
		return fmt.Sprintf("claims/undated/%03d", n), core
	}
	core.Window = uint64(key.date / layout.WindowSeconds)
	return fmt.Sprintf("claims/%05d/%03d", core.Window%layout.Slots, n), core
}

// removeIdleWorkers removes the workers that were not used for workerIdleTime
// and have nothing to do. The caller holds the lock. A goroutine that still has
// a removed worker may use it beside a new one of the same object, because the
// store's conditional writes decide between them.
func (c *Claimer) removeIdleWorkers() {
	now := c.sinceStart()
	if now-c.lastSweep < workerIdleTime {
		return
	}
	c.lastSweep = now
	for id, w := range c.workers {
		if now-time.Duration(w.lastUsed.Load()) > workerIdleTime && w.idle() {
			delete(c.workers, id)
		}
	}
}

// Waiting returns the number of claims, outcomes and given back claims that
// still wait for the store or for the answer of an owner.
func (c *Claimer) Waiting() int {
	n := int(c.forwardsInFlight.Load())
	for _, w := range c.allWorkers() {
		n += w.waiting()
	}
	return n
}

// allWorkers returns the present workers, in no order.
func (c *Claimer) allWorkers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		all = append(all, w)
	}
	return all
}

// closePollInterval is the interval at which Close checks whether all outcomes
// are recorded.
const closePollInterval = 5 * time.Millisecond

// Close waits until all outcomes are recorded or ctx ends, and then stops all
// store calls. From its start on, all further calls are refused, those of
// Complete and GiveBack too. It returns an error if ctx ended before all
// outcomes were recorded.
func (c *Claimer) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	var err error
	for remaining := c.Waiting(); remaining > 0 && err == nil; remaining = c.Waiting() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			err = errors.Wrapf(ctx.Err(), "record %d outcomes", remaining)
		}
	}
	c.cancel()
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for _, w := range c.allWorkers() {
		w.stop()
	}
	c.tasks.Wait()
	return err
}
