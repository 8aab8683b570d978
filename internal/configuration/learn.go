package configuration

import "time"

// learning is the start of a fresh process: it finds out the highest version
// before it puts one in force, so that a restart does not go back.
type learning struct {
	started bool
	done    bool
	// id is of the read of the manifest, deadline when it counts as failed.
	id       uint64
	deadline time.Duration
	// storeAnswered and storeFailed tell how the first read ended.
	storeAnswered bool
	storeFailed   bool
	// peerSeen and peerSeenAt tell when the first peer with a configuration
	// was heard.
	peerSeen   bool
	peerSeenAt time.Duration
	// askAt is when the peers are asked for their versions again.
	askAt time.Duration
}

// askPeers is how many peers a fresh process asks for their versions at once.
const askPeers = 3

func (t *Tracker) superviseLearning() {
	l := &t.learning
	if l.done {
		return
	}
	if !l.started {
		l.started = true
		l.id = t.newID()
		l.deadline = t.now + t.config.FetchTimeout
		t.emit(FetchFromStore{ID: l.id, Manifest: true, Timeout: t.config.FetchTimeout})
	}
	if t.now >= l.deadline {
		l.storeFailed = true
	}
	if !l.peerSeen && t.highest > 0 {
		l.peerSeen = true
		l.peerSeenAt = t.now
	}
	l.done = l.storeAnswered || t.learnedFromPeers()
}

// superviseAsking makes a process without a configuration tell a few peers so,
// which they answer with what they have.
func (t *Tracker) superviseAsking() {
	if t.holding.Version > 0 || t.now < t.learning.askAt || len(t.members) == 1 {
		return
	}
	t.learning.askAt = t.now + t.config.RepairEvery
	for range askPeers {
		m := t.members[t.random.IntN(len(t.members))]
		if m.Host != t.config.Host {
			t.emit(Announce{Host: m.Host})
		}
	}
}

// learnedFromPeers says whether the peers' highest version may be taken: every
// live member has told its own, or those that did have been waited for.
func (t *Tracker) learnedFromPeers() bool {
	l := &t.learning
	if !l.storeFailed || !l.peerSeen {
		return false
	}
	return t.now-l.peerSeenAt >= t.config.LearnWait || t.heardAll()
}

func (t *Tracker) heardAll() bool {
	for _, m := range t.members {
		p := t.peers[m.Host]
		if m.Host != t.config.Host && (p == nil || !p.heard) {
			return false
		}
	}
	return len(t.members) > 1
}

// learningRead takes the end of the first read of the manifest.
func (t *Tracker) learningRead(e StoreFetchResult) {
	l := &t.learning
	if e.Outcome != OutcomeAnswered {
		l.storeFailed = true
		return
	}
	l.storeAnswered = true
	if e.Manifest != nil {
		t.offerManifest(e.Manifest, "")
	}
}
