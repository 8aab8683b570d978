package experiment

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// frameBytes is the number of bytes that a message's frame adds to its content.
const frameBytes = 8

// send delivers a message after a random delay by calling receive, or loses it.
// The message is encoded only to count its bytes.
func (s *simulation) send(from, to *host, message any, receive func()) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		s.err = err
		return
	}
	s.measurements.recordSent(s, len(body)+frameBytes)
	if s.random.Float64() < s.options.MessageLoss {
		return
	}
	delay := s.options.FarDelay
	if from.dataCentre == to.dataCentre {
		delay = s.options.NearDelay
	}
	s.after(s.randomDuration(delay, 2*delay), receive)
}

// request sends a host's request to a peer and the peer's answer back.
func (s *simulation) request(h *host, e configuration.FetchFromPeer) {
	peer, incarnation := s.byName[e.Host], h.incarnation
	if peer == nil {
		return
	}
	s.send(h, peer, e.Request, func() {
		if !peer.alive() {
			return
		}
		answer := peer.follower.Snapshot().Answer(e.Request)
		s.send(peer, h, answer, func() {
			s.deliver(h, incarnation, configuration.PeerAnswer{Host: peer.name, Answer: answer})
		})
	})
}

// announce sends a host's announcement to a peer.
func (s *simulation) announce(h *host, e configuration.Announce) {
	peer := s.byName[e.Host]
	a := e.Announcement
	s.send(h, peer, a, func() {
		s.deliver(peer, peer.incarnation, configuration.PeerVersion{Host: h.name, Version: a.Version, Digest: a.Digest})
	})
}

// sendDigest reports the host's version in force to one random member, as
// heartbeats do, and schedules the next report.
func (s *simulation) sendDigest(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	peer := s.hosts[s.random.IntN(len(s.hosts))]
	snapshot := h.follower.Snapshot()
	a := configuration.Announcement{Version: snapshot.Version, Digest: snapshot.Digest}
	if peer != h {
		s.announce(h, configuration.Announce{Host: peer.name, Announcement: a})
	}
	s.after(s.randomDuration(s.options.DigestInterval/2, s.options.DigestInterval*3/2), func() { s.sendDigest(h, incarnation) })
}

// change is one accepted change of the configuration.
type change struct {
	version uint64
	at      time.Duration
	// inForce is the time from the acceptance until all ready hosts had the
	// change in force. It is valid only if done is true.
	inForce time.Duration
	done    bool
}

// measurements collects what happens during a run.
type measurements struct {
	changes []change
	// reversions, applied, longestReady and callsPerSecond are the raw values
	// of the fields Reversions, Applied, ReadySeconds and of the call counts in
	// Result. bytes is the number of bytes sent after WarmUp.
	reversions     int
	applied        int
	bytes          int
	longestReady   time.Duration
	callsPerSecond []int
}

// recordSent counts the bytes that a host sends after WarmUp.
func (r *measurements) recordSent(s *simulation, bytes int) {
	if s.now >= s.options.WarmUp {
		r.bytes += bytes
	}
}

// recordCall counts a call to the object API in the current second of the run.
func (r *measurements) recordCall(s *simulation) {
	second := int(s.now / time.Second)
	for len(r.callsPerSecond) <= second {
		r.callsPerSecond = append(r.callsPerSecond, 0)
	}
	r.callsPerSecond[second]++
}

// recordApply records that a host has put a version in force.
func (s *simulation) recordApply(h *host, version uint64) {
	if version < h.highestVersion {
		s.measurements.reversions++
	}
	if h.version == 0 {
		s.measurements.longestReady = max(s.measurements.longestReady, s.now-h.startedAt)
	}
	if s.now >= s.options.WarmUp {
		s.measurements.applied++
	}
	h.version = version
	h.highestVersion = max(h.highestVersion, version)
	s.updateInForce()
}

// updateInForce records which changes all ready hosts have in force now. If a
// ready host has an older version in force later, the change counts as not in
// force again until that host has it, and its time is measured up to then.
func (s *simulation) updateInForce() {
	oldest, found := uint64(0), false
	for _, h := range s.hosts {
		if h.alive() && h.version > 0 && (!found || h.version < oldest) {
			oldest, found = h.version, true
		}
	}
	for i := range s.measurements.changes {
		c := &s.measurements.changes[i]
		if inForce := c.version <= oldest; inForce != c.done {
			c.done = inForce
			c.inForce = s.now - c.at
		}
	}
}
