package engine

import (
	"sync"

	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// feed carries one work's progress from the step loop to the streams that
// deliver it. The text itself follows from the prompt's hash.
type feed struct {
	promptHash uint64

	mu       sync.Mutex
	progress batch.Progress
	waiters  []chan struct{}
}

// Update implements batch.Observer.
func (f *feed) Update(p batch.Progress) {
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

// await returns when the progress satisfies done, or stop closes first.
func (f *feed) await(done func(batch.Progress) bool, stops ...<-chan struct{}) (batch.Progress, bool) {
	w := f.subscribe()
	defer f.unsubscribe(w)
	var first, second <-chan struct{}
	if len(stops) > 0 {
		first = stops[0]
	}
	if len(stops) > 1 {
		second = stops[1]
	}
	for {
		if p := f.now(); done(p) {
			return p, true
		}
		select {
		case <-w:
		case <-first:
			return f.now(), false
		case <-second:
			return f.now(), false
		}
	}
}
