package configuration

import "time"

// learning is the state of a new process until it knows the highest accepted
// version. The process finds out that version before it puts any in force, so
// that it does not go back to a version older than the one that was in force
// before its restart.
type learning struct {
	started bool
	done    bool
	// readID identifies the first read of the manifest; at readDeadline the
	// read counts as failed.
	readID       uint64
	readDeadline time.Duration
	// storeAnswered and storeFailed record how the first read ended.
	storeAnswered bool
	storeFailed   bool
	// peerVersionSeen is true once a peer has reported a configuration, and
	// peerVersionSeenAt is the time of the first such report.
	peerVersionSeen   bool
	peerVersionSeenAt time.Duration
	// nextAskAt is the time from which on peers are asked for their versions
	// again.
	nextAskAt time.Duration
}

// peersAskedAtOnce is the number of random members that a new process asks for
// their versions at a time.
const peersAskedAtOnce = 3

// advanceLearning starts the first read of the manifest and decides when the
// highest accepted version is known.
func (t *Tracker) advanceLearning() {
	l := &t.learning
	if l.done {
		return
	}
	if !l.started {
		l.started = true
		l.readID = t.newID()
		l.readDeadline = t.now + t.config.FetchTimeout
		t.emit(FetchFromStore{ID: l.readID, Manifest: true, Timeout: t.config.FetchTimeout})
	}
	if t.now >= l.readDeadline {
		l.storeFailed = true
	}
	if !l.peerVersionSeen && t.highestPeerVersion > 0 {
		l.peerVersionSeen = true
		l.peerVersionSeenAt = t.now
	}
	l.done = l.storeAnswered || t.canLearnFromPeers()
}

// askPeersForVersions makes a process without a configuration announce version
// 0 to a few random members. Members that have a configuration answer with the
// version that they have in force.
func (t *Tracker) askPeersForVersions() {
	if t.inForce.Version > 0 || t.now < t.learning.nextAskAt || len(t.members) == 1 {
		return
	}
	t.learning.nextAskAt = t.now + t.config.RepairEvery
	for range peersAskedAtOnce {
		m := t.members[t.random.IntN(len(t.members))]
		if m.Host != t.config.Host {
			t.emit(Announce{Host: m.Host})
		}
	}
}

// canLearnFromPeers reports whether the highest version of the peers may be
// accepted without the object API: either every live member has reported its
// version, or LearnWait has passed since the first report of a configuration.
func (t *Tracker) canLearnFromPeers() bool {
	l := &t.learning
	if !l.storeFailed || !l.peerVersionSeen {
		return false
	}
	return t.now-l.peerVersionSeenAt >= t.config.LearnWait || t.receivedAllVersions()
}

// receivedAllVersions reports whether every other live member has reported its
// version. It returns false if there is no other member.
func (t *Tracker) receivedAllVersions() bool {
	for _, m := range t.members {
		p := t.peers[m.Host]
		if m.Host != t.config.Host && (p == nil || !p.versionReceived) {
			return false
		}
	}
	return len(t.members) > 1
}

// handleInitialRead processes the result of the first read of the manifest.
func (t *Tracker) handleInitialRead(e StoreFetchResult) {
	l := &t.learning
	if e.Outcome != OutcomeAnswered {
		l.storeFailed = true
		return
	}
	l.storeAnswered = true
	if e.Manifest != nil {
		t.considerManifest(e.Manifest, "")
	}
}
