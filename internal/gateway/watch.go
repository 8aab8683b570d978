package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// storeTimeout bounds a call to the store, which answers in milliseconds,
	// or some hundred while it is slow.
	storeTimeout = 2 * time.Second
	// minWatchWait is how long a watch waits at least. A watch may miss changes
	// without ending, so this is the time to find them: half of what a change
	// may take to be in force, less the pace below.
	minWatchWait = 900 * time.Millisecond
	// maxWatchWait is how long a watch waits at most.
	maxWatchWait = 20 * time.Second
	// watchesPerSecond is how many watches of one kind end in a second over all
	// hosts. More hosts watch more seldom each, since whoever learns of a
	// change tells the others to look.
	watchesPerSecond = 4
	// watchTimeout bounds a watch beyond its wait.
	watchTimeout = 700 * time.Millisecond
	// configurationPace, serversPace and hostsPace are the pauses after a
	// change, so that a series of changes costs few calls. The first two are
	// well below the time for a change to be in force or for a leaving server
	// to get nothing new; hosts that do not know a new one yet only lack its
	// messages.
	configurationPace = 250 * time.Millisecond
	serversPace       = 500 * time.Millisecond
	hostsPace         = 2 * time.Second
	// pacedHosts is the number of hosts that doubles these pauses, since each
	// host makes the calls.
	pacedHosts = 64
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// watcher follows all objects of one kind.
type watcher struct {
	store  *platform.Store
	kind   string
	logger log.Interface
	// replace takes a complete list, change what was changed since.
	replace func([]platform.Object)
	change  func([]platform.Object)
	// pace is the pause after a change.
	pace time.Duration

	// others is the number of other hosts.
	others func() int

	// lost is set between a failed call and the next answer.
	lost bool

	mu sync.Mutex
	// newest is the highest revision of the kind's objects seen here, heard
	// that seen by any host.
	newest, heard uint64
	// interrupt ends the watch under way. One that is chasing began in the
	// knowledge that something is missing: it answers at once or soon ends, and
	// is left alone, so that ever newer news does not starve it.
	interrupt context.CancelFunc
	chasing   bool
}

// hear takes note that another host has seen a revision, and ends the watch
// under way if it has missed that.
func (w *watcher) hear(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision <= w.heard {
		return
	}
	w.heard = revision
	if w.interrupt != nil && !w.chasing {
		w.interrupt()
	}
}

// known is the highest revision of the kind's objects known of here.
func (w *watcher) known() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard
}

func (w *watcher) note(objects []platform.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		w.newest = max(w.newest, o.Revision)
	}
	w.heard = max(w.heard, w.newest)
}

// wait is how long the next watch waits.
func (w *watcher) wait() time.Duration {
	share := time.Duration(float64(time.Second) * float64(w.others()+1) / watchesPerSecond)
	return min(maxWatchWait, max(minWatchWait, share))
}

// watch waits for changes until another host has seen more than this one.
func (w *watcher) watch(ctx context.Context, revision uint64) ([]platform.Object, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The number of hosts is read before the lock is taken: whoever holds that
	// number's lock may ask for this watch's revision.
	wait := w.wait()
	w.mu.Lock()
	w.chasing = w.heard > w.newest
	if w.chasing {
		wait = minWatchWait
	}
	w.interrupt = cancel
	w.mu.Unlock()
	changes, next, err := w.store.Watch(ctx, w.kind, revision, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = nil
	if err != nil && ctx.Err() != nil && w.heard > w.newest {
		return nil, revision, nil
	}
	return changes, next, err
}

// run follows the kind until the context ends.
func (w *watcher) run(ctx context.Context) {
	backoff := minStoreBackoff
	revision := uint64(0)
	for ctx.Err() == nil {
		next, err := w.step(ctx, revision)
		switch {
		case err == nil:
			revision, backoff = next, minStoreBackoff
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrHistoryGone):
			logevent.StoreHistoryGone.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision})
			revision = 0
		default:
			w.noteLost(revision, err)
			if !pause(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}

func (w *watcher) noteLost(revision uint64, err error) {
	if w.lost {
		return
	}
	w.lost = true
	logevent.StoreLost.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision, "error": err.Error()})
}

func (w *watcher) noteAnswer(revision uint64) {
	if !w.lost {
		return
	}
	w.lost = false
	logevent.StoreRegained.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision})
}

// step reads the whole list when there is no revision to go on from, and waits
// for changes otherwise.
func (w *watcher) step(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		objects, next, err := w.store.List(ctx, w.kind)
		if err != nil {
			return 0, err
		}
		w.noteAnswer(next)
		w.note(objects)
		w.replace(objects)
		return next, nil
	}
	changes, next, err := w.watch(ctx, revision)
	if err != nil {
		return revision, err
	}
	w.noteAnswer(next)
	w.note(changes)
	if len(changes) > 0 {
		w.change(changes)
		pause(ctx, w.pace+w.pace*time.Duration(w.others())/pacedHosts)
	}
	return next, nil
}

// pause waits and returns false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
