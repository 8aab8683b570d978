package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// storeTimeout limits a call to the store, which answers in milliseconds,
	// or in some hundred while it is slow.
	storeTimeout = 2 * time.Second
	// minWatchWait is the shortest wait of a watch. A watch may miss changes
	// without ending, so a missed change is found when the watch ends and the
	// next one begins. The value is half of the time within which a change must
	// be in force, less the pause below.
	minWatchWait = 900 * time.Millisecond
	// hostsWatchWait is the shortest wait of a watch on the hosts. It may be
	// longer, since a host that is not known yet only lacks messages.
	hostsWatchWait = 4 * time.Second
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = 20 * time.Second
	// watchesPerSecond is the number of watches of one kind that end in a
	// second, over all hosts that watch the store themselves. The more hosts
	// watch, the longer each of their watches waits, since a host that finds a
	// change reports its revision and thereby makes the others look for it.
	watchesPerSecond = 4
	// watchTimeout limits the time that a watch takes beyond its wait: twice
	// the time that a slow store takes. The sum of watchTimeout, minWatchWait
	// and the longest first pause fits twice into the time within which a
	// change must be in force.
	watchTimeout = 500 * time.Millisecond
	// configurationPause, serversPause and hostsPause are the pauses after a
	// change, so that a series of changes costs few calls. The first two are
	// well below the time within which a change must be in force and within
	// which a leaving server must get no new requests. Hosts that do not know a
	// new host yet only lack its messages.
	configurationPause = 250 * time.Millisecond
	serversPause       = 500 * time.Millisecond
	hostsPause         = 2 * time.Second
	// hostsListPause is the pause after a list of the hosts was read. All hosts
	// of a deployment start within 0.3 s of each other, so the first answer
	// after the pause contains all of them.
	hostsListPause = 400 * time.Millisecond
	// pauseDoublingHosts is the number of other hosts at which the pauses after
	// a change are twice as long, since each host makes the calls.
	pauseDoublingHosts = 64
	// minStoreBackoff and maxStoreBackoff limit the pause after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// watcher follows all objects of one kind in the store.
type watcher struct {
	store   *platform.Store
	kind    string
	logger  log.Interface
	metrics *telemetry.Registry
	// onList receives a complete list of the objects, onChanges receives what
	// has changed since.
	onList    func([]platform.Object)
	onChanges func([]platform.Object)
	// onRevision receives the revision up to which the kind is known after each of them, and
	// onFetched is called after an answer of the store to this host itself; nil if they are
	// not needed.
	onRevision func(platform.Revision)
	onFetched  func()
	// onRecovered is called when the store answers again after failed calls.
	onRecovered func()
	// changePause is the pause after a change.
	changePause time.Duration

	// kindIndex is the position of the kind in an order that is the same on all
	// hosts.
	kindIndex int
	// listPause is the pause after a list was read.
	listPause time.Duration
	// minWait is the shortest wait of a watch, if it is above minWatchWait; 0
	// leaves minWatchWait.
	minWait time.Duration
	// firstWait is the wait of the first watch after a list, whose answer shows the hosts that
	// follow this one that it watches for them; 0 leaves the usual wait.
	firstWait time.Duration
	// listed is set from a list to the first watch after it.
	listed bool

	// otherWatchers returns the number of other hosts that watch the store
	// themselves.
	otherWatchers func() int
	// group connects the watcher with the hosts of its data centre that watch
	// the store for each other; nil if there are none.
	group watchGroup

	// awaitsOthers is set if the pauses after failed calls may grow longer than
	// maxStoreBackoff, because other watchers of the host call the store more
	// often and resumeCalls ends the pause once they get an answer.
	awaitsOthers bool
	// callsResumed is signalled by resumeCalls.
	callsResumed chan struct{}

	// storeLost is true from a failed call until the next answer, following
	// while another host watches the store for this one.
	storeLost, following bool

	// applyMu is held while changes are applied. It guards appliedRevision, the
	// revision up to which the kind is known here (zero before the first list),
	// and changesMissing, which is true if changes between appliedRevision and
	// the forwarded ones are missing here.
	applyMu         sync.Mutex
	appliedRevision platform.Revision
	changesMissing  bool
	// lastListRevision is the revision of the list that was read last.
	lastListRevision platform.Revision

	mu sync.Mutex
	// newestSeen is the highest revision of the kind's objects that this host
	// received from the store or in an update, newestKnown the highest that any
	// host is known to have seen.
	newestSeen, newestKnown platform.Revision
	// cancelWatch cancels the watch under way; nil if there is none. catchingUp
	// is true for a watch that began when changes were already known to be
	// missing here. Such a watch answers at once or soon ends. It is not
	// cancelled, so that a series of ever newer revisions from other hosts
	// can't keep every watch from ending.
	cancelWatch context.CancelFunc
	catchingUp  bool
	// superseded is true if the watch was cancelled because the updates of
	// another host contain as much.
	superseded bool
}

// recordPeerRevision records that another host has seen a revision, and cancels
// the watch under way if that watch has missed it. A watch of an earlier era is
// cancelled even if it is catching up, since it misses everything.
func (w *watcher) recordPeerRevision(revision platform.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.newestKnown.Before(revision) {
		return
	}
	eraBegan := w.newestKnown.Era < revision.Era
	w.newestKnown = revision
	w.resumeCalls()
	if w.cancelWatch != nil && (eraBegan || !w.catchingUp) {
		w.cancelWatch()
	}
}

// newestKnownRevision returns the highest revision of the kind's objects that
// any host is known to have seen.
func (w *watcher) newestKnownRevision() platform.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newestKnown
}

// recordRevisions records the revisions of objects that this host received in an
// answer of the given era.
func (w *watcher) recordRevisions(objects []platform.Object, era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newestSeen = platform.Latest(w.newestSeen, platform.Revision{Era: era})
	for _, o := range objects {
		w.newestSeen = platform.Latest(w.newestSeen, o.Revision)
	}
	w.newestKnown = platform.Latest(w.newestKnown, w.newestSeen)
}

// watchWait returns how long the next watch waits.
func (w *watcher) watchWait() time.Duration {
	spacedWait := time.Duration(float64(time.Second) * float64(w.otherWatchers()+1) / watchesPerSecond)
	return min(maxWatchWait, max(minWatchWait, w.minWait, spacedWait))
}

// watch waits for changes after a revision. It ends early, without any, once
// another host has seen more than this one, or forwards its updates to it.
func (w *watcher) watch(ctx context.Context, revision platform.Revision) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The wait is computed before mu is taken: it depends on the number of
	// hosts, and whoever holds the lock of that number may ask for the newest
	// revision of this watcher, which needs mu.
	wait := w.watchWait()
	if w.listed && w.firstWait > 0 {
		wait = w.firstWait
	}
	w.listed = false
	w.mu.Lock()
	w.catchingUp = w.newestSeen.Before(w.newestKnown)
	if w.catchingUp {
		wait = minWatchWait
	}
	w.cancelWatch = cancel
	w.mu.Unlock()
	changes, next, err := w.store.Watch(ctx, w.kind, revision, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = nil
	endedEarly := w.newestSeen.Before(w.newestKnown) || w.superseded
	w.superseded = false
	if err != nil && ctx.Err() != nil && endedEarly {
		return nil, revision, nil
	}
	return changes, next, err
}

// run follows the kind until the context ends. It relies on the updates of a
// host that watches the store for this one as long as they arrive, and calls
// the store itself otherwise.
func (w *watcher) run(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		following := w.shouldFollow()
		w.logFollowing(following)
		if following {
			sleep(ctx, followPollInterval)
			continue
		}
		w.forgetResumed()
		revision := w.resumeRevision()
		err := w.fetchOnce(ctx, revision)
		switch {
		case err == nil:
			backoff = 0
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrHistoryGone):
			logevent.StoreHistoryGone.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision.Number, "era": revision.Era})
			w.requireList()
		default:
			w.recordStoreLost(revision, err)
			backoff = w.nextBackoff(backoff)
			if w.pauseCalls(ctx, backoff/2+rand.N(backoff)) {
				backoff = 0
			}
		}
	}
}

// pauseCalls waits after a failed call for the given time, until the context ends,
// or until resumeCalls is called. It returns true in the last case, also if that
// was during the call.
func (w *watcher) pauseCalls(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.callsResumed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// forgetResumed forgets that resumeCalls was called before the next call.
func (w *watcher) forgetResumed() {
	select {
	case <-w.callsResumed:
	default:
	}
}

// resumeCalls ends a pause after a failed call: the store answers again, or changes
// are known to be missing here.
func (w *watcher) resumeCalls() {
	select {
	case w.callsResumed <- struct{}{}:
	default:
	}
}

// recordStoreLost records that a call failed, and logs it if the call before
// succeeded.
func (w *watcher) recordStoreLost(revision platform.Revision, err error) {
	if w.storeLost {
		return
	}
	w.storeLost = true
	logevent.StoreCallFailing.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision.Number, "error": err.Error()})
}

// recordStoreRegained records that a call succeeded, and logs it if the call
// before failed.
func (w *watcher) recordStoreRegained(revision platform.Revision) {
	if !w.storeLost {
		return
	}
	w.storeLost = false
	w.onRecovered()
	logevent.StoreCallRecovered.Emit(w.logger, log.Fields{"kind": w.kind, "revision": revision.Number, "era": revision.Era})
}

// fetchOnce reads the whole list if there is no revision to continue from, and
// waits for changes otherwise.
func (w *watcher) fetchOnce(ctx context.Context, revision platform.Revision) error {
	if revision.IsZero() {
		objects, next, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.recordStoreRegained(next)
		w.applyList(objects, next)
		w.listed = true
		w.tellFetched()
		sleep(ctx, w.pauseAfterList())
		return nil
	}
	changes, next, err := w.watch(ctx, revision)
	if err != nil {
		return err
	}
	w.recordStoreRegained(next)
	w.applyChanges(changes, next)
	w.tellFetched()
	w.forward(storeUpdate{From: revision, To: next, Objects: changes})
	if len(changes) > 0 {
		sleep(ctx, w.changePause+w.changePause*time.Duration(w.otherWatchers())/pauseDoublingHosts)
	}
	return nil
}

// tellFetched calls onFetched, if it is set.
func (w *watcher) tellFetched() {
	if w.onFetched != nil {
		w.onFetched()
	}
}

// pauseAfterList returns the pause after a list. It is at least the pause after a
// change if another list is due, because another host knows a later era already.
func (w *watcher) pauseAfterList() time.Duration {
	if w.resumeRevision().IsZero() {
		return max(w.listPause, w.changePause)
	}
	return w.listPause
}

// sleep waits for a duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
