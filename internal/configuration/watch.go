package configuration

import "time"

// watch is this process's watch on the manifest.
type watch struct {
	active   bool
	id       uint64
	deadline time.Duration
	// after is the object API's version that the last watch reached.
	after uint64
	retry backoff
}

// superviseWatch starts, replaces or cancels the watch. After a silent one the
// manifest is read as well, in case that the new watch is silent too.
func (t *Tracker) superviseWatch() {
	w := &t.watch
	if !t.isWatcher() {
		t.cancelWatch()
		return
	}
	if w.active && t.now >= w.deadline {
		t.cancelWatch()
		t.emit(Report{Kind: ReportWatchSilent, Version: t.holding.Version})
		t.reread = true
		first := w.retry.fails == 0
		w.retry.failed(t)
		if first {
			w.retry.retryAt = t.now
		}
	}
	if w.active || t.now < w.retry.retryAt {
		return
	}
	w.active = true
	w.id = t.newID()
	w.deadline = t.now + t.watchWait + t.config.WatchGrace
	t.emit(StartWatch{ID: w.id, AfterStoreVersion: w.after, Wait: t.watchWait})
}

func (t *Tracker) cancelWatch() {
	if t.watch.active {
		t.watch.active = false
		t.emit(CancelWatch{ID: t.watch.id})
	}
}

func (t *Tracker) watchEnded(e WatchResult) {
	w := &t.watch
	if !w.active || e.ID != w.id {
		return
	}
	w.active = false
	if e.Outcome != OutcomeAnswered {
		w.retry.failed(t)
		return
	}
	w.retry.succeeded()
	w.after = e.ReachedStoreVersion
	t.learning.storeAnswered = true
	t.store.succeeded()
	if e.Manifest != nil {
		t.offerManifest(e.Manifest, "")
	}
}
