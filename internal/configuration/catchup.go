package configuration

import (
	"slices"
	"time"
)

// fetch is the state of the single read in progress, from a peer or from the
// object API. The first read of a new process and the watch are separate from
// it.
type fetch struct {
	active   bool
	id       uint64
	deadline time.Duration
	// host is the peer that is asked, or empty for the object API.
	host string
	// requested lists the parts that are read. It is empty for a read of the
	// manifest from the object API.
	requested []RequestedPart
}

// catchUp takes the next step towards the highest known version: it applies a
// complete candidate, or starts a read of the manifest or of missing parts.
func (t *Tracker) catchUp() {
	t.updateOutdated()
	if t.canApply() {
		t.applyCandidate()
		t.updateOutdated()
	}
	if !t.outdated.active || t.fetch.active {
		return
	}
	switch {
	case t.rereadManifest:
		t.fetchFromStore(true, nil)
	case t.candidate == nil:
		t.fetchManifest()
	case len(t.missingParts()) > 0:
		t.fetchParts()
	case t.highestPeerVersion > t.candidate.version():
		t.fetchManifest()
	}
}

// canApply reports whether the candidate is complete and may be put in force.
// The first version of a new process must be at least the highest version that
// its peers have, unless that version could not be obtained until fallbackAt.
func (t *Tracker) canApply() bool {
	if t.candidate == nil || !t.learning.done || len(t.missingParts()) > 0 {
		return false
	}
	return t.inForce.Version > 0 || t.candidate.version() >= t.highestPeerVersion || t.now >= t.outdated.fallbackAt
}

// newestHandledVersion returns the newest version that was put in force or
// rejected. Only versions above it are worth fetching.
func (t *Tracker) newestHandledVersion() uint64 {
	return max(t.inForce.Version, t.lastRejection.version)
}

// updateOutdated records whether a newer version is known but not in force.
// When that begins, it sets the times from which on this host may read the
// object API.
func (t *Tracker) updateOutdated() {
	outdated := t.rereadManifest || t.candidate != nil || t.highestPeerVersion > t.newestHandledVersion()
	if outdated && !t.outdated.active {
		rank := max(0, slices.Index(t.watchers, t.config.Host))
		t.outdated.watcherReadAt = t.now + time.Duration(rank)*t.config.RankDelay
		t.outdated.watcherBulkReadAt = t.now + t.jitter(2*t.config.BulkWait)
		t.outdated.fallbackAt = t.now + t.jitter(2*t.config.FallbackAfter)
	}
	t.outdated.active = outdated
}

// canReadStore reports whether this host may read the object API now. A
// watching host may from watcherAt on. Any host may from fallbackAt on, when
// its peers have not helped for a while. No host may until the delay after a
// failed call has passed.
func (t *Tracker) canReadStore(watcherAt time.Duration) bool {
	if t.now < t.storeBackoff.retryAt {
		return false
	}
	return t.now >= t.outdated.fallbackAt || (t.isWatcher() && t.now >= watcherAt)
}

// fetchManifest requests a newer manifest: from a peer that has the highest
// known version, else from a peer that has any newer version, else from the
// object API.
func (t *Tracker) fetchManifest() {
	host, ok := t.pickPeer(t.highestPeerVersion)
	if !ok {
		host, ok = t.pickPeer(max(t.newestHandledVersion(), t.candidate.version()) + 1)
	}
	if ok {
		t.partialReads.dropManifestFromOtherHost(host)
		t.fetchFromPeer(host, []RequestedPart{{Part: ManifestPart, Offset: len(t.partialReads.manifest)}})
		return
	}
	if t.canReadStore(t.outdated.watcherReadAt) {
		t.fetchFromStore(true, nil)
	}
}

// fetchParts requests a batch of the candidate's missing parts, from a peer
// that has the candidate's version, else from the object API.
func (t *Tracker) fetchParts() {
	missing := t.missingParts()
	batch := missing[:min(len(missing), MaxRequestedParts)]
	if host, ok := t.pickPeer(t.candidate.version()); ok {
		requested := make([]RequestedPart, len(batch))
		for i, hash := range batch {
			requested[i] = RequestedPart{Part: hash, Offset: len(t.partialReads.parts[hash])}
		}
		t.fetchFromPeer(host, requested)
		return
	}
	watcherAt := t.outdated.watcherReadAt
	if len(missing) > t.config.StoreParts {
		watcherAt = t.outdated.watcherBulkReadAt
	}
	if t.canReadStore(watcherAt) {
		t.fetchFromStore(false, batch)
	}
}

// missingParts returns the hashes of the candidate's parts that this host does
// not have yet, in the order of the manifest.
func (t *Tracker) missingParts() []string {
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

// heldPart returns the content of a part that was collected or belongs to the
// version in force.
func (t *Tracker) heldPart(hash string) ([]byte, bool) {
	if body, ok := t.collectedParts[hash]; ok {
		return body, true
	}
	body, ok := t.inForce.Parts[hash]
	return body, ok
}

// fetchFromPeer starts a read from a peer.
func (t *Tracker) fetchFromPeer(host string, requested []RequestedPart) {
	t.fetch = fetch{active: true, id: t.newID(), deadline: t.now + t.config.PeerTimeout, host: host, requested: requested}
	t.emit(FetchFromPeer{Host: host, Request: PartRequest{ID: t.fetch.id, Parts: requested}})
}

// fetchFromStore starts a read from the object API, unless the delay after a
// failed call has not passed yet.
func (t *Tracker) fetchFromStore(manifest bool, hashes []string) {
	if t.now < t.storeBackoff.retryAt {
		return
	}
	t.fetch = fetch{active: true, id: t.newID(), deadline: t.now + t.config.FetchTimeout}
	for _, hash := range hashes {
		t.fetch.requested = append(t.fetch.requested, RequestedPart{Part: hash})
	}
	t.emit(FetchFromStore{ID: t.fetch.id, Manifest: manifest, Parts: hashes, Timeout: t.config.FetchTimeout})
}

// expireFetch treats the read in progress as failed when its deadline has
// passed.
func (t *Tracker) expireFetch() {
	if !t.fetch.active || t.now < t.fetch.deadline {
		return
	}
	t.handleFetchFailure()
}

// handleFetchFailure ends the read in progress and delays the next request to
// the same peer or to the object API.
func (t *Tracker) handleFetchFailure() {
	t.fetch.active = false
	if t.fetch.host == "" {
		t.storeBackoff.recordFailure(t)
		return
	}
	t.avoidPeer(t.fetch.host)
}
