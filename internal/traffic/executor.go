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
	// Owner is put on every piece of work at first.
	Owner engine.Owner
	// SilenceTimeout is how long a stream may be silent between pieces.
	SilenceTimeout time.Duration
	// Metrics takes the times that requests wait; docs/METRICS.md names them.
	Metrics *telemetry.Registry
	// ControlTimeout bounds a reservation and a cancel.
	ControlTimeout time.Duration
}

// Executor carries out the effects of the dispatch core.
type Executor struct {
	cfg      Config
	clock    clock.Clock
	engines  engine.Client
	services service.Client
	guard    ActionGuard
	// report hands an event to the control thread.
	report func(dispatch.Event)

	// owner is put on every piece of work.
	owner atomic.Pointer[engine.Owner]

	mu        sync.Mutex
	exchanges map[string]*Exchange
	running   sync.WaitGroup
}

// NewExecutor returns an executor that hands its events to report.
func NewExecutor(cfg Config, c clock.Clock, engines engine.Client, services service.Client, guard ActionGuard, report func(dispatch.Event)) *Executor {
	e := &Executor{
		cfg:       cfg,
		clock:     c,
		engines:   engines,
		services:  services,
		guard:     guard,
		report:    report,
		exchanges: make(map[string]*Exchange),
	}
	e.owner.Store(&cfg.Owner)
	return e
}

// SetIncarnation changes the incarnation on all later work.
func (e *Executor) SetIncarnation(incarnation uint64) {
	e.owner.Store(&engine.Owner{Host: e.cfg.Owner.Host, Incarnation: incarnation})
}

// Register registers an exchange; call it before its Arrived event is posted.
func (e *Executor) Register(x *Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[x.ID] = x
}

func (e *Executor) exchange(id string) *Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exchanges[id]
}

func (e *Executor) close(id string) *Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exchanges[id]
	delete(e.exchanges, id)
	return x
}

// Wait returns when all traffic started so far has ended.
func (e *Executor) Wait() {
	e.running.Wait()
}

// Execute carries out one effect without waiting for it.
func (e *Executor) Execute(effect dispatch.Effect) {
	switch f := effect.(type) {
	case dispatch.Refuse:
		e.refuse(f)
	case dispatch.Fail:
		e.fail(f)
	case dispatch.Send:
		e.spawn(func() { e.send(f) })
	case dispatch.Resume:
		e.spawn(func() { e.resume(f) })
	case dispatch.Reserve:
		e.spawn(func() { e.reserve(f) })
	case dispatch.Call:
		e.spawn(func() { e.call(f) })
	case dispatch.Cancel:
		e.spawn(func() { e.cancel(f) })
	case dispatch.Drop:
		e.drop(f)
	case dispatch.Done:
		e.done(f)
	}
}

func (e *Executor) spawn(work func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		work()
	}()
}

func (e *Executor) refuse(f dispatch.Refuse) {
	x := e.close(f.ID)
	if x == nil {
		return
	}
	x.finish(Result{Code: f.Code, Outcome: dispatch.OutcomeNotRun, RetryAfter: f.RetryAfter, Refused: true})
}

func (e *Executor) fail(f dispatch.Fail) {
	x := e.exchange(f.ID)
	if x == nil {
		return
	}
	x.finish(x.failure(f))
}

func (e *Executor) drop(f dispatch.Drop) {
	if x := e.exchange(f.ID); x != nil {
		x.drop(f.Attempt)
	}
}

// done closes an exchange; one without a failure was answered whole.
func (e *Executor) done(f dispatch.Done) {
	if x := e.close(f.ID); x != nil {
		x.finish(x.success())
	}
}

func (e *Executor) reserve(f dispatch.Reserve) {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ControlTimeout)
	defer cancel()
	err := e.engines.Reserve(ctx, f.Address, engine.Reservation{
		Work:     engine.WorkID{Request: f.ID, Attempt: f.Attempt},
		Owner:    *e.owner.Load(),
		Tokens:   f.MemoryTokens,
		Deadline: e.clock.ToWall(f.Deadline),
	})
	e.report(dispatch.Reserved{ID: f.ID, Attempt: f.Attempt, Upstream: f.Upstream, FailureClass: engineClass(err)})
}

func (e *Executor) cancel(f dispatch.Cancel) {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ControlTimeout)
	defer cancel()
	err := e.engines.Cancel(ctx, f.Address, engine.WorkID{Request: f.ID, Attempt: f.Attempt})
	ok := err == nil || errors.Is(err, engine.ErrNoSuchWork)
	e.report(dispatch.Cancelled{Upstream: f.Upstream, ID: f.ID, Attempt: f.Attempt, Confirmed: ok})
}

// engineClass maps an engine client's error to what is known of the attempt.
func engineClass(err error) dispatch.FailureClass {
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
