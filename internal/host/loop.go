package host

import (
	"context"
	"time"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/router"
)

// eventBuffer is how many events may wait for the control thread.
const eventBuffer = 8192

// Loop is the control thread.
type Loop struct {
	core   *router.Core
	clock  clock.Clock
	tick   time.Duration
	events chan router.Event
	calls  chan func(*router.Core)
	done   chan struct{}
	// execute carries out one effect without blocking.
	execute func(router.Effect)
}

// NewLoop returns a loop over a core. Effects go to execute, in order, on the
// control thread; execute must not block.
func NewLoop(core *router.Core, c clock.Clock, tick time.Duration, execute func(router.Effect)) *Loop {
	return &Loop{
		core:    core,
		clock:   c,
		tick:    tick,
		events:  make(chan router.Event, eventBuffer),
		calls:   make(chan func(*router.Core)),
		done:    make(chan struct{}),
		execute: execute,
	}
}

// Post hands an event to the control thread. It waits while the buffer is
// full and gives up when the loop has ended.
func (l *Loop) Post(e router.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Inspect runs a function on the control thread and waits for it. It returns
// false when the loop has ended.
func (l *Loop) Inspect(ctx context.Context, f func(*router.Core)) bool {
	finished := make(chan struct{})
	call := func(c *router.Core) {
		f(c)
		close(finished)
	}
	select {
	case l.calls <- call:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// Run steps the core until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case <-ticker.C:
			l.step(router.Tick{})
		case f := <-l.calls:
			f(l.core)
		}
	}
}

func (l *Loop) step(e router.Event) {
	for _, effect := range l.core.Step(l.clock.Now(), e) {
		l.execute(effect)
	}
}
