package host

import (
	"context"
	"time"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/router"
)

// eventQueueLength is the number of events that may wait for the control
// thread.
const eventQueueLength = 8192

// Loop is the control thread of a host: Run steps the core, and no other
// goroutine uses the core.
type Loop struct {
	core         *router.Core
	clock        clock.Clock
	tickInterval time.Duration
	events       chan router.Event
	// inspections are functions to run on the control thread.
	inspections chan func(*router.Core)
	// ended is closed when Run returns.
	ended chan struct{}
	// execute carries out one effect without blocking.
	execute func(router.Effect)
}

// NewLoop returns a loop that steps a core with the time of the clock, and with
// a Tick every tickInterval. It passes the effects to execute, in order and on
// the control thread; execute must not block.
func NewLoop(core *router.Core, c clock.Clock, tickInterval time.Duration, execute func(router.Effect)) *Loop {
	return &Loop{
		core:         core,
		clock:        c,
		tickInterval: tickInterval,
		events:       make(chan router.Event, eventQueueLength),
		inspections:  make(chan func(*router.Core)),
		ended:        make(chan struct{}),
		execute:      execute,
	}
}

// Post passes an event to the control thread. It waits while the queue is full,
// and drops the event if the loop has ended.
func (l *Loop) Post(e router.Event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// Inspect runs a function on the control thread and waits until it has
// returned. It returns false without calling the function if the loop or the
// context ends before the control thread is free.
func (l *Loop) Inspect(ctx context.Context, f func(*router.Core)) bool {
	finished := make(chan struct{})
	inspect := func(c *router.Core) {
		f(c)
		close(finished)
	}
	select {
	case l.inspections <- inspect:
	case <-l.ended:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// Run steps the core until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(l.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case <-ticker.C:
			l.step(router.Tick{})
		case f := <-l.inspections:
			f(l.core)
		}
	}
}

// step passes one event to the core and executes the effects.
func (l *Loop) step(e router.Event) {
	for _, effect := range l.core.Step(l.clock.Now(), e) {
		l.execute(effect)
	}
}
