package configuration

import (
	"math/rand/v2"
	"time"
)

// Tracker follows the accepted configuration for one process. The version that
// it has in force never decreases.
type Tracker struct {
	config Config
	random *rand.Rand
	now    time.Duration
	nextID uint64
	// effects collects the effects of the current Step.
	effects []Effect

	// members lists the live hosts, ordered by name and including this one.
	members []Member
	// watchers lists the hosts of this data centre that watch the object API.
	watchers []string
	// watchWait is the time that one watch waits in a fleet of the current
	// size.
	watchWait time.Duration
	// peers holds the state of the other hosts by name.
	peers map[string]*peer
	// highestPeerVersion is the highest version that a known peer has in force.
	highestPeerVersion uint64

	// inForce is the version in force, inForceChange the change that created
	// it, and inForceSections the decoded content of its parts by hash.
	inForce         Snapshot
	inForceChange   Change
	inForceSections map[string]section

	// learning applies only until the process knows the highest accepted
	// version. storeBackoff delays reads from the object API after failures;
	// the watch has a backoff of its own.
	watch        watch
	learning     learning
	storeBackoff backoff
	candidate    *candidate
	// collectedParts holds the complete parts of the candidate that were
	// received so far, by hash.
	collectedParts map[string][]byte
	partialReads   partialReads
	fetch          fetch
	outdated       outdatedState
	// rereadManifest requests another read of the manifest from the object API,
	// because parts that the candidate names no longer exist or because a watch
	// was silent.
	rereadManifest bool
	lastRejection  rejection
	// reportedConflictVersion is the last version for which a conflict of two
	// manifests was reported.
	reportedConflictVersion uint64
}

// candidate is a version newer than the one in force, whose parts are being
// collected.
type candidate struct {
	raw      []byte
	digest   uint64
	manifest Manifest
}

// version returns the candidate's version, or 0 if there is no candidate.
func (c *candidate) version() uint64 {
	if c == nil {
		return 0
	}
	return c.manifest.Change.Version
}

// rejection identifies the last version that could not be put in force, so that
// it is not tried again.
type rejection struct {
	version uint64
	digest  uint64
}

// outdatedState records whether this host is outdated, which means that a newer
// version is known but not in force. It also holds the times from which on this
// host may read the object API for the newer version.
type outdatedState struct {
	active bool
	// watcherReadAt applies to a watching host that lacks few parts,
	// watcherBulkReadAt to a watching host that lacks many, and fallbackAt to
	// all other hosts.
	watcherReadAt     time.Duration
	watcherBulkReadAt time.Duration
	fallbackAt        time.Duration
}

// New returns a Tracker without a configuration. The settings must be valid.
func New(config Config) *Tracker {
	t := &Tracker{
		config:          config,
		random:          rand.New(rand.NewPCG(config.Seed, uint64(len(config.Host)))),
		peers:           make(map[string]*peer),
		inForceSections: make(map[string]section),
		collectedParts:  make(map[string][]byte),
		partialReads:    newPartialReads(),
	}
	t.setMembers(nil)
	return t
}

// Step processes one event at the given time and returns the effects to carry
// out. With every event, not only with a Tick, it also checks the time limits
// of the calls in progress. A time before that of the last call is treated as
// the time of the last call.
func (t *Tracker) Step(now time.Duration, e Event) []Effect {
	t.now = max(t.now, now)
	t.effects = nil
	switch e := e.(type) {
	case MembersChanged:
		t.setMembers(e.Members)
	case PeerVersion:
		t.recordPeerVersion(e.Host, e.Version, e.Digest)
	case WatchResult:
		t.handleWatchResult(e)
	case StoreFetchResult:
		t.handleStoreFetchResult(e)
	case PeerAnswer:
		t.handlePeerAnswer(e)
	case PeerFetchFailed:
		t.handlePeerFetchFailed(e)
	}
	t.expireFetch()
	t.maintainWatch()
	t.advanceLearning()
	t.askPeersForVersions()
	t.catchUp()
	return t.effects
}

// emit adds an effect to the result of the current Step.
func (t *Tracker) emit(e Effect) {
	t.effects = append(t.effects, e)
}

// newID returns an identifier for a watch or a read that was not used before.
func (t *Tracker) newID() uint64 {
	t.nextID++
	return t.nextID
}

// Ready reports whether a configuration is in force.
func (t *Tracker) Ready() bool {
	return t.inForce.Version > 0
}

// Snapshot returns the version in force, from which requests of peers are
// answered. The caller must not change its parts.
func (t *Tracker) Snapshot() Snapshot {
	return t.inForce
}

// Status describes the state of a Tracker for a diagnostic dump.
type Status struct {
	// Version, Digest, Author and Note describe the version in force.
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
	Author  string `json:"author"`
	Note    string `json:"note"`
	Ready   bool   `json:"ready"`
	// Learning is true until the process has found out, after its start, which
	// accepted version is the highest.
	Learning bool `json:"learning"`
	// Watching is true while this host has a watch on the object API open.
	Watching bool `json:"watching"`
	// HighestKnownVersion is the highest of the version in force, the candidate
	// and the versions of the peers.
	HighestKnownVersion uint64 `json:"highest_known_version"`
	// CandidateVersion is the version whose parts are being collected, 0 if
	// there is none. CandidatePartsMissing is the number of its parts not
	// received yet.
	CandidateVersion      uint64 `json:"candidate_version"`
	CandidatePartsMissing int    `json:"candidate_parts_missing"`
	// Members is the number of live hosts, this one included.
	Members int `json:"members"`
	// Parts is the number of parts of the version in force.
	Parts int `json:"parts"`
}

// Status returns the current state of the Tracker.
func (t *Tracker) Status() Status {
	return Status{
		Version:               t.inForce.Version,
		Digest:                t.inForce.Digest,
		Author:                t.inForceChange.Author,
		Note:                  t.inForceChange.Note,
		Ready:                 t.Ready(),
		Learning:              !t.learning.done,
		Watching:              t.watch.active,
		HighestKnownVersion:   max(t.highestPeerVersion, t.inForce.Version, t.candidate.version()),
		CandidateVersion:      t.candidate.version(),
		CandidatePartsMissing: len(t.missingParts()),
		Members:               len(t.members),
		Parts:                 len(t.inForce.Parts),
	}
}

// backoff delays the retries of a call that fails repeatedly.
type backoff struct {
	failures int
	retryAt  time.Duration
}

// recordFailure delays the next call. The wait doubles with each failure in a
// row, from RetryMin up to RetryMax, and is randomised.
func (b *backoff) recordFailure(t *Tracker) {
	wait := t.config.RetryMax
	if b.failures < 16 {
		wait = min(t.config.RetryMin<<b.failures, t.config.RetryMax)
	}
	b.failures++
	b.retryAt = t.now + t.jitter(wait)
}

// reset allows the next call at once, after a successful one.
func (b *backoff) reset() {
	*b = backoff{}
}

// jitter returns a random duration between half of d and the whole of d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.random.Int64N(int64(d/2)+1))
}
