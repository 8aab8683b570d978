package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// worker carries out the effects of one shard.Core. An event is processed on the
// goroutine that passes it in. Each store call runs on a goroutine of its own,
// and the Core has at most one call in flight.
type worker struct {
	claimer  *Claimer
	object   string
	lastUsed atomic.Int64 // time of the last use since Claimer.startTime, a time.Duration

	mu            sync.Mutex
	core          *shard.Core
	stopped       bool
	timer         *time.Timer
	answerWaiters map[Token]chan<- shard.Answer
	recordWaiters map[Token]chan<- shard.RecordResult
}

// newWorker returns a worker for the named object, with a core that has not
// read it yet.
func newWorker(c *Claimer, object string, config shard.Config) *worker {
	return &worker{
		claimer:       c,
		object:        object,
		core:          shard.New(config),
		answerWaiters: make(map[Token]chan<- shard.Answer),
		recordWaiters: make(map[Token]chan<- shard.RecordResult),
	}
}

// claim makes a claim and waits for the answer. If ctx ends first the claim is
// abandoned, unless another host forwarded it: then that host gives it back.
func (w *worker) claim(ctx context.Context, e shard.Claim) shard.Answer {
	answered := make(chan shard.Answer, 1)
	w.mu.Lock()
	w.answerWaiters[e.Token] = answered
	w.stepLocked(e)
	w.mu.Unlock()
	select {
	case a := <-answered:
		return a
	case <-ctx.Done():
	}
	// If the claim was granted in the meantime it is given back, because
	// nothing is sent under its token.
	w.mu.Lock()
	delete(w.answerWaiters, e.Token)
	if !e.Forwarded {
		w.stepLocked(shard.Abandon{ID: e.ID, Token: e.Token})
	}
	w.mu.Unlock()
	return shard.Answer{Token: e.Token, Decision: shard.Refused, RetryAfter: w.claimer.config.Core.RetryMax}
}

// recordAndWait makes a Complete or GiveBack and waits until it is durable. If
// ctx ends first the work goes on in the background.
func (w *worker) recordAndWait(ctx context.Context, token Token, e shard.Event) error {
	done := make(chan shard.RecordResult, 1)
	w.mu.Lock()
	w.recordWaiters[token] = done
	w.stepLocked(e)
	w.mu.Unlock()
	select {
	case r := <-done:
		if r.NotRecorded {
			return errors.New("complete or give back a claim: nothing was changed in the store")
		}
		return nil
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.recordWaiters, token)
		w.mu.Unlock()
		return errors.Wrap(ctx.Err(), "complete or give back a claim")
	}
}

// step passes an event to the core and carries out its effects.
func (w *worker) step(e shard.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(e)
}

// stepLocked passes an event to the core and carries out its effects. The caller
// holds the lock.
func (w *worker) stepLocked(e shard.Event) {
	if w.stopped {
		return
	}
	for _, effect := range w.core.Step(w.claimer.sinceStart(), e) {
		w.execute(effect)
	}
}

// execute starts or carries out one effect of the core. The caller holds the
// lock.
func (w *worker) execute(effect shard.Effect) {
	switch f := effect.(type) {
	case shard.Read:
		w.claimer.tasks.Go(w.readObject)
	case shard.Write:
		w.claimer.tasks.Go(func() { w.writeObject(f) })
	case shard.Answer:
		w.deliverAnswer(f)
	case shard.RecordResult:
		w.deliverRecordResult(f)
	case shard.SetTimer:
		w.setTimer(f.At - w.claimer.sinceStart())
	}
}

// deliverAnswer passes an answer to the goroutine that waits for it, if any.
func (w *worker) deliverAnswer(a shard.Answer) {
	w.claimer.logDecision(a.Decision, w.object)
	if waiter, ok := w.answerWaiters[a.Token]; ok {
		delete(w.answerWaiters, a.Token)
		waiter <- a
	}
}

// deliverRecordResult passes the result of a Complete or GiveBack to the
// goroutine that waits for it, if any, and logs if nothing was recorded.
func (w *worker) deliverRecordResult(r shard.RecordResult) {
	if r.NotRecorded {
		logevent.OutcomeNotRecorded.Emit(w.claimer.logger, log.Fields{"object": w.object})
	}
	if waiter, ok := w.recordWaiters[r.Token]; ok {
		delete(w.recordWaiters, r.Token)
		waiter <- r
	}
}

// setTimer sends a Tick to the core after the given time. It replaces a timer
// that was set before.
func (w *worker) setTimer(after time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(after, func() { w.step(shard.Tick{}) })
		return
	}
	w.timer.Reset(after)
}

// readObject makes the store call of a Read effect and passes the result to the
// core.
func (w *worker) readObject() {
	object, err := w.claimer.store.Get(w.claimer.ctx, w.object)
	w.claimer.logStoreResult(err, w.object)
	w.step(shard.ReadDone{Result: storeResult(err), Version: object.Version, Value: object.Value})
}

// writeObject makes the store call of a Write effect and passes the result to
// the core.
func (w *worker) writeObject(e shard.Write) {
	object, err := w.claimer.store.Put(w.claimer.ctx, w.object, e.Value, e.BaseVersion)
	w.claimer.logStoreResult(err, w.object)
	w.step(shard.WriteDone{Result: storeResult(err), Version: object.Version})
}

// idle reports whether the core has no waiting operation and no store call in
// flight.
func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Idle()
}

// waiting returns the number of operations of the core that are not finished
// yet.
func (w *worker) waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Waiting()
}

// stop makes the worker ignore all further events.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// storeResult converts an error of the Store. A call that is not proven to have
// had no effect is Unknown. ErrTooLarge counts as Unavailable: the call had no
// effect, and the waiting claims are refused.
func storeResult(err error) shard.Result {
	switch {
	case err == nil:
		return shard.OK
	case errors.Is(err, platform.ErrNotFound):
		return shard.NotFound
	case errors.Is(err, platform.ErrConflict):
		return shard.Conflict
	case errors.Is(err, platform.ErrThrottled):
		return shard.Throttled
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		return shard.Unavailable
	}
	return shard.Unknown
}
