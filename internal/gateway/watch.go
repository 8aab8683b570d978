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
	// hostsWatchWait is how long a watch on the hosts waits at least: a host that
	// is not known yet only lacks messages.
	hostsWatchWait = 4 * time.Second
	// maxWatchWait is how long a watch waits at most.
	maxWatchWait = 20 * time.Second
	// watchesPerSecond is how many watches of one kind end in a second over all
	// hosts that watch for themselves. More of them watch more seldom each,
	// since whoever learns of a change tells the others to look.
	watchesPerSecond = 4
	// watchTimeout bounds a watch beyond its wait: twice the time that a slow
	// store takes. With minWatchWait and the longest first pause it fits twice
	// over into the time for a change to be in force.
	watchTimeout = 500 * time.Millisecond
	// configurationPace, serversPace and hostsPace are the pauses after a
	// change, so that a series of changes costs few calls. The first two are
	// well below the time for a change to be in force or for a leaving server
	// to get nothing new; hosts that do not know a new one yet only lack its
	// messages.
	configurationPace = 250 * time.Millisecond
	serversPace       = 500 * time.Millisecond
	hostsPace         = 2 * time.Second
	// hostsSettle is the pause after the first list of hosts: all hosts of a
	// deployment start within 0.3 s of each other, and one answer tells of all.
	hostsSettle = 400 * time.Millisecond
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

	// index is the kind's place in the order that all hosts agree on.
	index int
	// settle is the pause after a list.
	settle time.Duration
	// least is how long a watch waits at least; minWatchWait if 0.
	least time.Duration

	// others is the number of other hosts that watch the store too.
	others func() int
	// feeds connects the watcher with the hosts of its data centre that watch
	// for each other; nil without any.
	feeds feeds

	// lost is set between a failed call and the next answer, followed while
	// another host watches for this one.
	lost, followed bool

	// applying is held while changes are taken over. It guards revision, up to
	// which the kind is known here (0 before the first list), and behind, which
	// says that changes between revision and those passed on are missing.
	applying sync.Mutex
	revision uint64
	behind   bool

	mu sync.Mutex
	// newest is the highest revision of the kind's objects seen here, heard
	// that seen by any host.
	newest, heard uint64
	// interrupt ends the watch under way. One that is chasing began in the
	// knowledge that something is missing: it answers at once or soon ends, and
	// is left alone, so that ever newer news does not starve it.
	interrupt context.CancelFunc
	chasing   bool
	// overtaken says that the watch was ended since others' news say as much.
	overtaken bool
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
	return min(maxWatchWait, max(minWatchWait, w.least, share))
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
	ended := w.heard > w.newest || w.overtaken
	w.overtaken = false
	if err != nil && ctx.Err() != nil && ended {
		return nil, revision, nil
	}
	return changes, next, err
}

// run follows the kind until the context ends: by the news of a host that
// watches for this one while there are any, by its own calls otherwise.
func (w *watcher) run(ctx context.Context) {
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		follows := w.follows()
		w.noteFollowing(follows)
		if follows {
			pause(ctx, followPoll)
			continue
		}
		revision := w.reached()
		err := w.step(ctx, revision)
		switch {
		case err == nil:
			backoff = minStoreBackoff
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrHistoryGone):
			logevent.StoreHistoryGone.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision})
			w.restart()
		default:
			w.noteLost(revision, err)
			if !pause(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, w.maxBackoff())
		}
	}
}

func (w *watcher) noteLost(revision uint64, err error) {
	if w.lost {
		return
	}
	w.lost = true
	logevent.StoreCallFailing.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision, "error": err.Error()})
}

func (w *watcher) noteAnswer(revision uint64) {
	if !w.lost {
		return
	}
	w.lost = false
	logevent.StoreCallRecovered.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision})
}

// step reads the whole list when there is no revision to go on from, and waits
// for changes otherwise.
func (w *watcher) step(ctx context.Context, revision uint64) error {
	if revision == 0 {
		objects, next, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.noteAnswer(next)
		w.takeList(objects, next)
		pause(ctx, w.settle)
		return nil
	}
	changes, next, err := w.watch(ctx, revision)
	if err != nil {
		return err
	}
	w.noteAnswer(next)
	w.takeChanges(changes, next)
	w.pass(feed{From: revision, To: next, Objects: changes})
	if len(changes) > 0 {
		pause(ctx, w.pace+w.pace*time.Duration(w.others())/pacedHosts)
	}
	return nil
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
