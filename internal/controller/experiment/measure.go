package experiment

import (
	"encoding/json"
	"time"

	"github.com/chestnutline/chestnutline/internal/order"
)

// Size describes the size of a data centre and of the whole system.
type Size struct {
	// Candidates is the number of controllers, each a candidate for the lease,
	// and Engines the number of engines.
	Candidates int
	Engines    int
	// Elsewhere is the number of hosts and upstreams of other data centres,
	// which the platform's list names too.
	Elsewhere int
}

// Cost is the cost of the controllers of one data centre in a run without
// faults.
type Cost struct {
	Size Size `json:"size"`
	// StoreReads and StoreWrites are the calls to the platform a second, by all
	// candidates together. A waiting watch counts as a read.
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
	// StoreBytes is the size of the values and lists read and written, in bytes
	// a second.
	StoreBytes float64 `json:"store_bytes_per_second"`
	// EngineCalls and EngineBytes are the holder's calls to engines and the
	// bytes of the answers' bodies, a second.
	EngineCalls float64 `json:"engine_calls_per_second"`
	EngineBytes float64 `json:"engine_bytes_per_second"`
	// TakeoverSeconds is the mean time from a restart of the holder, which loses
	// its state, until a candidate holds the lease again.
	TakeoverSeconds float64 `json:"takeover_seconds"`
	// RolloutSeconds is the time from a change of version until all engines
	// hold the new version and no other.
	RolloutSeconds float64 `json:"rollout_seconds"`
}

// Parameters of the measurement.
const (
	// warmUpTime precedes the measurement of the rates, which are averaged over
	// measurementTime.
	warmUpTime      = 2 * time.Minute
	measurementTime = 4 * time.Minute
	// takeoverCount is the number of takeovers over which the time is averaged.
	takeoverCount = 3
	// maxWait bounds the wait for one condition.
	maxWait = 3 * time.Hour
	// takeoverStep and rolloutStep are the resolutions of the measured times.
	takeoverStep = 100 * time.Millisecond
	rolloutStep  = time.Second
)

// Measure simulates the controllers of one data centre of the given size: first
// without faults, then with restarts of the lease holder, then with a change of
// version.
func Measure(size Size, seed uint64) Cost {
	config := DefaultConfig(seed)
	config.Candidates, config.Engines, config.Elsewhere = size.Candidates, size.Engines, size.Elsewhere
	config.Preloaded = []string{"judge@1", "judge@1+a", "desk@1"}
	sim := newSimulation(config)
	sim.advanceTo(warmUpTime)
	cost := sim.measureRates(size)
	var total time.Duration
	for range takeoverCount {
		total += sim.measureTakeover()
	}
	cost.TakeoverSeconds = total.Seconds() / takeoverCount
	sim.advanceTo(sim.now + warmUpTime)
	began := sim.now
	sim.accepted, sim.version = Configuration("2", 0), sim.version+1
	sim.advanceUntil(rolloutStep, sim.inDesiredState)
	cost.RolloutSeconds = (sim.now - began).Seconds()
	return cost
}

// measureRates counts calls over a period without faults.
func (sim *Simulation) measureRates(size Size) Cost {
	sim.Result = Result{Reads: make(map[string]int), Writes: make(map[string]int)}
	sim.advanceTo(sim.now + measurementTime)
	cost := Cost{Size: size}
	for _, n := range sim.Result.Reads {
		cost.StoreReads += float64(n) / measurementTime.Seconds()
	}
	for _, n := range sim.Result.Writes {
		cost.StoreWrites += float64(n) / measurementTime.Seconds()
	}
	cost.StoreBytes = float64(sim.Result.Bytes) / measurementTime.Seconds()
	cost.EngineCalls = float64(sim.Result.EngineCalls) / measurementTime.Seconds()
	cost.EngineBytes = cost.EngineCalls * float64(statusBytes(sim.engines[0].status()))
	return cost
}

// statusBytes returns the size of a status as engines send it.
func statusBytes(s order.Status) int {
	body, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return len(body)
}

// measureTakeover restarts the holder and returns the time until the next host
// holds the lease.
func (sim *Simulation) measureTakeover() time.Duration {
	sim.advanceUntil(takeoverStep, func() bool { return sim.holder() != nil })
	sim.holder().start()
	began := sim.now
	sim.advanceUntil(takeoverStep, func() bool { return sim.holder() != nil })
	return sim.now - began
}

// holder returns the host that holds the lease, or nil.
func (sim *Simulation) holder() *host {
	for _, h := range sim.hosts {
		if h.holdsUntil > sim.now {
			return h
		}
	}
	return nil
}

// inDesiredState reports whether the engines hold the desired models and
// nothing else. It leaves the recorded violations unchanged.
func (sim *Simulation) inDesiredState() bool {
	savedViolations := sim.Result.Violations
	sim.Result.Violations = nil
	sim.checkDesiredState()
	satisfied := len(sim.Result.Violations) == 0
	sim.Result.Violations = savedViolations
	return satisfied
}

// advanceUntil runs the simulation in steps until a condition holds or maxWait
// has passed.
func (sim *Simulation) advanceUntil(step time.Duration, condition func() bool) {
	limit := sim.now + maxWait
	for !condition() && sim.now < limit {
		sim.advanceTo(sim.now + step)
	}
}
