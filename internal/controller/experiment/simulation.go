package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// Simulation is one run in simulated time.
type Simulation struct {
	config       Config
	random       *rand.Rand
	now          time.Duration // simulated time since the start of the run
	lastSequence uint64        // numbers scheduled events and incarnations of hosts
	events       eventQueue
	store        *store
	hosts        []*host
	engines      []*engine
	// accepted is the configuration in force, and version its version.
	accepted intent.Configuration
	version  uint64
	// lastCrash is the time at which an engine last lost its memory.
	lastCrash time.Duration

	// Result collects what the checks and the measurement evaluate.
	Result Result
}

// Result collects the violations and counts of a run.
type Result struct {
	// Violations describes each violated guarantee, up to maxViolations.
	Violations []string
	// Acquisitions is the history of the lease's holders.
	Acquisitions []Acquisition
	// Orders counts the orders that engines ran. Stale counts those of them
	// whose fencing number was below the highest one that the engine has ever
	// seen. Fenced and Duplicate count the orders without effect: refused ones
	// and repeated IDs.
	Orders, Stale, Fenced, Duplicate int
	// Reads and Writes count the calls to the object API by the kind of object:
	// lease, manifest, part or hosts.
	Reads, Writes map[string]int
	// Bytes counts the bytes of values read and written and of lists of hosts
	// read, EngineCalls the calls to engines.
	Bytes, EngineCalls int
	// MaxLoading is the largest number of engines that loaded at the same time.
	MaxLoading int
	// MaxVersionChanges is the largest number of engines that changed a model's
	// version at the same time.
	MaxVersionChanges int
	// RepairedAfter is meant for the time at which the engines last reached the
	// desired state. No code sets it.
	RepairedAfter time.Duration
}

// Acquisition records that a host obtained the lease. WriteSentAt is when the
// host sent the write, AcquiredAt when it learned that it holds the lease.
type Acquisition struct {
	Host                    string
	Fencing                 uint64
	WriteSentAt, AcquiredAt time.Duration
}

// Run carries out a whole run: the phase with faults, the quiet phase and the
// final check.
func Run(config Config) *Simulation {
	sim := newSimulation(config)
	sim.scheduleChanges()
	sim.advanceTo(config.FaultPhase)
	sim.endFaults()
	sim.advanceTo(config.FaultPhase + config.QuietPhase)
	sim.checkDesiredState()
	return sim
}

// newSimulation returns a simulation at time 0 with all hosts and engines
// started.
func newSimulation(config Config) *Simulation {
	sim := &Simulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 7)), lastCrash: -time.Hour}
	sim.Result.Reads, sim.Result.Writes = make(map[string]int), make(map[string]int)
	sim.store = &store{simulation: sim}
	sim.accepted, sim.version = config.Configurations[0], 1
	for i := range config.Engines {
		sim.engines = append(sim.engines, newEngine(sim, i))
	}
	for i := range config.Candidates {
		sim.hosts = append(sim.hosts, newHost(sim, i))
	}
	return sim
}

// scheduleChanges schedules the configuration changes and the faults.
func (sim *Simulation) scheduleChanges() {
	n := len(sim.config.Configurations)
	for i, c := range sim.config.Configurations[1:] {
		sim.scheduleAt(sim.config.FaultPhase*time.Duration(i+1)/time.Duration(n), func() { sim.accepted, sim.version = c, sim.version+1 })
	}
	f := sim.config.Faults
	sim.repeatRandomly(f.OutageEvery, func() {
		sim.store.unavailable = true
		sim.scheduleAfter(sim.randomUpTo(f.MaxOutage), func() { sim.store.unavailable = false })
	})
	sim.repeatRandomly(f.PauseEvery, func() { sim.randomHost().pause(sim.randomUpTo(f.MaxPause)) })
	sim.repeatRandomly(f.RestartEvery, func() { sim.randomHost().start() })
	sim.repeatRandomly(f.EngineDeathEvery, func() { sim.engines[sim.random.IntN(len(sim.engines))].crash(sim.randomUpTo(f.MaxEngineDowntime)) })
}

// endFaults ends the injection of faults. Pauses and delayed calls in progress
// continue, and so does the drift of the hosts' clocks.
func (sim *Simulation) endFaults() {
	sim.config.Faults = Faults{MaxClockDrift: sim.config.Faults.MaxClockDrift}
	sim.store.unavailable = false
}

// advanceTo runs all events scheduled before the given time.
func (sim *Simulation) advanceTo(until time.Duration) {
	for sim.events.Len() > 0 && sim.events[0].at < until {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// maxViolations bounds the number of violations recorded for a run.
const maxViolations = 20

// recordViolation adds a violation with the current time.
func (sim *Simulation) recordViolation(format string, args ...any) {
	if len(sim.Result.Violations) == maxViolations {
		return
	}
	sim.Result.Violations = append(sim.Result.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// occurs draws whether an event of probability p occurs.
func (sim *Simulation) occurs(p float64) bool {
	return p > 0 && sim.random.Float64() < p
}

// randomUpTo draws a random time between 0 and d.
func (sim *Simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.random.Float64() * float64(d))
}

// randomHost draws one of the hosts.
func (sim *Simulation) randomHost() *host {
	return sim.hosts[sim.random.IntN(len(sim.hosts))]
}

// repeatRandomly runs f at random times during the fault phase, on average once
// per interval.
func (sim *Simulation) repeatRandomly(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	sim.scheduleAfter(sim.randomUpTo(2*interval), func() {
		if sim.now < sim.config.FaultPhase {
			f()
			sim.repeatRandomly(interval, f)
		}
	})
}

// scheduledEvent is a function that runs at a given time. The sequence number
// seq orders events of the same time.
type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap of the scheduled events, the earliest first.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// scheduleAt schedules f at time t, but not before now.
func (sim *Simulation) scheduleAt(t time.Duration, f func()) {
	sim.lastSequence++
	heap.Push(&sim.events, scheduledEvent{at: max(t, sim.now), seq: sim.lastSequence, run: f})
}

// scheduleAfter schedules f after the time d from now.
func (sim *Simulation) scheduleAfter(d time.Duration, f func()) {
	sim.scheduleAt(sim.now+d, f)
}
