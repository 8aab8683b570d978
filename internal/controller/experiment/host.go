package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// host is one controller process. Everything it holds is lost by a restart.
type host struct {
	world       *Simulation
	name        string
	incarnation uint64
	pausedUntil time.Duration
	// offset and drift relate its clock to the world's.
	offset time.Duration
	drift  float64
	core   *controller.Core
	// believes is until when it believes that it holds the lease.
	believes time.Duration
	fencing  uint64
	wrote    time.Duration
}

func newHost(w *Simulation, i int) *host {
	h := &host{world: w, name: fmt.Sprintf("host-%d", i+1)}
	h.start()
	return h
}

// start begins a new life with nothing.
func (h *host) start() {
	w := h.world
	w.seq++
	h.incarnation = w.seq
	h.pausedUntil, h.believes = 0, 0
	h.offset = w.upTo(time.Hour)
	h.drift = 1 + w.config.Faults.Drift*(2*w.random.Float64()-1)
	cfg := controller.DefaultConfig(dataCentre, h.name, fmt.Sprint(h.incarnation), w.random.Uint64())
	if w.config.Adjust != nil {
		w.config.Adjust(&cfg)
	}
	h.core = h.assemble(cfg)
	h.tick()
}

func (h *host) assemble(cfg controller.Config) *controller.Core {
	if h.world.config.New != nil {
		return h.world.config.New(cfg)
	}
	core, err := controller.New(cfg)
	if err != nil {
		panic(err)
	}
	return core
}

// local is the host's clock, world the world's time of a moment of it.
func (h *host) local(t time.Duration) time.Duration {
	return h.offset + time.Duration(float64(t)*h.drift)
}

func (h *host) real(local time.Duration) time.Duration {
	return time.Duration(float64(local-h.offset) / h.drift)
}

func (h *host) pause(d time.Duration) {
	h.pausedUntil = max(h.pausedUntil, h.world.now+d)
}

// alive runs f in the host's present life, once it is not paused.
func (h *host) alive(f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		switch {
		case h.incarnation != incarnation:
		case h.pausedUntil > h.world.now:
			h.world.at(h.pausedUntil, run)
		default:
			f()
		}
	}
	return run
}

// answer runs f on a reply in the life that asked, once it is not paused.
func (h *host) answer(f func(reply)) func(reply) {
	var got reply
	run := h.alive(func() { f(got) })
	return func(r reply) {
		got = r
		run()
	}
}

func (h *host) tick() {
	h.world.after(controller.TickEvery, h.alive(func() {
		h.step(controller.Tick{})
		h.tick()
	}))
}

func (h *host) step(e controller.Event) {
	now := h.local(h.world.now)
	effects := h.core.Step(now, e)
	for _, effect := range effects {
		h.execute(effect)
	}
	h.believe()
}

// believe checks that no other host believes that it holds the lease while
// this one does.
func (h *host) believe() {
	w := h.world
	term, holds := h.core.Holding(h.local(w.now))
	if !holds {
		h.believes = 0
		return
	}
	began := h.believes <= w.now || h.fencing != term.Fencing
	h.believes = h.real(term.Until)
	h.fencing = term.Fencing
	if began {
		w.Result.Acquisitions = append(w.Result.Acquisitions, Acquisition{
			Host: fmt.Sprint(h.incarnation), Fencing: h.fencing, Sent: h.wrote, At: w.now,
		})
	}
	for _, other := range w.hosts {
		if other != h && other.believes > w.now {
			w.violate("%s holds the lease under %d while %s believes to hold it under %d for %v more",
				h.name, h.fencing, other.name, other.fencing, other.believes-w.now)
		}
	}
}

func (h *host) execute(effect controller.Effect) {
	w := h.world
	switch f := effect.(type) {
	case controller.LeaseEffect:
		h.executeLease(f.Effect)
	case controller.OrderEffect:
		h.executeOrder(f.Effect)
	case controller.ReadHosts:
		w.store.call(func() reply { return reply{} }, h.answer(h.hostsRead))
	case controller.ReadConfiguration:
		h.readConfiguration(f)
	}
}

// readConfiguration waits like a watch, and looks at the end of the wait.
func (h *host) readConfiguration(f controller.ReadConfiguration) {
	w := h.world
	var read controller.ConfigurationRead
	done := h.answer(func(r reply) {
		read.Failed = r.result != lease.OK
		h.step(read)
	})
	wait := f.Wait
	if f.Above < w.version {
		wait = 0
	}
	w.after(wait, func() {
		w.store.call(func() reply {
			read = w.store.configuration(f.Above)
			return reply{}
		}, done)
	})
}

func (h *host) hostsRead(r reply) {
	if r.result != lease.OK {
		h.step(controller.HostsRead{Failed: true})
		return
	}
	h.step(controller.HostsRead{Hosts: h.world.store.hosts()})
}

func (h *host) executeLease(effect lease.Effect) {
	s := h.world.store
	key := lease.Key(dataCentre)
	switch f := effect.(type) {
	case lease.Read:
		s.call(func() reply { return s.read(key) }, h.answer(func(r reply) {
			h.step(controller.LeaseEvent{Event: lease.ReadDone{Result: r.result, Value: r.object.Value, Version: r.object.Version}})
		}))
	case lease.Write:
		h.wrote = h.world.now
		if h.world.chance(h.world.config.Faults.PauseInWrite) {
			h.pause(h.world.upTo(h.world.config.Faults.PauseFor))
		}
		s.call(func() reply { return s.write(key, f) }, h.answer(func(r reply) {
			h.step(controller.LeaseEvent{Event: lease.WriteDone{Result: r.result, Version: r.object.Version}})
		}))
	}
}

func (h *host) executeOrder(effect order.Effect) {
	switch f := effect.(type) {
	case order.ReadStatus:
		h.readStatus(f)
	case order.SendOrder:
		h.send(f)
	}
}
