package experiment

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// frameBytes is the length of a message's frame around its content.
const frameBytes = 8

// send carries a message to a host, or loses it.
func (w *world) send(from, to *host, message any, receive func()) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		w.err = err
		return
	}
	w.record.sent(w, len(body)+frameBytes)
	if w.random.Float64() < w.o.Loss {
		return
	}
	delay := w.o.FarDelay
	if from.dataCentre == to.dataCentre {
		delay = w.o.NearDelay
	}
	w.after(w.between(delay, 2*delay), receive)
}

func (w *world) request(h *host, e configuration.FetchFromPeer) {
	peer, incarnation := w.byName[e.Host], h.incarnation
	if peer == nil {
		return
	}
	w.send(h, peer, e.Request, func() {
		if !peer.alive() {
			return
		}
		answer := peer.follower.Snapshot().Answer(e.Request)
		w.send(peer, h, answer, func() {
			w.deliver(h, incarnation, configuration.PeerAnswer{Host: peer.name, Answer: answer})
		})
	})
}

func (w *world) announce(h *host, e configuration.Announce) {
	peer := w.byName[e.Host]
	a := e.Announcement
	w.send(h, peer, a, func() {
		w.deliver(peer, peer.incarnation, configuration.PeerVersion{Host: h.name, Version: a.Version, Digest: a.Digest})
	})
}

// digest tells one random member the version in force, as heartbeats do.
func (w *world) digest(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	peer := w.hosts[w.random.IntN(len(w.hosts))]
	holding := h.follower.Snapshot()
	a := configuration.Announcement{Version: holding.Version, Digest: holding.Digest}
	if peer != h {
		w.announce(h, configuration.Announce{Host: peer.name, Announcement: a})
	}
	w.after(w.between(w.o.DigestEvery/2, w.o.DigestEvery*3/2), func() { w.digest(h, incarnation) })
}

// change is an accepted configuration.
type change struct {
	version uint64
	at      time.Duration
	// inForce is how long it took; valid when done.
	inForce time.Duration
	done    bool
}

// record collects what a run shows.
type record struct {
	accepted   []change
	reversions int
	applies    int
	bytes      int
	ready      time.Duration
	calls      []int
}

func (r *record) sent(w *world, bytes int) {
	if w.now >= w.o.Settle {
		r.bytes += bytes
	}
}

// called counts a call to the object API in its second.
func (r *record) called(w *world) {
	second := int(w.now / time.Second)
	for len(r.calls) <= second {
		r.calls = append(r.calls, 0)
	}
	r.calls[second]++
}

func (w *world) applied(h *host, version uint64) {
	if version < h.best {
		w.record.reversions++
	}
	if h.version == 0 {
		w.record.ready = max(w.record.ready, w.now-h.startedAt)
	}
	if w.now >= w.o.Settle {
		w.record.applies++
	}
	h.version = version
	h.best = max(h.best, version)
	w.settle()
}

// settle notes which changes every ready host has in force from now on. A
// change counts again when a host falls behind it later.
func (w *world) settle() {
	oldest, any := uint64(0), false
	for _, h := range w.hosts {
		if h.alive() && h.version > 0 && (!any || h.version < oldest) {
			oldest, any = h.version, true
		}
	}
	for i := range w.record.accepted {
		c := &w.record.accepted[i]
		if holds := c.version <= oldest; holds != c.done {
			c.done = holds
			c.inForce = w.now - c.at
		}
	}
}
