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

// worker carries out the effects of one shard.Core. Events are stepped on the
// goroutines that bring them; each store call has a goroutine of its own, and
// the Core has at most one call in flight.
type worker struct {
	claimer *Claimer
	object  string
	used    atomic.Int64 // time of the last use, a time.Duration

	mu       sync.Mutex
	core     *shard.Core
	stopped  bool
	timer    *time.Timer
	answers  map[Token]chan<- shard.Answer
	recorded map[Token]chan<- shard.Recorded
}

func newWorker(c *Claimer, object string, config shard.Config) *worker {
	return &worker{
		claimer:  c,
		object:   object,
		core:     shard.New(config),
		answers:  make(map[Token]chan<- shard.Answer),
		recorded: make(map[Token]chan<- shard.Recorded),
	}
}

// claim waits for the answer. When ctx ends first the claim is abandoned, but
// for a forwarded one, which its own host gives back.
func (w *worker) claim(ctx context.Context, e shard.Claim) shard.Answer {
	answered := make(chan shard.Answer, 1)
	w.mu.Lock()
	w.answers[e.Token] = answered
	w.locked(e)
	w.mu.Unlock()
	select {
	case a := <-answered:
		return a
	case <-ctx.Done():
	}
	// A grant that came in this moment is given back: nothing is sent under it.
	w.mu.Lock()
	delete(w.answers, e.Token)
	if !e.Forwarded {
		w.locked(shard.Abandon{ID: e.ID, Token: e.Token})
	}
	w.mu.Unlock()
	return shard.Answer{Token: e.Token, Decision: shard.Refused, RetryAfter: w.claimer.config.Core.RetryMax}
}

// settle waits until a Complete or GiveBack is durable. When ctx ends first it
// goes on in the background.
func (w *worker) settle(ctx context.Context, token Token, e shard.Event) error {
	done := make(chan shard.Recorded, 1)
	w.mu.Lock()
	w.recorded[token] = done
	w.locked(e)
	w.mu.Unlock()
	select {
	case r := <-done:
		if r.Lost {
			return errors.New("settle a claim: its record is gone")
		}
		return nil
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.recorded, token)
		w.mu.Unlock()
		return errors.Wrap(ctx.Err(), "settle a claim")
	}
}

func (w *worker) step(e shard.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.locked(e)
}

// locked steps the core and starts its effects; the caller holds the lock.
func (w *worker) locked(e shard.Event) {
	if w.stopped {
		return
	}
	for _, effect := range w.core.Step(w.claimer.now(), e) {
		w.perform(effect)
	}
}

func (w *worker) perform(effect shard.Effect) {
	switch f := effect.(type) {
	case shard.Read:
		w.claimer.calls.Go(w.read)
	case shard.Write:
		w.claimer.calls.Go(func() { w.write(f) })
	case shard.Answer:
		w.answer(f)
	case shard.Recorded:
		w.record(f)
	case shard.Wake:
		w.wake(f.At - w.claimer.now())
	}
}

func (w *worker) answer(a shard.Answer) {
	w.claimer.note(a.Decision, w.object)
	if waiter, ok := w.answers[a.Token]; ok {
		delete(w.answers, a.Token)
		waiter <- a
	}
}

func (w *worker) record(r shard.Recorded) {
	if r.Lost {
		logevent.OutcomeNotRecorded.Emit(w.claimer.logger, log.Fields{"object": w.object})
	}
	if waiter, ok := w.recorded[r.Token]; ok {
		delete(w.recorded, r.Token)
		waiter <- r
	}
}

func (w *worker) wake(after time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(after, func() { w.step(shard.Tick{}) })
		return
	}
	w.timer.Reset(after)
}

func (w *worker) read() {
	object, err := w.claimer.store.Get(w.claimer.ctx, w.object)
	w.claimer.observe(err, w.object)
	w.step(shard.ReadDone{Result: resultOf(err), Version: object.Version, Value: object.Value})
}

func (w *worker) write(e shard.Write) {
	object, err := w.claimer.store.Put(w.claimer.ctx, w.object, e.Value, e.Base)
	w.claimer.observe(err, w.object)
	w.step(shard.WriteDone{Result: resultOf(err), Version: object.Version})
}

func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Idle()
}

func (w *worker) waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Waiting()
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// resultOf maps a Store's error. What is not proven to be without effect is Unknown.
func resultOf(err error) shard.Result {
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
