package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/service"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

// Config holds the parameters of an Executor.
type Config struct {
	// Owner is attached to all work sent to engines until SetIncarnation changes
	// the incarnation.
	Owner engine.Owner
	// SilenceTimeout is the longest time without data that is accepted between
	// two pieces of a stream.
	SilenceTimeout time.Duration
	// Metrics receives the times that requests wait; docs/METRICS.md lists the
	// metrics.
	Metrics *telemetry.Registry
	// ControlTimeout bounds the time of a reservation and of a cancel.
	ControlTimeout time.Duration
}

// Executor carries out the effects of the dispatch core.
type Executor struct {
	cfg      Config
	clock    clock.Clock
	engines  engine.Client
	services service.Client
	guard    ActionGuard
	// postEvent posts an event to the control thread.
	postEvent func(dispatch.Event)

	// owner is attached to all work sent to engines.
	owner atomic.Pointer[engine.Owner]

	mu sync.Mutex
	// exchanges maps request ids to the exchanges in flight.
	exchanges  map[string]*Exchange
	goroutines sync.WaitGroup
}

// NewExecutor returns an executor that posts its events with postEvent. With a
// nil guard, actions that may not be repeated are sent without a claim.
func NewExecutor(cfg Config, c clock.Clock, engines engine.Client, services service.Client, guard ActionGuard, postEvent func(dispatch.Event)) *Executor {
	e := &Executor{
		cfg:       cfg,
		clock:     c,
		engines:   engines,
		services:  services,
		guard:     guard,
		postEvent: postEvent,
		exchanges: make(map[string]*Exchange),
	}
	e.owner.Store(&cfg.Owner)
	return e
}

// SetIncarnation changes the incarnation that is attached to all later work.
func (e *Executor) SetIncarnation(incarnation uint64) {
	e.owner.Store(&engine.Owner{Host: e.cfg.Owner.Host, Incarnation: incarnation})
}

// Register adds an exchange. It must be called before the exchange's Arrived
// event is posted.
func (e *Executor) Register(x *Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[x.ID] = x
}

// exchange returns the exchange of a request; nil if there is none.
func (e *Executor) exchange(id string) *Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exchanges[id]
}

// removeExchange removes the exchange of a request and returns it; nil if there
// is none.
func (e *Executor) removeExchange(id string) *Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exchanges[id]
	delete(e.exchanges, id)
	return x
}

// Wait returns once all attempts and control calls that were started so far have
// ended.
func (e *Executor) Wait() {
	e.goroutines.Wait()
}

// Execute carries out one effect. It returns without waiting for calls to
// upstreams.
func (e *Executor) Execute(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Refuse:
		e.refuseRequest(f)
	case dispatch.Fail:
		e.failRequest(f)
	case dispatch.Send:
		e.runAsync(func() { e.sendRequest(f) })
	case dispatch.Resume:
		e.runAsync(func() { e.resumeStream(f) })
	case dispatch.Reserve:
		e.runAsync(func() { e.reserveMemory(f) })
	case dispatch.Call:
		e.runAsync(func() { e.startServiceCall(f) })
	case dispatch.Cancel:
		e.runAsync(func() { e.cancelWork(f) })
	case dispatch.Drop:
		e.dropAttempt(f)
	case dispatch.Done:
		e.completeRequest(f)
	}
}

// runAsync runs a function in a goroutine that Wait waits for.
func (e *Executor) runAsync(work func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		work()
	}()
}

// refuseRequest ends a request that was not admitted.
func (e *Executor) refuseRequest(effect dispatch.Refuse) {
	x := e.removeExchange(effect.ID)
	if x == nil {
		return
	}
	x.finish(Result{Code: effect.Code, Outcome: dispatch.OutcomeNotRun, RetryAfter: effect.RetryAfter, Refused: true})
}

// failRequest gives the caller the final result of a failed request. The exchange
// stays registered until the Done effect.
func (e *Executor) failRequest(effect dispatch.Fail) {
	x := e.exchange(effect.ID)
	if x == nil {
		return
	}
	x.finish(x.failureResult(effect))
}

// dropAttempt stops an attempt whose answer is no longer wanted.
func (e *Executor) dropAttempt(effect dispatch.Drop) {
	if x := e.exchange(effect.ID); x != nil {
		x.dropAttempt(effect.Attempt)
	}
}

// completeRequest removes an exchange. If no failure was reported before, the
// request was answered completely.
func (e *Executor) completeRequest(effect dispatch.Done) {
	if x := e.removeExchange(effect.ID); x != nil {
		x.finish(x.successResult())
	}
}

// reserveMemory reserves KV memory on one engine and reports whether that
// succeeded.
func (e *Executor) reserveMemory(effect dispatch.Reserve) {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ControlTimeout)
	defer cancel()
	err := e.engines.Reserve(ctx, effect.Address, engine.Reservation{
		Work:     engine.WorkID{Request: effect.ID, Attempt: effect.Attempt},
		Owner:    *e.owner.Load(),
		Tokens:   effect.MemoryTokens,
		Deadline: e.clock.ToWall(effect.Deadline),
	})
	e.postEvent(dispatch.Reserved{ID: effect.ID, Attempt: effect.Attempt, Upstream: effect.Upstream, FailureClass: engineFailureClass(err)})
}

// cancelWork cancels an attempt on one engine. An engine that does not know the
// work confirms the cancel too.
func (e *Executor) cancelWork(effect dispatch.Cancel) {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ControlTimeout)
	defer cancel()
	err := e.engines.Cancel(ctx, effect.Address, engine.WorkID{Request: effect.ID, Attempt: effect.Attempt})
	confirmed := err == nil || errors.Is(err, engine.ErrNoSuchWork)
	e.postEvent(dispatch.Cancelled{Upstream: effect.Upstream, ID: effect.ID, Attempt: effect.Attempt, Confirmed: confirmed})
}

// engineFailureClass maps an error of the engine client to what it proves about the
// attempt. It returns an empty class for nil.
func engineFailureClass(err error) dispatch.FailureClass {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, engine.ErrNoMemory):
		return dispatch.FailureNoMemory
	case errors.Is(err, engine.ErrNotRun):
		return dispatch.FailureNotRun
	case errors.Is(err, engine.ErrFailed):
		return dispatch.FailureReported
	default:
		return dispatch.FailureOutcomeUnknown
	}
}
