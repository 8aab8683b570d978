package experiment

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// objectRef names one shard object.
type objectRef struct {
	slot  uint64
	shard int
}

// host is one process with its cores. Everything it holds is lost by a kill.
type host struct {
	world       *Simulation
	index       int
	incarnation uint64
	pausedUntil time.Duration
	engines     map[uint64]*engine // by window and shard
	attempts    map[shard.Token]*attempt
}

type engine struct {
	Engine
	ref  objectRef
	wake uint64 // counts Wake effects, so that only the last one counts
}

// attempt is one caller's request at one host.
type attempt struct {
	host    *host // where the caller is
	key     uint64
	date    time.Duration
	token   shard.Token
	asked   time.Duration
	outcome shard.Outcome
	record  *Record // of the call in progress
	// settled says that the claim was answered for certain, granted how.
	settled bool
	granted bool
}

func newHost(w *Simulation, index int) *host {
	h := &host{world: w, index: index}
	h.kill()
	return h
}

// kill starts the host anew with nothing.
func (h *host) kill() {
	h.world.seq++
	h.incarnation = h.world.seq
	h.pausedUntil = 0
	h.engines = make(map[uint64]*engine)
	h.attempts = make(map[shard.Token]*attempt)
}

// alive runs f in the host's present life, once it is not paused.
func (h *host) alive(f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		if h.incarnation != incarnation {
			return
		}
		if h.pausedUntil > h.world.now {
			h.world.at(h.pausedUntil, run)
			return
		}
		f()
	}
	return run
}

// ask is a caller's request.
func (h *host) ask(key uint64, date time.Duration) {
	h.alive(func() {
		w := h.world
		w.attempts++
		a := &attempt{
			host: h, key: key, date: date, asked: w.now,
			token: shard.Token{Incarnation: h.incarnation, Attempt: w.attempts},
		}
		a.outcome = shard.Outcome{Status: 200, Body: make([]byte, max(8, w.config.BodyBytes))}
		binary.BigEndian.PutUint64(a.outcome.Body, w.attempts)
		h.attempts[a.token] = a
		w.callers[a.token] = h
		a.record = w.history.call(w, a, OpClaim)
		h.send(a, shard.Claim{
			ID: idOf(key), Token: a.token, Fingerprint: key,
			Date: int64(date / time.Second), Wall: int64(w.now / time.Second),
			Deadline: int64((w.now + w.config.Patience) / time.Second),
			Expires:  w.now + w.config.Patience,
		})
		if w.chance(w.config.LeaveShare) {
			w.after(w.upTo(w.config.Patience), h.alive(a.leave))
		}
	})()
}

func idOf(key uint64) (id shard.ID) {
	binary.BigEndian.PutUint64(id[:], key)
	return id
}

// send hands an event to the core that serves the key, on this host or on the
// shard's owner. Without an answer in time this host goes on by itself.
func (h *host) send(a *attempt, e shard.Event) {
	w := h.world
	window, n := w.place(a)
	owner := w.ownerOf(h, n)
	if owner == h {
		h.step(h.engine(window, n), e)
		return
	}
	forwarded := e
	if c, ok := e.(shard.Claim); ok {
		c.Forwarded = true
		forwarded = c
	}
	w.hop(owner, func() { owner.step(owner.engine(window, n), forwarded) })
	record := a.record
	w.after(w.config.Patience, h.alive(func() { a.unanswered(record, e) }))
}

// local hands an event to this host's own core.
func (h *host) local(a *attempt, e shard.Event) {
	window, n := h.world.place(a)
	h.step(h.engine(window, n), e)
}

func (w *Simulation) place(a *attempt) (window uint64, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], a.key)
	return uint64(a.date / w.config.WindowLength), int(xxhash.Sum64(b[:]) % uint64(w.config.Shards))
}

func (w *Simulation) ownerOf(h *host, n int) *host {
	switch {
	case !w.config.ForwardToOwner:
		return h
	case w.chance(w.config.MisrouteShare):
		return w.anyHost()
	}
	return w.hosts[n%len(w.hosts)]
}

// hop carries a message to another host.
func (w *Simulation) hop(to *host, f func()) {
	if w.chance(w.config.Faults.LoseHop) {
		return
	}
	if w.chance(w.config.Faults.RepeatHop) {
		w.after(w.config.Hop+w.upTo(w.config.Faults.LateTime), to.alive(f))
	}
	d := w.config.Hop
	if w.chance(w.config.Faults.Late) {
		d += w.upTo(w.config.Faults.LateTime)
	}
	w.after(d, to.alive(f))
}

func (h *host) engine(window uint64, n int) *engine {
	c := h.world.config
	id := window*uint64(c.Shards) + uint64(n)
	if e, ok := h.engines[id]; ok {
		return e
	}
	core := c.Core
	core.Window = window
	e := &engine{Engine: c.NewEngine(core), ref: objectRef{slot: window % c.Slots, shard: n}}
	h.engines[id] = e
	return e
}

func (h *host) step(e *engine, event shard.Event) {
	for _, effect := range e.Step(h.world.now, event) {
		h.perform(e, effect)
	}
}

func (h *host) perform(e *engine, effect shard.Effect) {
	w := h.world
	name := objectName(e.ref)
	switch f := effect.(type) {
	case shard.Read:
		w.store.call(func() reply { return w.store.read(name) }, func(r reply) {
			h.alive(func() {
				h.step(e, shard.ReadDone{Result: r.result, Version: r.object.Version, Value: r.object.Value})
			})()
		})
	case shard.Write:
		w.store.call(func() reply { return w.store.write(name, f) }, func(r reply) {
			h.alive(func() { h.step(e, shard.WriteDone{Result: r.result, Version: r.object.Version}) })()
		})
	case shard.Wake:
		e.wake++
		wake := e.wake
		w.at(f.At, h.alive(func() {
			if e.wake == wake {
				h.step(e, shard.Tick{})
			}
		}))
	case shard.Answer:
		h.reply(f.Token, func(a *attempt) { a.answered(f) })
	case shard.Recorded:
		h.reply(f.Token, func(a *attempt) { a.recorded(f) })
	}
}

// reply takes an answer to the host where the caller is.
func (h *host) reply(token shard.Token, f func(*attempt)) {
	w := h.world
	caller, ok := w.callers[token]
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
	w.hop(caller, deliver)
}
