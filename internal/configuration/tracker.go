package configuration

import (
	"math/rand/v2"
	"time"
)

// Tracker follows the accepted configuration for one process. The version in
// force never falls.
type Tracker struct {
	config Config
	random *rand.Rand
	now    time.Duration
	nextID uint64
	out    []Effect

	// members is ordered by host and includes this one.
	members []Member
	// watchers are the hosts of this data centre that watch the object API.
	watchers []string
	// watchWait is how long a watch waits in a fleet of this size.
	watchWait time.Duration
	peers     map[string]*peer
	// highest is the highest version that a peer has in force.
	highest uint64

	holding  Snapshot
	change   Change
	sections map[string]section

	watch     watch
	learning  learning
	store     backoff
	candidate *candidate
	cache     map[string][]byte
	partial   partial
	fetch     fetch
	behind    behind
	// reread asks for the manifest again, because parts of it were gone or a
	// watch was silent.
	reread   bool
	rejected rejection
	disputed uint64
}

// candidate is a version whose parts are being collected.
type candidate struct {
	raw      []byte
	digest   uint64
	manifest Manifest
}

func (c *candidate) version() uint64 {
	if c == nil {
		return 0
	}
	return c.manifest.Change.Version
}

// rejection remembers the last version that could not be put in force.
type rejection struct {
	version uint64
	digest  uint64
}

// behind tells that a newer version is known but not in force, and from when
// on the object API may be read for it.
type behind struct {
	active bool
	// partsAt is for a watching host that lacks few parts, bulkAt for one that
	// lacks many, fallbackAt for other hosts.
	partsAt    time.Duration
	bulkAt     time.Duration
	fallbackAt time.Duration
}

// New returns a Tracker for validated settings.
func New(config Config) *Tracker {
	t := &Tracker{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(len(config.Host)))),
		peers:    make(map[string]*peer),
		sections: make(map[string]section),
		cache:    make(map[string][]byte),
		partial:  newPartial(),
	}
	t.setMembers(nil)
	return t
}

// Step takes one event at the time given and returns what to do.
func (t *Tracker) Step(now time.Duration, e Event) []Effect {
	t.now = max(t.now, now)
	t.out = nil
	switch e := e.(type) {
	case MembersChanged:
		t.setMembers(e.Members)
	case PeerVersion:
		t.hear(e.Host, e.Version, e.Digest)
	case WatchResult:
		t.watchEnded(e)
	case StoreFetchResult:
		t.storeAnswered(e)
	case PeerAnswer:
		t.peerAnswered(e)
	case PeerFetchFailed:
		t.peerFailed(e)
	}
	t.expireFetch()
	t.superviseWatch()
	t.superviseLearning()
	t.superviseAsking()
	t.pursue()
	return t.out
}

func (t *Tracker) emit(e Effect) {
	t.out = append(t.out, e)
}

func (t *Tracker) newID() uint64 {
	t.nextID++
	return t.nextID
}

// Ready says whether a configuration is in force.
func (t *Tracker) Ready() bool {
	return t.holding.Version > 0
}

// Snapshot returns what is in force, to answer peers with. Its parts must not
// be changed.
func (t *Tracker) Snapshot() Snapshot {
	return t.holding
}

// Status describes the Tracker for a dump.
type Status struct {
	Version               uint64 `json:"version"`
	Digest                uint64 `json:"digest"`
	Author                string `json:"author"`
	Note                  string `json:"note"`
	Ready                 bool   `json:"ready"`
	Learning              bool   `json:"learning"`
	Watching              bool   `json:"watching"`
	HighestKnownVersion   uint64 `json:"highest_known_version"`
	CandidateVersion      uint64 `json:"candidate_version"`
	CandidatePartsMissing int    `json:"candidate_parts_missing"`
	Members               int    `json:"members"`
	Parts                 int    `json:"parts"`
}

// Status returns a snapshot of the Tracker.
func (t *Tracker) Status() Status {
	return Status{
		Version:               t.holding.Version,
		Digest:                t.holding.Digest,
		Author:                t.change.Author,
		Note:                  t.change.Note,
		Ready:                 t.Ready(),
		Learning:              !t.learning.done,
		Watching:              t.watch.active,
		HighestKnownVersion:   max(t.highest, t.holding.Version, t.candidate.version()),
		CandidateVersion:      t.candidate.version(),
		CandidatePartsMissing: len(t.missing()),
		Members:               len(t.members),
		Parts:                 len(t.holding.Parts),
	}
}

// backoff spaces the retries of failing calls.
type backoff struct {
	fails   int
	retryAt time.Duration
}

func (b *backoff) failed(t *Tracker) {
	wait := t.config.RetryMax
	if b.fails < 16 {
		wait = min(t.config.RetryMin<<b.fails, t.config.RetryMax)
	}
	b.fails++
	b.retryAt = t.now + t.jitter(wait)
}

func (b *backoff) succeeded() {
	*b = backoff{}
}

// jitter returns a duration between half and the whole of d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.random.Int64N(int64(d/2)+1))
}
