package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// host is one simulated controller process. A restart loses all of its state.
type host struct {
	simulation  *Simulation
	name        string
	incarnation uint64
	pausedUntil time.Duration
	// clockOffset and clockRate relate the host's clock to the simulation's
	// time.
	clockOffset time.Duration
	clockRate   float64
	core        *controller.Core
	// holdsUntil is the time until which the host considers itself the holder
	// of the lease, in the simulation's time, or 0 if it does not.
	holdsUntil time.Duration
	// fencing is the fencing number under which the host last held the lease.
	fencing uint64
	// lastWriteAt is when the host last sent a write of the lease.
	lastWriteAt time.Duration
}

// newHost returns a started host.
func newHost(sim *Simulation, i int) *host {
	h := &host{simulation: sim, name: fmt.Sprintf("host-%d", i+1)}
	h.start()
	return h
}

// start restarts the host as a new incarnation without any state.
func (h *host) start() {
	sim := h.simulation
	sim.lastSequence++
	h.incarnation = sim.lastSequence
	h.pausedUntil, h.holdsUntil = 0, 0
	h.clockOffset = sim.randomUpTo(time.Hour)
	h.clockRate = 1 + sim.config.Faults.MaxClockDrift*(2*sim.random.Float64()-1)
	cfg := controller.DefaultConfig(dataCentre, h.name, fmt.Sprint(h.incarnation), sim.random.Uint64())
	if sim.config.AdjustConfig != nil {
		sim.config.AdjustConfig(&cfg)
	}
	h.core = h.newController(cfg)
	h.tick()
}

// newController returns the controller under test.
func (h *host) newController(cfg controller.Config) *controller.Core {
	if h.simulation.config.NewController != nil {
		return h.simulation.config.NewController(cfg)
	}
	core, err := controller.New(cfg)
	if err != nil {
		panic(err)
	}
	return core
}

// localTime converts a time of the simulation to the host's clock.
func (h *host) localTime(t time.Duration) time.Duration {
	return h.clockOffset + time.Duration(float64(t)*h.clockRate)
}

// simulationTime converts a time of the host's clock to the simulation's time.
func (h *host) simulationTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-h.clockOffset) / h.clockRate)
}

// pause stops the host for the given time from now.
func (h *host) pause(d time.Duration) {
	h.pausedUntil = max(h.pausedUntil, h.simulation.now+d)
}

// whenRunning returns a function that runs f in the host's current incarnation
// as soon as the host is not paused. After a restart it does nothing.
func (h *host) whenRunning(f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		switch {
		case h.incarnation != incarnation:
		case h.pausedUntil > h.simulation.now:
			h.simulation.scheduleAt(h.pausedUntil, run)
		default:
			f()
		}
	}
	return run
}

// replyWhenRunning is like whenRunning for a function that takes the reply of a
// call.
func (h *host) replyWhenRunning(f func(callReply)) func(callReply) {
	var received callReply
	run := h.whenRunning(func() { f(received) })
	return func(r callReply) {
		received = r
		run()
	}
}

// tick sends a Tick to the controller every controller.TickEvery.
func (h *host) tick() {
	h.simulation.scheduleAfter(controller.TickEvery, h.whenRunning(func() {
		h.step(controller.Tick{})
		h.tick()
	}))
}

// step passes one event to the controller, carries out the effects and checks
// the lease.
func (h *host) step(e controller.Event) {
	now := h.localTime(h.simulation.now)
	effects := h.core.Step(now, e)
	for _, effect := range effects {
		h.execute(effect)
	}
	h.checkSingleHolder()
}

// checkSingleHolder records a new acquisition of the lease, and checks that no
// other host considers itself the holder while this one does.
func (h *host) checkSingleHolder() {
	sim := h.simulation
	term, holds := h.core.Holding(h.localTime(sim.now))
	if !holds {
		h.holdsUntil = 0
		return
	}
	acquired := h.holdsUntil <= sim.now || h.fencing != term.Fencing
	h.holdsUntil = h.simulationTime(term.Until)
	h.fencing = term.Fencing
	if acquired {
		sim.Result.Acquisitions = append(sim.Result.Acquisitions, Acquisition{
			Host: fmt.Sprint(h.incarnation), Fencing: h.fencing, WriteSentAt: h.lastWriteAt, AcquiredAt: sim.now,
		})
	}
	for _, other := range sim.hosts {
		if other != h && other.holdsUntil > sim.now {
			sim.recordViolation("%s holds the lease under %d while %s also holds it under %d for %v more",
				h.name, h.fencing, other.name, other.fencing, other.holdsUntil-sim.now)
		}
	}
}

// execute carries out one effect of the controller.
func (h *host) execute(effect controller.Effect) {
	sim := h.simulation
	switch f := effect.(type) {
	case controller.LeaseEffect:
		h.executeLease(f.Effect)
	case controller.OrderEffect:
		h.executeOrder(f.Effect)
	case controller.ReadHosts:
		sim.store.startCall(func() callReply { return callReply{} }, h.replyWhenRunning(h.handleHostsReply))
	case controller.ReadConfiguration:
		h.readConfiguration(f)
	}
}

// readConfiguration simulates a watch: it waits if there is no newer version
// yet, and reads the configuration at the end of the wait.
func (h *host) readConfiguration(f controller.ReadConfiguration) {
	sim := h.simulation
	var read controller.ConfigurationRead
	done := h.replyWhenRunning(func(r callReply) {
		read.Failed = r.result != lease.OK
		h.step(read)
	})
	wait := f.Wait
	if f.Above < sim.version {
		wait = 0
	}
	sim.scheduleAfter(wait, func() {
		sim.store.startCall(func() callReply {
			read = sim.store.configuration(f.Above)
			return callReply{}
		}, done)
	})
}

// handleHostsReply passes the list of hosts to the controller, or the failure
// of its read.
func (h *host) handleHostsReply(r callReply) {
	if r.result != lease.OK {
		h.step(controller.HostsRead{Failed: true})
		return
	}
	h.step(controller.HostsRead{Hosts: h.simulation.store.hosts()})
}

// executeLease carries out an effect of the lease.
func (h *host) executeLease(effect lease.Effect) {
	s := h.simulation.store
	key := lease.Key(dataCentre)
	switch f := effect.(type) {
	case lease.Read:
		s.startCall(func() callReply { return s.read(key) }, h.replyWhenRunning(func(r callReply) {
			h.step(controller.LeaseEvent{Event: lease.ReadDone{Result: r.result, Value: r.object.Value, Version: r.object.Version}})
		}))
	case lease.Write:
		h.lastWriteAt = h.simulation.now
		if h.simulation.occurs(h.simulation.config.Faults.PauseInWriteProbability) {
			h.pause(h.simulation.randomUpTo(h.simulation.config.Faults.MaxPause))
		}
		s.startCall(func() callReply { return s.write(key, f) }, h.replyWhenRunning(func(r callReply) {
			h.step(controller.LeaseEvent{Event: lease.WriteDone{Result: r.result, Version: r.object.Version}})
		}))
	}
}

// executeOrder carries out an effect of the order planner.
func (h *host) executeOrder(effect order.Effect) {
	switch f := effect.(type) {
	case order.ReadStatus:
		h.readStatus(f)
	case order.SendOrder:
		h.sendOrder(f)
	}
}
