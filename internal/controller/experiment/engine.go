package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnutline/chestnutline/internal/order"
)

// engine is one simulated engine. Its memory is lost when it dies.
type engine struct {
	world     *Simulation
	name      string
	deadUntil time.Duration
	life      int
	// ready is when each held name is or was loaded.
	ready map[string]time.Duration
	taken map[string]bool
	last  string
	// fencing is that of the last order, highest the highest in this life,
	// ever in all lives.
	fencing, highest, ever uint64
}

func newEngine(w *Simulation, i int) *engine {
	e := &engine{world: w, name: fmt.Sprintf("engine-%03d", i+1)}
	e.forget()
	for _, name := range w.config.Preloaded {
		e.ready[name] = 0
	}
	return e
}

func (e *engine) forget() {
	e.ready, e.taken = make(map[string]time.Duration), make(map[string]bool)
	e.last, e.fencing, e.highest = "", 0, 0
	e.life++
}

func (e *engine) die(dead time.Duration) {
	e.forget()
	e.world.lastDeath = e.world.now
	e.deadUntil = e.world.now + dead
}

func (e *engine) alive() bool { return e.world.now >= e.deadUntil }

func (e *engine) status() order.Status {
	s := order.Status{LastOrder: e.last, LastFencing: e.fencing}
	for name, at := range e.ready {
		if at <= e.world.now {
			s.Models = append(s.Models, name)
		} else {
			s.Loading = append(s.Loading, name)
		}
	}
	slices.Sort(s.Models)
	slices.Sort(s.Loading)
	return s
}

// serves says whether the engine has any version of a model loaded.
func (e *engine) serves(model string) bool {
	if !e.alive() {
		return false
	}
	for name, at := range e.ready {
		if at <= e.world.now && strings.HasPrefix(name, model+"@") && !strings.Contains(name, "+") {
			return true
		}
	}
	return false
}

// noticedWithin is how old a report may be on which an order was decided. An
// engine that died since can't be counted on.
const noticedWithin = 1500 * time.Millisecond

// run takes an order as engines do.
func (e *engine) run(s order.SendOrder, decided time.Duration) order.Outcome {
	w := e.world
	if w.config.ChecksFencing && s.Fencing < e.highest {
		w.Result.Fenced++
		return order.Fenced
	}
	if e.taken[s.ID] {
		w.Result.Duplicate++
		return order.Taken
	}
	if s.Fencing < e.ever {
		w.Result.Stale++
	}
	w.Result.Orders++
	e.taken[s.ID] = true
	e.last, e.fencing = s.ID, s.Fencing
	e.highest, e.ever = max(e.highest, s.Fencing), max(e.ever, s.Fencing)
	before := w.served()
	for _, name := range s.Unload {
		delete(e.ready, name)
	}
	e.load(s.Load)
	if w.lastDeath < decided-noticedWithin {
		w.checkServed(before, e, s)
	}
	w.countLoading()
	return order.Taken
}

func (e *engine) load(names []string) {
	at := e.world.now
	for _, ready := range e.ready {
		at = max(at, ready)
	}
	for _, name := range names {
		if _, known := e.ready[name]; !known {
			at += e.world.config.LoadTime
			e.ready[name] = at
		}
	}
}

// readStatus carries out one read of a status; it fails by timeout.
func (h *host) readStatus(r order.ReadStatus) {
	w := h.world
	w.Result.EngineCalls++
	e := w.named(r.Engine)
	var answered order.StatusRead
	done := h.alive(func() { h.step(orderedEvent(answered)) })
	w.after(w.upTo(w.config.Delay), func() {
		read := order.StatusRead{Engine: r.Engine, Token: r.Token, Failed: !e.alive()}
		delay := time.Second
		if !read.Failed {
			delay, read.Status = w.upTo(w.config.Delay), e.status()
		}
		w.after(delay, func() {
			answered = read
			done()
		})
	})
}

// send sends an order if its time is not over, as the process does.
func (h *host) send(s order.SendOrder) {
	w := h.world
	answered := false
	var outcome order.Outcome
	done := h.alive(func() {
		h.step(orderedEvent(order.OrderDone{Engine: s.Engine, Token: s.Token, Outcome: outcome}))
	})
	answer := func(o order.Outcome) {
		if !answered {
			answered, outcome = true, o
			done()
		}
	}
	decided := w.now
	w.after(0, h.alive(func() {
		if h.local(w.now) >= s.NotAfter {
			answer(order.NotRun)
			return
		}
		if w.chance(w.config.Faults.PauseBeforeSend) {
			h.pause(w.upTo(w.config.Faults.PauseFor))
		}
		w.at(h.real(s.NotAfter), func() { answer(order.Unknown) })
		w.after(time.Microsecond, h.alive(func() { h.transmit(s, decided, answer) }))
	}))
}

func (h *host) transmit(s order.SendOrder, decided time.Duration, answer func(order.Outcome)) {
	w := h.world
	w.Result.EngineCalls++
	if w.chance(w.config.Faults.Lose) {
		return
	}
	delay := w.upTo(w.config.Delay)
	if w.chance(w.config.Faults.LateOrders) {
		delay = w.upTo(w.config.Faults.LateTime)
	}
	e := w.named(s.Engine)
	w.after(delay, func() {
		if !e.alive() {
			return
		}
		outcome := e.run(s, decided)
		if !w.chance(w.config.Faults.Lose) {
			w.after(w.upTo(w.config.Delay), func() { answer(outcome) })
		}
	})
}
