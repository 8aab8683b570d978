package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnutline/chestnutline/internal/order"
)

// engine is one simulated engine. It loses its memory when it crashes.
type engine struct {
	simulation *Simulation
	name       string
	// deadUntil is the time at which the engine comes up after a crash.
	deadUntil time.Duration
	// incarnation counts the starts of the engine.
	incarnation int
	// loadedAt maps each held name to the time at which its load ends or ended. A
	// name is model@version, or model@version+adapter for an adapter.
	loadedAt map[string]time.Duration
	// runIDs is the set of the IDs of the orders run in this incarnation.
	runIDs map[string]bool
	// lastOrder is the ID of the order run last, or empty.
	lastOrder string
	// lastFencing is the fencing number of the last order, highestFencing the
	// highest number in this incarnation, and highestFencingEver the highest in
	// all incarnations.
	lastFencing, highestFencing, highestFencingEver uint64
}

// newEngine returns a running engine that serves the preloaded names.
func newEngine(sim *Simulation, i int) *engine {
	e := &engine{simulation: sim, name: fmt.Sprintf("engine-%03d", i+1)}
	e.loseMemory()
	for _, name := range sim.config.Preloaded {
		e.loadedAt[name] = 0
	}
	return e
}

// loseMemory resets the engine to a state without models and orders.
func (e *engine) loseMemory() {
	e.loadedAt, e.runIDs = make(map[string]time.Duration), make(map[string]bool)
	e.lastOrder, e.lastFencing, e.highestFencing = "", 0, 0
	e.incarnation++
}

// crash makes the engine lose its memory and stay down for the given time.
func (e *engine) crash(downtime time.Duration) {
	e.loseMemory()
	e.simulation.lastCrash = e.simulation.now
	e.deadUntil = e.simulation.now + downtime
}

// alive reports whether the engine is up.
func (e *engine) alive() bool { return e.simulation.now >= e.deadUntil }

// status returns what the engine reports about itself.
func (e *engine) status() order.Status {
	s := order.Status{LastOrder: e.lastOrder, LastFencing: e.lastFencing}
	for name, at := range e.loadedAt {
		if at <= e.simulation.now {
			s.Models = append(s.Models, name)
		} else {
			s.Loading = append(s.Loading, name)
		}
	}
	slices.Sort(s.Models)
	slices.Sort(s.Loading)
	return s
}

// serves reports whether the engine serves any version of a model.
func (e *engine) serves(model string) bool {
	if !e.alive() {
		return false
	}
	for name, at := range e.loadedAt {
		if at <= e.simulation.now && strings.HasPrefix(name, model+"@") && !strings.Contains(name, "+") {
			return true
		}
	}
	return false
}

// maxStatusReportAge bounds the age of the status report on which the controller
// decides an order. If an engine crashed after that report, the controller could
// not know it, and the order is not checked.
const maxStatusReportAge = 1500 * time.Millisecond

// runOrder applies an order in the same way as a real engine, and counts it in
// the Result. decidedAt is the time at which the controller decided the order.
func (e *engine) runOrder(s order.SendOrder, decidedAt time.Duration) order.Outcome {
	sim := e.simulation
	if sim.config.ChecksFencing && s.Fencing < e.highestFencing {
		sim.Result.Fenced++
		return order.Fenced
	}
	if e.runIDs[s.ID] {
		sim.Result.Duplicate++
		return order.Taken
	}
	if s.Fencing < e.highestFencingEver {
		sim.Result.Stale++
	}
	sim.Result.Orders++
	e.runIDs[s.ID] = true
	e.lastOrder, e.lastFencing = s.ID, s.Fencing
	e.highestFencing, e.highestFencingEver = max(e.highestFencing, s.Fencing), max(e.highestFencingEver, s.Fencing)
	before := sim.servedModels()
	for _, name := range s.Unload {
		delete(e.loadedAt, name)
	}
	e.startLoading(s.Load)
	if sim.lastCrash < decidedAt-maxStatusReportAge {
		sim.checkStillServed(before, e, s)
	}
	sim.recordConcurrentLoads()
	return order.Taken
}

// startLoading loads the names one after another, after the loads in progress.
func (e *engine) startLoading(names []string) {
	at := e.simulation.now
	for _, ready := range e.loadedAt {
		at = max(at, ready)
	}
	for _, name := range names {
		if _, known := e.loadedAt[name]; !known {
			at += e.simulation.config.LoadTime
			e.loadedAt[name] = at
		}
	}
}

// readStatus carries out one read of an engine's status. The read of an
// engine that is down fails by a timeout.
func (h *host) readStatus(r order.ReadStatus) {
	sim := h.simulation
	sim.Result.EngineCalls++
	e := sim.engineNamed(r.Engine)
	var reply order.StatusRead
	done := h.whenRunning(func() { h.step(orderEvent(reply)) })
	sim.scheduleAfter(sim.randomUpTo(sim.config.MaxDelay), func() {
		read := order.StatusRead{Engine: r.Engine, Token: r.Token, Failed: !e.alive()}
		delay := time.Second
		if !read.Failed {
			delay, read.Status = sim.randomUpTo(sim.config.MaxDelay), e.status()
		}
		sim.scheduleAfter(delay, func() {
			reply = read
			done()
		})
	})
}

// sendOrder sends an order if its NotAfter has not passed, as the real process
// does.
func (h *host) sendOrder(s order.SendOrder) {
	sim := h.simulation
	answered := false
	var outcome order.Outcome
	done := h.whenRunning(func() {
		h.step(orderEvent(order.OrderDone{Engine: s.Engine, Token: s.Token, Outcome: outcome}))
	})
	answer := func(o order.Outcome) {
		if !answered {
			answered, outcome = true, o
			done()
		}
	}
	decidedAt := sim.now
	sim.scheduleAfter(0, h.whenRunning(func() {
		if h.localTime(sim.now) >= s.NotAfter {
			answer(order.NotRun)
			return
		}
		if sim.occurs(sim.config.Faults.PauseBeforeSendProbability) {
			h.pause(sim.randomUpTo(sim.config.Faults.MaxPause))
		}
		sim.scheduleAt(h.simulationTime(s.NotAfter), func() { answer(order.Unknown) })
		sim.scheduleAfter(time.Microsecond, h.whenRunning(func() { h.transmit(s, decidedAt, answer) }))
	}))
}

// transmit carries an order to the engine and its answer back, with the
// configured delays and losses.
func (h *host) transmit(s order.SendOrder, decidedAt time.Duration, answer func(order.Outcome)) {
	sim := h.simulation
	sim.Result.EngineCalls++
	if sim.occurs(sim.config.Faults.LossProbability) {
		return
	}
	delay := sim.randomUpTo(sim.config.MaxDelay)
	if sim.occurs(sim.config.Faults.LateOrderProbability) {
		delay = sim.randomUpTo(sim.config.Faults.MaxLateDelay)
	}
	e := sim.engineNamed(s.Engine)
	sim.scheduleAfter(delay, func() {
		if !e.alive() {
			return
		}
		outcome := e.runOrder(s, decidedAt)
		if !sim.occurs(sim.config.Faults.LossProbability) {
			sim.scheduleAfter(sim.randomUpTo(sim.config.MaxDelay), func() { answer(outcome) })
		}
	})
}
