package configuration

import (
	"slices"
	"time"
)

// fetch is the one read under way, from a peer or from the object API.
type fetch struct {
	active   bool
	id       uint64
	deadline time.Duration
	// host is empty for the object API.
	host  string
	wants []RequestedPart
}

// pursue takes the next step towards the highest version known.
func (t *Tracker) pursue() {
	t.noteBehind()
	if t.mayApply() {
		t.apply()
		t.noteBehind()
	}
	if !t.behind.active || t.fetch.active {
		return
	}
	switch {
	case t.reread:
		t.fetchFromStore(true, nil)
	case t.candidate == nil:
		t.requestManifest()
	case len(t.missing()) > 0:
		t.requestParts()
	case t.highest > t.candidate.version():
		t.requestManifest()
	}
}

// mayApply says whether the candidate is whole and may be put in force. The
// first version of a fresh process must be the highest that its peers have,
// unless that one cannot be had for a while.
func (t *Tracker) mayApply() bool {
	if t.candidate == nil || !t.learning.done || len(t.missing()) > 0 {
		return false
	}
	return t.holding.Version > 0 || t.candidate.version() >= t.highest || t.now >= t.behind.fallbackAt
}

// floor is the version below which nothing is worth fetching.
func (t *Tracker) floor() uint64 {
	return max(t.holding.Version, t.rejected.version)
}

func (t *Tracker) noteBehind() {
	late := t.reread || t.candidate != nil || t.highest > t.floor()
	if late && !t.behind.active {
		rank := max(0, slices.Index(t.watchers, t.config.Host))
		t.behind.partsAt = t.now + time.Duration(rank)*t.config.RankDelay
		t.behind.bulkAt = t.now + t.jitter(2*t.config.BulkWait)
		t.behind.fallbackAt = t.now + t.jitter(2*t.config.FallbackAfter)
	}
	t.behind.active = late
}

// mayReadStore says whether this host reads the object API from the time given
// on: watching hosts do, others when their peers have not helped for a while.
func (t *Tracker) mayReadStore(watcherAt time.Duration) bool {
	if t.now < t.store.retryAt {
		return false
	}
	return t.now >= t.behind.fallbackAt || (t.isWatcher() && t.now >= watcherAt)
}

func (t *Tracker) requestManifest() {
	host, ok := t.pickPeer(t.highest)
	if !ok {
		host, ok = t.pickPeer(max(t.floor(), t.candidate.version()) + 1)
	}
	if ok {
		t.partial.manifestFrom(host)
		t.fetchFromPeer(host, []RequestedPart{{Part: ManifestPart, Offset: len(t.partial.manifest)}})
		return
	}
	if t.mayReadStore(t.behind.partsAt) {
		t.fetchFromStore(true, nil)
	}
}

func (t *Tracker) requestParts() {
	missing := t.missing()
	batch := missing[:min(len(missing), MaxRequestedParts)]
	if host, ok := t.pickPeer(t.candidate.version()); ok {
		wants := make([]RequestedPart, len(batch))
		for i, hash := range batch {
			wants[i] = RequestedPart{Part: hash, Offset: len(t.partial.parts[hash])}
		}
		t.fetchFromPeer(host, wants)
		return
	}
	watcherAt := t.behind.partsAt
	if len(missing) > t.config.StoreParts {
		watcherAt = t.behind.bulkAt
	}
	if t.mayReadStore(watcherAt) {
		t.fetchFromStore(false, batch)
	}
}

// missing lists the candidate's parts that are not held, in their order.
func (t *Tracker) missing() []string {
	if t.candidate == nil {
		return nil
	}
	var hashes []string
	for _, hash := range t.candidate.manifest.Parts {
		if _, held := t.heldPart(hash); !held {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func (t *Tracker) heldPart(hash string) ([]byte, bool) {
	if body, ok := t.cache[hash]; ok {
		return body, true
	}
	body, ok := t.holding.Parts[hash]
	return body, ok
}

func (t *Tracker) fetchFromPeer(host string, wants []RequestedPart) {
	t.fetch = fetch{active: true, id: t.newID(), deadline: t.now + t.config.PeerTimeout, host: host, wants: wants}
	t.emit(FetchFromPeer{Host: host, Request: PartRequest{ID: t.fetch.id, Parts: wants}})
}

func (t *Tracker) fetchFromStore(manifest bool, hashes []string) {
	if t.now < t.store.retryAt {
		return
	}
	t.fetch = fetch{active: true, id: t.newID(), deadline: t.now + t.config.FetchTimeout}
	for _, hash := range hashes {
		t.fetch.wants = append(t.fetch.wants, RequestedPart{Part: hash})
	}
	t.emit(FetchFromStore{ID: t.fetch.id, Manifest: manifest, Parts: hashes, Timeout: t.config.FetchTimeout})
}

// expireFetch gives up a read whose answer did not come in time.
func (t *Tracker) expireFetch() {
	if !t.fetch.active || t.now < t.fetch.deadline {
		return
	}
	t.fetchFailed()
}

func (t *Tracker) fetchFailed() {
	t.fetch.active = false
	if t.fetch.host == "" {
		t.store.failed(t)
		return
	}
	t.avoid(t.fetch.host)
}
