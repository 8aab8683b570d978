package gateway

import (
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// minForwardingTimeout is how long a host waits for the next update of a
	// kind from a host that watches the store for it, before it watches the
	// store itself; see watcher.forwardingTimeout.
	minForwardingTimeout = 1600 * time.Millisecond
	// followPollInterval is the time between two checks whether another host
	// still forwards updates.
	followPollInterval = 100 * time.Millisecond
	// maxBackoffDoublings limits the pause between failed calls. The longest
	// pause is doubled for each host that goes before this one in its data
	// centre, but at most this many times; see maxBackoff.
	maxBackoffDoublings = 2
	// minFollowerBackoff and maxFollowerBackoff limit the pause after repeated failures on
	// hosts that do not watch for others, for the kind that does not await others. The
	// longest one ends in time after a cut of the host.
	minFollowerBackoff = 400 * time.Millisecond
	maxFollowerBackoff = 1600 * time.Millisecond
)

// storeUpdate is what a host that watches the store forwards to other hosts:
// all changes of one kind of objects between two revisions, in order.
type storeUpdate struct {
	// KindIndex is the position of the kind in an order that is the same on all
	// hosts.
	KindIndex int
	From, To  platform.Revision
	Objects   []platform.Object
}

// forwardedUpdate is a storeUpdate in a message. Its revisions are of the era that
// the message names. It is encoded as an array of a fixed length, which hosts of
// an earlier release can read too.
type forwardedUpdate struct {
	KindIndex int
	From, To  uint64
	Objects   []forwardedObject
}

// forwardedObject is one changed object in a forwardedUpdate.
type forwardedObject struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
	Deleted  bool
}

// encodeUpdate returns the form of an update in a message.
func encodeUpdate(update storeUpdate) forwardedUpdate {
	encoded := forwardedUpdate{KindIndex: update.KindIndex, From: update.From.Number, To: update.To.Number}
	for _, o := range update.Objects {
		encoded.Objects = append(encoded.Objects, forwardedObject{Name: o.Name, Revision: o.Revision.Number, Spec: o.Spec, Deleted: o.Deleted})
	}
	return encoded
}

// decode returns the update that a message of the given era holds.
func (f forwardedUpdate) decode(era uint64) storeUpdate {
	revision := func(number uint64) platform.Revision { return platform.Revision{Era: era, Number: number} }
	update := storeUpdate{KindIndex: f.KindIndex, From: revision(f.From), To: revision(f.To)}
	for _, o := range f.Objects {
		update.Objects = append(update.Objects, platform.Object{Name: o.Name, Revision: revision(o.Revision), Spec: o.Spec, Deleted: o.Deleted})
	}
	return update
}

// watchGroup connects a watcher with the hosts of a data centre that watch the
// store for each other.
type watchGroup interface {
	// receivesUpdates reports whether another host currently forwards updates
	// of a kind to this one: whether one arrived within the timeout.
	receivesUpdates(kindIndex int, timeout time.Duration) bool
	// rank returns this host's position among those of its data centre that may
	// watch for the others; 0 is the first.
	rank() int
	// forward sends an update to the other hosts of the data centre.
	forward(storeUpdate)
}

// shouldFollow reports whether this host relies on the updates of another one
// instead of watching the store itself. For that it must have read a list, and
// no changes may be missing.
func (w *watcher) shouldFollow() bool {
	return w.group != nil && w.group.receivesUpdates(w.kindIndex, w.forwardingTimeout()) && !w.resumeRevision().IsZero()
}

// forwardingTimeout returns how long a host waits for the next update of the kind
// from a host that watches the store for it. It exceeds the time between two
// answers of one watch plus the pause after a change.
func (w *watcher) forwardingTimeout() time.Duration {
	if w.minWait <= minWatchWait {
		return minForwardingTimeout
	}
	return w.minWait + w.changePause + minForwardingTimeout - minWatchWait
}

// logFollowing logs when another host begins to watch the store for this one,
// and when it no longer does.
func (w *watcher) logFollowing(following bool) {
	if following == w.following {
		return
	}
	w.following = following
	w.applyMu.Lock()
	revision := w.appliedRevision
	w.applyMu.Unlock()
	logevent.StoreWatchDelegated.Emit(w.logger, log.Fields{"kind": w.kind, "following": following, "revision": revision.Number})
}

// resumeRevision returns the revision after which the next watch continues; the
// zero revision if the whole list must be read, because none was read yet,
// changes are missing, or the store has begun a new era.
func (w *watcher) resumeRevision() platform.Revision {
	newestKnown := w.newestKnownRevision()
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if w.changesMissing || w.appliedRevision.Era < newestKnown.Era {
		return platform.Revision{}
	}
	return w.appliedRevision
}

// requireList makes run read the whole list next.
func (w *watcher) requireList() {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	w.appliedRevision = platform.Revision{}
}

// applyList applies a complete list, unless later changes have been applied
// already.
func (w *watcher) applyList(objects []platform.Object, revision platform.Revision) {
	w.recordRevisions(objects, revision.Era)
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if revision.Before(w.appliedRevision) {
		w.countDropped()
		return
	}
	if revision.Number < w.lastListRevision.Number {
		logevent.StoreWentBack.Emit(w.logger, log.Fields{
			"kind": w.kind, "era_before": w.lastListRevision.Era, "era": revision.Era,
			"revision_before": w.lastListRevision.Number, "revision": revision.Number,
		})
	}
	w.lastListRevision = revision
	w.onList(objects)
	w.appliedRevision, w.changesMissing = revision, false
	w.tellRevision()
}

// tellRevision calls onRevision, if it is set. The caller holds applyMu.
func (w *watcher) tellRevision() {
	if w.onRevision != nil {
		w.onRevision(w.appliedRevision)
	}
}

// applyChanges applies all changes up to a revision, unless they have been
// applied already.
func (w *watcher) applyChanges(changes []platform.Object, to platform.Revision) {
	w.recordRevisions(changes, to.Era)
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	if !w.appliedRevision.Before(to) {
		if to.Before(w.appliedRevision) {
			w.countDropped()
		}
		return
	}
	if len(changes) > 0 {
		w.onChanges(changes)
	}
	w.appliedRevision = to
	if !w.changesMissing {
		w.tellRevision()
	}
}

// countDropped counts an answer of the store that was not applied because it ends
// before the revision known here.
func (w *watcher) countDropped() {
	w.metrics.Count("gateway_store_updates_dropped_total", 1, "kind", w.kind)
}

// applyUpdate applies an update that another host forwarded. If changes before
// it are missing here, as they always are when a new era begins, the update is
// applied all the same, and the whole list is read again. Before the first list,
// only its revisions are recorded.
func (w *watcher) applyUpdate(update storeUpdate) {
	w.applyMu.Lock()
	gap := w.appliedRevision.Before(update.From)
	if gap && !w.appliedRevision.IsZero() {
		if !w.changesMissing {
			logevent.ChangesMissed.Emit(w.logger, log.Fields{
				"kind": w.kind, "revision": w.appliedRevision.Number, "from": update.From.Number, "to": update.To.Number, "era": update.To.Era,
			})
		}
		w.changesMissing = true
		if len(update.Objects) > 0 {
			w.onChanges(update.Objects)
		}
	}
	w.applyMu.Unlock()
	if gap {
		w.recordRevisions(update.Objects, update.To.Era)
		w.resumeCalls()
		return
	}
	w.applyChanges(update.Objects, update.To)
	w.cancelOwnWatch()
}

// cancelOwnWatch cancels this host's own watch once another host forwards
// updates, since the watch would only return what is already known.
func (w *watcher) cancelOwnWatch() {
	if !w.shouldFollow() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelWatch != nil {
		w.superseded = true
		w.cancelWatch()
	}
}

// forward sends an answer of the store to the hosts that follow this one.
func (w *watcher) forward(update storeUpdate) {
	if w.group != nil {
		update.KindIndex = w.kindIndex
		w.group.forward(update)
	}
}

// nextBackoff returns the pause after a failed call that followed a pause of the given
// length; 0 stands for a call that succeeded. After the second failure in a row a host on
// whose updates no others rely pauses for longer at once: it learns from other hosts that
// the store answers again, and its other kinds from the one that does not await others.
func (w *watcher) nextBackoff(last time.Duration) time.Duration {
	switch {
	case last == 0:
		return minStoreBackoff
	case w.group == nil || w.group.rank() < relayCandidates:
		return min(2*last, w.maxBackoff())
	case w.awaitsOthers:
		return w.maxBackoff()
	default:
		return min(max(2*last, minFollowerBackoff), w.maxBackoff())
	}
}

// maxBackoff returns the longest pause after a failed call. A host whose updates
// the others do not rely on calls less often while the store fails, and less still for
// all kinds but one: the answer for that kind ends the pauses of the others.
func (w *watcher) maxBackoff() time.Duration {
	switch {
	case w.group == nil:
		return maxStoreBackoff
	case w.awaitsOthers:
		return maxStoreBackoff << min(maxBackoffDoublings, w.group.rank())
	case w.group.rank() >= relayCandidates:
		return maxFollowerBackoff
	default:
		return maxStoreBackoff
	}
}

// receivesUpdates implements watchGroup. In a small fleet every host watches
// the store itself. Updates of one kind say nothing about other kinds, whose
// watches may fail on their own.
func (p *peers) receivesUpdates(kindIndex int, timeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := max(p.updatesExpectedAt, p.lastForwardedAt[kindIndex])
	return since > 0 && p.clock.Now()-since < timeout && len(p.members) >= maxDirectHosts
}

// expectUpdates makes a host that has just learned of the other hosts rely on
// their updates for as long as it would wait for the next one. This does not
// concern the hosts that may watch for their data centre. The caller holds mu.
func (p *peers) expectUpdates() {
	firstTime := p.updatesExpectedAt == 0 && len(p.lastForwardedAt) == 0 && len(p.members) >= maxDirectHosts
	if firstTime && p.relays.rank(p.self.dataCentre, p.self.name) >= relayCandidates {
		p.updatesExpectedAt = max(1, p.clock.Now())
	}
}

// rank implements watchGroup. In a small fleet every host has rank 0.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) < maxDirectHosts {
		return 0
	}
	return p.relays.rank(p.self.dataCentre, p.self.name)
}

// forward implements watchGroup. Only the hosts that may watch for their data
// centre forward the store's answers to its other hosts. An answer of an earlier
// era than this host knows of by now is not forwarded.
func (p *peers) forward(update storeUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) < maxDirectHosts || p.relays.rank(p.self.dataCentre, p.self.name) >= relayCandidates {
		return
	}
	if update.To.Era < newestEra(p.knownRevisions()) {
		return
	}
	p.sendToMembers(p.self.dataCentre, message{Stage: toMembers, StoreUpdates: []forwardedUpdate{encodeUpdate(update)}})
}

// otherWatchers returns the number of other hosts that watch the store
// themselves. The first host of a data centre, whose updates the others use, counts
// none: how long its watches wait must not depend on the number of data centres, or
// the others would take it to be silent. All other hosts count every host.
func (p *peers) otherWatchers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) >= maxDirectHosts && p.relays.rank(p.self.dataCentre, p.self.name) == 0 {
		return 0
	}
	return len(p.members)
}
