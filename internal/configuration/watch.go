package configuration

import "time"

// watch is the state of this process's watch on the manifest.
type watch struct {
	active   bool
	id       uint64
	deadline time.Duration
	// afterStoreVersion is the object API's version that the last watch
	// reached.
	afterStoreVersion uint64
	retry             backoff
}

// maintainWatch starts, replaces or cancels the watch. When a watch was silent,
// the manifest is also read directly, in case the new watch is silent too. The
// first replacement starts at once, further ones after a delay.
func (t *Tracker) maintainWatch() {
	w := &t.watch
	if !t.isWatcher() {
		t.cancelWatch()
		return
	}
	if w.active && t.now >= w.deadline {
		t.cancelWatch()
		t.emit(Report{Kind: ReportWatchSilent, Version: t.inForce.Version})
		t.rereadManifest = true
		firstFailure := w.retry.failures == 0
		w.retry.recordFailure(t)
		if firstFailure {
			w.retry.retryAt = t.now
		}
	}
	if w.active || t.now < w.retry.retryAt {
		return
	}
	w.active = true
	w.id = t.newID()
	w.deadline = t.now + t.watchWait + t.config.WatchGrace
	t.emit(StartWatch{ID: w.id, AfterStoreVersion: w.afterStoreVersion, Wait: t.watchWait})
}

// cancelWatch ends the watch if there is one.
func (t *Tracker) cancelWatch() {
	if t.watch.active {
		t.watch.active = false
		t.emit(CancelWatch{ID: t.watch.id})
	}
}

// handleWatchResult processes the end of the current watch. A result of an
// earlier watch is ignored.
func (t *Tracker) handleWatchResult(e WatchResult) {
	w := &t.watch
	if !w.active || e.ID != w.id {
		return
	}
	w.active = false
	if e.Outcome != OutcomeAnswered {
		w.retry.recordFailure(t)
		return
	}
	w.retry.reset()
	w.afterStoreVersion = e.ReachedStoreVersion
	t.learning.storeAnswered = true
	t.storeBackoff.reset()
	if e.Manifest != nil {
		t.considerManifest(e.Manifest, "")
	}
}
