package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// feedPatience is how long a host waits for the next news of one that
	// watches the store for it. It is above the time between two answers of one
	// watch with the pause after a change.
	feedPatience = 1600 * time.Millisecond
	// followPoll is the time between two looks whether news still come.
	followPoll = 100 * time.Millisecond
	// maxDeferral bounds how many times longer hosts that would not pass news
	// on pause between failed calls, as a power of two.
	maxDeferral = 2
)

// feed is what a host that watches the store passes on: all changes of one
// kind between two revisions, in order.
type feed struct {
	// Kind is the kind's place in the order that all hosts agree on.
	Kind     int
	From, To uint64
	Objects  []platform.Object
}

// feeds are the hosts of a data centre that watch the store for each other.
type feeds interface {
	// following says whether another host's news come in.
	following() bool
	// rank is this host's place among those of its data centre that may watch
	// for the others; 0 is the first.
	rank() int
	// pass hands news to the others.
	pass(feed)
}

// follows says whether this host leaves the watching to another one.
func (w *watcher) follows() bool {
	if w.feeds == nil || !w.feeds.following() {
		return false
	}
	w.applying.Lock()
	defer w.applying.Unlock()
	return w.revision != 0 && !w.behind
}

// noteFollowing logs that another host watches for this one from now on, or
// does no more.
func (w *watcher) noteFollowing(follows bool) {
	if follows == w.followed {
		return
	}
	w.followed = follows
	w.applying.Lock()
	revision := w.revision
	w.applying.Unlock()
	logevent.StoreWatchDelegated.Emit(w.logger, log.Fields{"kind": w.kind, "following": follows, "revision": revision})
}

// reached is the revision to go on from; 0 when the list must be read.
func (w *watcher) reached() uint64 {
	w.applying.Lock()
	defer w.applying.Unlock()
	if w.behind {
		return 0
	}
	return w.revision
}

// restart has the whole list be read.
func (w *watcher) restart() {
	w.applying.Lock()
	defer w.applying.Unlock()
	w.revision = 0
}

// takeList takes over a complete list, unless later changes are known.
func (w *watcher) takeList(objects []platform.Object, revision uint64) {
	w.note(objects)
	w.applying.Lock()
	defer w.applying.Unlock()
	if revision < w.revision {
		return
	}
	w.replace(objects)
	w.revision, w.behind = revision, false
}

// takeChanges takes over all changes up to a revision.
func (w *watcher) takeChanges(changes []platform.Object, to uint64) {
	w.note(changes)
	w.applying.Lock()
	defer w.applying.Unlock()
	if to <= w.revision {
		return
	}
	if len(changes) > 0 {
		w.change(changes)
	}
	w.revision = to
}

// fed takes over news of another host. Where something is missing before them
// they are used, and the list is read again.
func (w *watcher) fed(f feed) {
	w.applying.Lock()
	gap := f.From > w.revision
	if gap && w.revision != 0 {
		if !w.behind {
			logevent.ChangesMissed.Emit(w.logger, log.Fields{"kind": w.kind, "revision": w.revision, "from": f.From, "to": f.To})
		}
		w.behind = true
		if len(f.Objects) > 0 {
			w.change(f.Objects)
		}
	}
	w.applying.Unlock()
	if gap {
		w.note(f.Objects)
		return
	}
	w.takeChanges(f.Objects, f.To)
	w.endWatch()
}

// endWatch ends this host's own watch once another host's news come in, since
// it would be answered with what is known.
func (w *watcher) endWatch() {
	if !w.follows() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interrupt != nil {
		w.overtaken = true
		w.interrupt()
	}
}

// pass hands an answer of the store to the hosts that follow this one.
func (w *watcher) pass(f feed) {
	if w.feeds != nil {
		f.Kind = w.index
		w.feeds.pass(f)
	}
}

// maxBackoff is the longest pause after a failed call. Hosts that the others
// do not follow call less often: they hear of the store's return from those.
func (w *watcher) maxBackoff() time.Duration {
	if w.feeds == nil {
		return maxStoreBackoff
	}
	return maxStoreBackoff << min(maxDeferral, w.feeds.rank())
}

// following implements feeds.
func (p *peers) following() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followed > 0 && p.clock.Now()-p.followed < feedPatience && len(p.members) >= directHosts
}

// expectFeeds has a host that has just learned of the others count on their
// news for as long as it would wait for the next one. The caller holds mu.
func (p *peers) expectFeeds() {
	first := p.followed == 0 && len(p.members) >= directHosts
	if first && p.relays.rank(p.self.dataCentre, p.self.name) >= relayCandidates {
		p.followed = max(1, p.clock.Now())
	}
}

// rank implements feeds. Hosts of a small fleet are all first.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) < directHosts {
		return 0
	}
	return p.relays.rank(p.self.dataCentre, p.self.name)
}

// pass implements feeds: the hosts that may watch for their data centre hand
// on what the store answers.
func (p *peers) pass(f feed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) < directHosts || p.relays.rank(p.self.dataCentre, p.self.name) >= relayCandidates {
		return
	}
	p.sendMembers(p.self.dataCentre, message{Stage: toMembers, Feeds: []feed{f}})
}

// watching is the number of other hosts that watch the store for themselves:
// one for each other data centre, as seen by one that others follow.
func (p *peers) watching() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) >= directHosts && p.relays.rank(p.self.dataCentre, p.self.name) == 0 {
		return len(p.relays.members) - 1
	}
	return len(p.members)
}
