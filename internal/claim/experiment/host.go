package experiment

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// objectRef identifies one shard object by the number of its window modulo
// Config.Slots, and by the number of its shard.
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
	ClaimCore
	ref        objectRef
	timerCount uint64 // number of SetTimer effects; a timer is ignored if a later one was set
}

// attempt is one caller's request at one host.
type attempt struct {
	host    *host // the host that the caller asked
	key     uint64
	date    time.Duration // the key's date, as a simulated time
	token   shard.Token
	askedAt time.Duration // when the host received the request
	outcome shard.Outcome
	record  *Record // the call in progress, or nil
	// decided is true if the claim was answered with a decision other than
	// Refused, granted if that decision was Granted.
	decided bool
	granted bool
}

// newHost returns a started host.
func newHost(sim *Simulation, index int) *host {
	h := &host{simulation: sim, index: index}
	h.restart()
	return h
}

// restart kills the host and starts it again without any state.
func (h *host) restart() {
	h.simulation.lastSequence++
	h.incarnation = h.simulation.lastSequence
	h.pausedUntil = 0
	h.cores = make(map[uint64]*shardCore)
	h.attempts = make(map[shard.Token]*attempt)
}

// whenRunning returns a function that runs f as soon as the host is not paused.
// It does not run f at all if the host was restarted after the call of
// whenRunning.
func (h *host) whenRunning(f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		if h.incarnation != incarnation {
			return
		}
		if h.pausedUntil > h.simulation.now {
			h.simulation.scheduleAt(h.pausedUntil, run)
			return
		}
		f()
	}
	return run
}

// submitRequest starts an attempt for a caller's request.
func (h *host) submitRequest(key uint64, date time.Duration) {
	h.whenRunning(func() {
		sim := h.simulation
		sim.attempts++
		a := &attempt{
			host: h, key: key, date: date, askedAt: sim.now,
			token: shard.Token{Incarnation: h.incarnation, Attempt: sim.attempts},
		}
		a.outcome = shard.Outcome{Status: 200, Body: make([]byte, max(8, sim.config.BodyBytes))}
		binary.BigEndian.PutUint64(a.outcome.Body, sim.attempts)
		h.attempts[a.token] = a
		sim.callerHosts[a.token] = h
		a.record = sim.history.begin(sim, a, OpClaim)
		h.send(a, shard.Claim{
			ID: idOf(key), Token: a.token, Fingerprint: key,
			Date: int64(date / time.Second), WallTime: int64(sim.now / time.Second),
			Deadline:  int64((sim.now + sim.config.ClaimTimeout) / time.Second),
			WaitUntil: sim.now + sim.config.ClaimTimeout,
		})
		if sim.occurs(sim.config.HangUpShare) {
			sim.scheduleAfter(sim.randomBelow(sim.config.ClaimTimeout), h.whenRunning(a.hangUp))
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
	sim := h.simulation
	window, n := sim.locate(a)
	owner := sim.ownerOf(h, n)
	if owner == h {
		h.step(h.core(window, n), e)
		return
	}
	forwarded := e
	if c, ok := e.(shard.Claim); ok {
		c.Forwarded = true
		forwarded = c
	}
	sim.sendMessage(owner, func() { owner.step(owner.core(window, n), forwarded) })
	record := a.record
	sim.scheduleAfter(sim.config.ClaimTimeout, h.whenRunning(func() { a.handleForwardTimeout(record, e) }))
}

// stepOwnCore passes an event to this host's own core of the key.
func (h *host) stepOwnCore(a *attempt, e shard.Event) {
	window, n := h.simulation.locate(a)
	h.step(h.core(window, n), e)
}

// locate returns the window and the shard of the attempt's key.
func (sim *Simulation) locate(a *attempt) (window uint64, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], a.key)
	return uint64(a.date / sim.config.WindowLength), int(xxhash.Sum64(b[:]) % uint64(sim.config.Shards))
}

// ownerOf returns the host to which h sends the events of shard n: itself
// without forwarding, otherwise the owner or, for the misrouted share of the
// messages, a random host.
func (sim *Simulation) ownerOf(h *host, n int) *host {
	switch {
	case !sim.config.ForwardToOwner:
		return h
	case sim.occurs(sim.config.MisrouteShare):
		return sim.randomHost()
	}
	return sim.hosts[n%len(sim.hosts)]
}

// sendMessage delivers a message to another host by running f there. The message
// may be lost, duplicated or delayed.
func (sim *Simulation) sendMessage(to *host, f func()) {
	if sim.occurs(sim.config.Faults.LoseMessage) {
		return
	}
	if sim.occurs(sim.config.Faults.DuplicateMessage) {
		sim.scheduleAfter(sim.config.HopLatency+sim.randomBelow(sim.config.Faults.MaxDelay), to.whenRunning(f))
	}
	d := sim.config.HopLatency
	if sim.occurs(sim.config.Faults.Delay) {
		d += sim.randomBelow(sim.config.Faults.MaxDelay)
	}
	sim.scheduleAfter(d, to.whenRunning(f))
}

// core returns this host's core of a window and shard, and creates it if there
// is none.
func (h *host) core(window uint64, n int) *shardCore {
	c := h.simulation.config
	id := window*uint64(c.Shards) + uint64(n)
	if existing, ok := h.cores[id]; ok {
		return existing
	}
	coreConfig := c.Core
	coreConfig.Window = window
	created := &shardCore{ClaimCore: c.NewCore(coreConfig), ref: objectRef{slot: window % c.Slots, shard: n}}
	h.cores[id] = created
	return created
}

// step passes an event to a core and carries out the effects.
func (h *host) step(core *shardCore, event shard.Event) {
	for _, effect := range core.Step(h.simulation.now, event) {
		h.execute(core, effect)
	}
}

// execute carries out an effect of a core.
func (h *host) execute(core *shardCore, effect shard.Effect) {
	sim := h.simulation
	name := objectName(core.ref)
	switch f := effect.(type) {
	case shard.Read:
		sim.store.call(func() callResult { return sim.store.read(name) }, func(r callResult) {
			h.whenRunning(func() {
				h.step(core, shard.ReadDone{Result: r.result, Version: r.object.Version, Value: r.object.Value})
			})()
		})
	case shard.Write:
		sim.store.call(func() callResult { return sim.store.write(name, f) }, func(r callResult) {
			h.whenRunning(func() { h.step(core, shard.WriteDone{Result: r.result, Version: r.object.Version}) })()
		})
	case shard.SetTimer:
		core.timerCount++
		timer := core.timerCount
		sim.scheduleAt(f.At, h.whenRunning(func() {
			if core.timerCount == timer {
				h.step(core, shard.Tick{})
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
	sim := h.simulation
	caller, ok := sim.callerHosts[token]
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
	sim.sendMessage(caller, deliver)
}
