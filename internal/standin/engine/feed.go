package engine

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// feed carries one work's progress from the step loop to the streams that
// deliver it. The text itself follows from the prompt's hash.
type feed struct {
	promptHash uint64
	// base is the index in the answer of the first token produced.
	base int

	// readers counts the connections that deliver or hold the work.
	readers atomic.Int64

	mu       sync.Mutex
	progress batch.Progress
	waiters  []chan struct{}
}

// Attached implements batch.Reader.
func (f *feed) Attached() bool { return f.readers.Load() > 0 }

// attach counts a connection until the function returned is called.
func (f *feed) attach() (detach func()) {
	f.readers.Add(1)
	return func() { f.readers.Add(-1) }
}

// Update implements batch.Observer. From then on tokens count from the
// answer's beginning.
func (f *feed) Update(p batch.Progress) {
	p.Produced += f.base
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress = p
	for _, w := range f.waiters {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (f *feed) now() batch.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// subscribe returns a channel that gets a value after each change.
func (f *feed) subscribe() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := make(chan struct{}, 1)
	f.waiters = append(f.waiters, w)
	return w
}

func (f *feed) unsubscribe(w chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.waiters {
		if other == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			return
		}
	}
}

// await returns when the progress satisfies done, or a context ends first.
func (f *feed) await(changed <-chan struct{}, done func(batch.Progress) bool, life, caller context.Context) (batch.Progress, bool) {
	for {
		if p := f.now(); done(p) {
			return p, true
		}
		select {
		case <-changed:
		case <-life.Done():
			return f.now(), false
		case <-caller.Done():
			return f.now(), false
		}
	}
}
