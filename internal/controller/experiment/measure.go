package experiment

import (
	"encoding/json"
	"time"

	"github.com/chestnutline/chestnutline/internal/order"
)

// Size is how big a data centre is.
type Size struct {
	Candidates int
	Engines    int
	// Elsewhere is how many hosts and upstreams other data centres have; the
	// platform's list names them too.
	Elsewhere int
}

// Cost is what the controllers of one data centre cost without faults.
type Cost struct {
	Size Size `json:"size"`
	// StoreReads and StoreWrites are calls to the platform a second, by all
	// candidates together; a waiting watch is a read.
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
	// StoreBytes is values and lists read and written, bytes a second.
	StoreBytes float64 `json:"store_bytes_per_second"`
	// EngineCalls and EngineBytes are the holder's traffic with engines, a
	// second, bodies of answers only.
	EngineCalls float64 `json:"engine_calls_per_second"`
	EngineBytes float64 `json:"engine_bytes_per_second"`
	// TakeoverSeconds is from the death of the holder to the next one's
	// gain of the lease, on average.
	TakeoverSeconds float64 `json:"takeover_seconds"`
	// RolloutSeconds is from a change of version until all engines hold it
	// and no other.
	RolloutSeconds float64 `json:"rollout_seconds"`
}

const (
	// measureWarm is left out of the rates, measureFor is what they are taken over.
	measureWarm = 2 * time.Minute
	measureFor  = 4 * time.Minute
	// takeovers is how many deaths of the holder are averaged.
	takeovers = 3
	// measureLimit bounds the wait for one thing to come about.
	measureLimit = 3 * time.Hour
	// measureStep and settleStep are the resolutions of the times measured.
	measureStep = 100 * time.Millisecond
	settleStep  = time.Second
)

// Measure runs the controllers of one data centre of the size given without
// faults, then with the death of its holder, then with a change of version.
func Measure(size Size, seed uint64) Cost {
	config := DefaultConfig(seed)
	config.Candidates, config.Engines, config.Elsewhere = size.Candidates, size.Engines, size.Elsewhere
	config.Preloaded = []string{"judge@1", "judge@1+a", "desk@1"}
	w := newWorld(config)
	w.advance(measureWarm)
	cost := w.rates(size)
	var total time.Duration
	for range takeovers {
		total += w.takeover()
	}
	cost.TakeoverSeconds = total.Seconds() / takeovers
	w.advance(w.now + measureWarm)
	began := w.now
	w.accepted, w.version = Configuration("2", 0), w.version+1
	w.until(settleStep, w.settled)
	cost.RolloutSeconds = (w.now - began).Seconds()
	return cost
}

// rates counts calls over a while without faults.
func (w *Simulation) rates(size Size) Cost {
	w.Result = Result{Reads: make(map[string]int), Writes: make(map[string]int)}
	w.advance(w.now + measureFor)
	cost := Cost{Size: size}
	for _, n := range w.Result.Reads {
		cost.StoreReads += float64(n) / measureFor.Seconds()
	}
	for _, n := range w.Result.Writes {
		cost.StoreWrites += float64(n) / measureFor.Seconds()
	}
	cost.StoreBytes = float64(w.Result.Bytes) / measureFor.Seconds()
	cost.EngineCalls = float64(w.Result.EngineCalls) / measureFor.Seconds()
	cost.EngineBytes = cost.EngineCalls * float64(statusBytes(w.engines[0].status()))
	return cost
}

// statusBytes is the size of a status as engines send it.
func statusBytes(s order.Status) int {
	body, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return len(body)
}

// takeover restarts the holder and waits for the next one.
func (w *Simulation) takeover() time.Duration {
	w.until(measureStep, func() bool { return w.holder() != nil })
	w.holder().start()
	began := w.now
	w.until(measureStep, func() bool { return w.holder() != nil })
	return w.now - began
}

func (w *Simulation) holder() *host {
	for _, h := range w.hosts {
		if h.believes > w.now {
			return h
		}
	}
	return nil
}

// settled says whether the engines hold what is wanted and no other version.
func (w *Simulation) settled() bool {
	kept := w.Result.Violations
	w.Result.Violations = nil
	w.checkSettled()
	good := len(w.Result.Violations) == 0
	w.Result.Violations = kept
	return good
}

// until runs on until something holds, or a limit has passed.
func (w *Simulation) until(step time.Duration, holds func() bool) {
	limit := w.now + measureLimit
	for !holds() && w.now < limit {
		w.advance(w.now + step)
	}
}
