package engine

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// progressFeed passes the progress of one work item from the step loop to the
// streams that send its answer. It carries no text, since the text follows from
// the prompt's hash.
type progressFeed struct {
	promptHash uint64
	// firstToken is the index in the answer of the first token that this engine
	// produces.
	firstToken int

	// connections counts the connections that stream the work item or hold it
	// for a group.
	connections atomic.Int64

	mu       sync.Mutex
	progress batch.Progress
	waiters  []chan struct{}
}

// Attached implements batch.AttachmentReporter.
func (f *progressFeed) Attached() bool { return f.connections.Load() > 0 }

// attach counts a connection as attached until the returned function is called.
func (f *progressFeed) attach() (detach func()) {
	f.connections.Add(1)
	return func() { f.connections.Add(-1) }
}

// Update implements batch.Observer. It converts the number of tokens produced by
// this engine into the position in the whole answer.
func (f *progressFeed) Update(p batch.Progress) {
	p.Produced += f.firstToken
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

func (f *progressFeed) current() batch.Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// subscribe returns a channel that receives a value after each change of the
// progress.
func (f *progressFeed) subscribe() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := make(chan struct{}, 1)
	f.waiters = append(f.waiters, w)
	return w
}

func (f *progressFeed) unsubscribe(w chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.waiters {
		if other == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			return
		}
	}
}

// await blocks until the progress fulfils the condition done, and then returns
// the progress and true. If one of the contexts ends first, it returns false.
func (f *progressFeed) await(changed <-chan struct{}, done func(batch.Progress) bool, instanceCtx, callerCtx context.Context) (batch.Progress, bool) {
	for {
		if p := f.current(); done(p) {
			return p, true
		}
		select {
		case <-changed:
		case <-instanceCtx.Done():
			return f.current(), false
		case <-callerCtx.Done():
			return f.current(), false
		}
	}
}
