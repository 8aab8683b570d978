package experiment

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// objectRef identifies one shard object.
type objectRef struct {
	slot  uint64
	shard int
}

// host is one process with its cores. A kill loses all its state.
type host struct {
	simulation  *Simulation
	index       int
	incarnation uint64
	pausedUntil time.Duration
	cores       map[uint64]*shardCore // by window*Shards + shard
	attempts    map[shard.Token]*attempt
}

// shardCore is the core of one shard object on one host.
type shardCore struct {
	Core
	ref        objectRef
	timerCount uint64 // number of SetTimer effects; a timer is ignored if a later one was set
}

// attempt is one caller's request at one host.
type attempt struct {
	host    *host // the host that the caller asked
	key     uint64
	date    time.Duration
	token   shard.Token
	askedAt time.Duration
	outcome shard.Outcome
	record  *Record // the call in progress, or nil
	// decided is true if the claim was answered with a decision other than
	// Refused, granted if that decision was Granted.
	decided bool
	granted bool
}

func newHost(w *Simulation, index int) *host {
	h := &host{simulation: w, index: index}
	h.restart()
	return h
}

// restart kills the host and starts it again without any state.
func (h *host) restart() {
	h.simulation.seq++
	h.incarnation = h.simulation.seq
	h.pausedUntil = 0
	h.cores = make(map[uint64]*shardCore)
	h.attempts = make(map[shard.Token]*attempt)
}

// whileAlive returns a function that runs f once the host is not paused, but not
// at all if the host was restarted after the call of whileAlive.
func (h *host) whileAlive(f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		if h.incarnation != incarnation {
			return
		}
		if h.pausedUntil > h.simulation.now {
			h.simulation.runAt(h.pausedUntil, run)
			return
		}
		f()
	}
	return run
}

// submitRequest starts an attempt for a caller's request.
func (h *host) submitRequest(key uint64, date time.Duration) {
	h.whileAlive(func() {
		w := h.simulation
		w.attempts++
		a := &attempt{
			host: h, key: key, date: date, askedAt: w.now,
			token: shard.Token{Incarnation: h.incarnation, Attempt: w.attempts},
		}
		a.outcome = shard.Outcome{Status: 200, Body: make([]byte, max(8, w.config.BodyBytes))}
		binary.BigEndian.PutUint64(a.outcome.Body, w.attempts)
		h.attempts[a.token] = a
		w.callerHosts[a.token] = h
		a.record = w.history.begin(w, a, OpClaim)
		h.send(a, shard.Claim{
			ID: idOf(key), Token: a.token, Fingerprint: key,
			Date: int64(date / time.Second), WallTime: int64(w.now / time.Second),
			Deadline:  int64((w.now + w.config.ClaimTimeout) / time.Second),
			WaitUntil: w.now + w.config.ClaimTimeout,
		})
		if w.chance(w.config.HangUpShare) {
			w.runAfter(w.randomBelow(w.config.ClaimTimeout), h.whileAlive(a.hangUp))
		}
	})()
}

// idOf returns the ID of a key's action.
func idOf(key uint64) (id shard.ID) {
	binary.BigEndian.PutUint64(id[:], key)
	return id
}

// send passes an event to the core that serves the key, on this host or on the
// shard's owner. If the owner doesn't answer within ClaimTimeout, this host
// continues without it.
func (h *host) send(a *attempt, e shard.Event) {
	w := h.simulation
	window, n := w.locate(a)
	owner := w.ownerOf(h, n)
	if owner == h {
		h.step(h.core(window, n), e)
		return
	}
	forwarded := e
	if c, ok := e.(shard.Claim); ok {
		c.Forwarded = true
		forwarded = c
	}
	w.sendMessage(owner, func() { owner.step(owner.core(window, n), forwarded) })
	record := a.record
	w.runAfter(w.config.ClaimTimeout, h.whileAlive(func() { a.handleForwardTimeout(record, e) }))
}

// stepOwnCore passes an event to this host's own core of the key.
func (h *host) stepOwnCore(a *attempt, e shard.Event) {
	window, n := h.simulation.locate(a)
	h.step(h.core(window, n), e)
}

// locate returns the window and the shard of the attempt's key.
func (w *Simulation) locate(a *attempt) (window uint64, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], a.key)
	return uint64(a.date / w.config.WindowLength), int(xxhash.Sum64(b[:]) % uint64(w.config.Shards))
}

// ownerOf returns the host to which h sends the events of shard n: itself
// without forwarding, otherwise the owner or, for the misrouted share of the
// messages, a random host.
func (w *Simulation) ownerOf(h *host, n int) *host {
	switch {
	case !w.config.ForwardToOwner:
		return h
	case w.chance(w.config.MisrouteShare):
		return w.randomHost()
	}
	return w.hosts[n%len(w.hosts)]
}

// sendMessage delivers a message to another host by running f there. The message
// may be lost, duplicated or delayed.
func (w *Simulation) sendMessage(to *host, f func()) {
	if w.chance(w.config.Faults.LoseMessage) {
		return
	}
	if w.chance(w.config.Faults.DuplicateMessage) {
		w.runAfter(w.config.HopLatency+w.randomBelow(w.config.Faults.MaxDelay), to.whileAlive(f))
	}
	d := w.config.HopLatency
	if w.chance(w.config.Faults.Delay) {
		d += w.randomBelow(w.config.Faults.MaxDelay)
	}
	w.runAfter(d, to.whileAlive(f))
}

// core returns this host's core of a window and shard, and creates it if there
// is none.
func (h *host) core(window uint64, n int) *shardCore {
	c := h.simulation.config
	id := window*uint64(c.Shards) + uint64(n)
	if e, ok := h.cores[id]; ok {
		return e
	}
	core := c.Core
	core.Window = window
	e := &shardCore{Core: c.NewCore(core), ref: objectRef{slot: window % c.Slots, shard: n}}
	h.cores[id] = e
	return e
}

// step passes an event to a core and carries out the effects.
func (h *host) step(e *shardCore, event shard.Event) {
	for _, effect := range e.Step(h.simulation.now, event) {
		h.perform(e, effect)
	}
}

// perform carries out an effect of a core.
func (h *host) perform(e *shardCore, effect shard.Effect) {
	w := h.simulation
	name := objectName(e.ref)
	switch f := effect.(type) {
	case shard.Read:
		w.store.call(func() callResult { return w.store.read(name) }, func(r callResult) {
			h.whileAlive(func() {
				h.step(e, shard.ReadDone{Result: r.result, Version: r.object.Version, Value: r.object.Value})
			})()
		})
	case shard.Write:
		w.store.call(func() callResult { return w.store.write(name, f) }, func(r callResult) {
			h.whileAlive(func() { h.step(e, shard.WriteDone{Result: r.result, Version: r.object.Version}) })()
		})
	case shard.SetTimer:
		e.timerCount++
		timer := e.timerCount
		w.runAt(f.At, h.whileAlive(func() {
			if e.timerCount == timer {
				h.step(e, shard.Tick{})
			}
		}))
	case shard.Answer:
		h.deliverReply(f.Token, func(a *attempt) { a.handleAnswer(f) })
	case shard.RecordResult:
		h.deliverReply(f.Token, func(a *attempt) { a.handleRecordResult(f) })
	}
}

// deliverReply runs f on the attempt with the token, at the host that its caller
// asked. The reply is dropped if that host was restarted since.
func (h *host) deliverReply(token shard.Token, f func(*attempt)) {
	w := h.simulation
	caller, ok := w.callerHosts[token]
	if !ok {
		return
	}
	deliver := func() {
		if a, ok := caller.attempts[token]; ok {
			f(a)
		}
	}
	if caller == h {
		deliver()
		return
	}
	w.sendMessage(caller, deliver)
}
