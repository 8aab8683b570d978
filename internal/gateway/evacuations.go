package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// evacuationsPause is the pause after a change of the evacuations.
	evacuationsPause = 250 * time.Millisecond
	// evacuationsListPause is the pause after a list, in which a starting host learns of the
	// hosts that watch for it.
	evacuationsListPause = 600 * time.Millisecond
	// evacuationsWaitDivisor divides the time within which an evacuation must be in force.
	// The result is the wait of a watch, after which a change that the watch has missed is
	// found; it leaves time for the pause, a slow answer and the way to the other hosts.
	evacuationsWaitDivisor = 2.5
	// evacuationNewsInterval is the time between two messages about the same change, of
	// which a host that is cut off for a moment misses some. They end after
	// evacuationNewsFactor times the time within which the change must be in force.
	evacuationNewsInterval = time.Second
	evacuationNewsFactor   = 2
	// untoldTime is how long after a change the host that has it from the store tells it.
	untoldTime = time.Second
	// forgottenTime is how long an evacuation stays in force that a store has forgotten
	// which was restored from an older copy. It leaves the operator time to repeat it.
	forgottenTime = time.Minute
	// maxEvacuations bounds the evacuations that a host keeps and tells of, and
	// maxDataCentreName the length of a name, whatever other programs write into the store.
	maxEvacuations    = 256
	maxDataCentreName = 128
)

// evacuationView holds the data centres that the operator has taken out of service, as read
// from the store or told by another host, whichever is newer.
type evacuationView struct {
	clock   clock.Clock
	logger  log.Interface
	metrics *telemetry.Registry
	post    func(balance.Event)
	// tell sends the data centres to all other hosts.
	tell func(evacuationNews)
	// bound is the time within which a change must be in force.
	bound time.Duration
	// dataCentres holds the names of those that the settings know; empty if they name none.
	dataCentres map[string]string

	mu sync.Mutex
	// own holds the names that the store's watcher has read.
	own map[string]bool
	// known is set once the data centres are known as of a revision; listed holds them.
	known    bool
	revision platform.Revision
	listed   map[string]bool
	// forgotten holds until when evacuations stay in force that a restored store lacks.
	forgotten map[string]time.Duration
	// inForce is what was last posted to the core.
	inForce map[string]bool
	// changedAt is when the listed names last changed by the store's word, untold is set
	// until they are told, and tellUntil is when the news of them end.
	changedAt, tellUntil time.Duration
	untold               bool
	// reported holds the names that were logged as unknown.
	reported map[string]bool
}

// newEvacuationView returns a view that knows nothing yet.
func newEvacuationView(bound time.Duration, dataCentres map[string]string, c clock.Clock, logger log.Interface, metrics *telemetry.Registry, post func(balance.Event)) *evacuationView {
	return &evacuationView{
		clock: c, logger: logger, metrics: metrics, post: post, bound: bound, dataCentres: dataCentres,
		own: make(map[string]bool), forgotten: make(map[string]time.Duration), reported: make(map[string]bool),
	}
}

// loaded reports whether the evacuations are known. Without a view there are none.
func (v *evacuationView) loaded() bool {
	if v == nil {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

// replace is the watcher's onList.
func (v *evacuationView) replace(objects []platform.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own = make(map[string]bool, len(objects))
	v.updateOwn(objects)
}

// update is the watcher's onChanges.
func (v *evacuationView) update(objects []platform.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateOwn(objects)
}

// updateOwn applies objects to what the watcher has read. The name alone counts: an entry
// that another program has filled oddly, or that waits to be removed, is in force too. The
// caller holds mu.
func (v *evacuationView) updateOwn(objects []platform.Object) {
	for _, o := range objects {
		delete(v.own, o.Name)
		if !o.Deleted && o.Name != "" && len(o.Name) <= maxDataCentreName {
			v.own[o.Name] = true
		}
	}
}

// settle is the watcher's onRevision: what it has read is complete as of a revision.
func (v *evacuationView) settle(revision platform.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && revision.Before(v.revision) {
		return
	}
	if v.adopt(v.bounded(), revision, "") {
		v.changedAt, v.untold = v.clock.Now(), true
	}
}

// fetched is the watcher's onFetched: the store has answered this host itself. What has just
// changed is told to the other hosts, which may not reach the store.
func (v *evacuationView) fetched() {
	v.mu.Lock()
	now := v.clock.Now()
	due := v.untold && now-v.changedAt < untoldTime
	v.untold = false
	if due {
		v.tellUntil = now + evacuationNewsFactor*v.bound
	}
	n := v.news()
	v.mu.Unlock()
	if due {
		v.tell(n)
	}
}

// receive applies news of another host, unless as much is known here.
func (v *evacuationView) receive(host string, n evacuationNews) {
	v.mu.Lock()
	defer v.mu.Unlock()
	revision := platform.Revision{Era: n.Era, Number: n.Revision}
	if v.known && !v.revision.Before(revision) {
		v.metrics.Count("gateway_evacuation_news_total", 1, "result", "known")
		return
	}
	v.metrics.Count("gateway_evacuation_news_total", 1, "result", "applied")
	listed := make(map[string]bool, len(n.DataCentres))
	for _, name := range n.DataCentres {
		listed[name] = true
	}
	v.adopt(listed, revision, host)
	v.untold, v.tellUntil = false, 0
}

// bounded returns the names that the watcher has read, at most maxEvacuations and those of
// known data centres first. The caller holds mu.
func (v *evacuationView) bounded() map[string]bool {
	names := slices.SortedFunc(maps.Keys(v.own), func(a, b string) int {
		if v.knows(a) != v.knows(b) {
			if v.knows(a) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	listed := make(map[string]bool, len(names))
	for _, name := range names[:min(len(names), maxEvacuations)] {
		listed[name] = true
	}
	return listed
}

// knows reports whether a name is that of a data centre.
func (v *evacuationView) knows(name string) bool {
	_, known := v.dataCentres[name]
	return known || len(v.dataCentres) == 0
}

// adopt records the data centres that are listed as of a revision, as the store or the named
// host tells them, and reports whether the list has changed. The caller holds mu.
func (v *evacuationView) adopt(listed map[string]bool, revision platform.Revision, host string) bool {
	if v.known && v.revision.Era < revision.Era {
		for name := range v.listed {
			if !listed[name] {
				v.forgotten[name] = v.clock.Now() + forgottenTime
				logevent.EvacuationForgotten.Emit(v.logger, log.Fields{"data_centre": name, "era": revision.Era, "kept_s": forgottenTime.Seconds()})
			}
		}
	}
	for name := range listed {
		delete(v.forgotten, name)
	}
	changed := !maps.Equal(v.listed, listed)
	v.known, v.revision, v.listed = true, revision, listed
	v.putIntoForce(host)
	return changed
}

// putIntoForce passes the evacuations to the core and logs what has changed. The caller
// holds mu.
func (v *evacuationView) putIntoForce(host string) {
	next := maps.Clone(v.listed)
	for name := range v.forgotten {
		next[name] = true
	}
	if maps.Equal(v.inForce, next) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if !v.inForce[name] {
			v.logChange(name, true, host)
		}
		if !v.knows(name) && !v.reported[name] && len(v.reported) < maxEvacuations {
			v.reported[name] = true
			logevent.EvacuationUnknown.Emit(v.logger, log.Fields{"data_centre": name, "revision": v.revision.Number})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.inForce)) {
		if !next[name] {
			v.logChange(name, false, host)
		}
	}
	v.inForce = next
	v.metrics.Gauge("gateway_evacuated_data_centres", float64(len(next)))
	v.post(balance.EvacuationsChanged{DataCentres: slices.Sorted(maps.Keys(next))})
}

// logChange logs the beginning or the end of an evacuation on this host.
func (v *evacuationView) logChange(name string, evacuated bool, host string) {
	logevent.EvacuationChanged.Emit(v.logger, log.Fields{
		"data_centre": name, "evacuated": evacuated, "revision": v.revision.Number, "era": v.revision.Era, "host": host,
	})
}

// news returns what other hosts are told. The caller holds mu.
func (v *evacuationView) news() evacuationNews {
	return evacuationNews{Era: v.revision.Era, Revision: v.revision.Number, DataCentres: slices.Sorted(maps.Keys(v.listed))}
}

// run repeats the news of a change, and ends evacuations that a restored store has forgotten,
// until the context ends.
func (v *evacuationView) run(ctx context.Context) {
	for sleep(ctx, evacuationNewsInterval) {
		v.refresh()
	}
}

// refresh does what run does in each interval.
func (v *evacuationView) refresh() {
	v.mu.Lock()
	now := v.clock.Now()
	forgotten := len(v.forgotten)
	maps.DeleteFunc(v.forgotten, func(_ string, until time.Duration) bool { return now >= until })
	if len(v.forgotten) < forgotten {
		v.putIntoForce("")
	}
	due := now < v.tellUntil
	n := v.news()
	v.mu.Unlock()
	if due {
		v.tell(n)
	}
}

// newEvacuationsWatcher returns the watcher of the evacuations; nil if the platform has none.
func (p *Process) newEvacuationsWatcher(newWatcher func(kind string, changePause time.Duration, onList, onChanges func([]platform.Object)) *watcher) *watcher {
	bound := p.settings.platformSettings.EvacuationBound
	if bound <= 0 {
		return nil
	}
	view := newEvacuationView(bound, p.settings.platformSettings.Regions, p.clock, p.logger, p.metrics, p.control.post)
	view.tell = p.peers.broadcastEvacuations
	p.storeView.evacuations, p.peers.evacuationsReceived = view, view.receive
	w := newWatcher(platform.EvacuationsKind, evacuationsPause, view.replace, view.update)
	w.onRevision, w.onFetched = view.settle, view.fetched
	w.listPause, w.firstWait = evacuationsListPause, minWatchWait
	w.minWait = min(hostsWatchWait, time.Duration(float64(bound)/evacuationsWaitDivisor))
	return w
}
