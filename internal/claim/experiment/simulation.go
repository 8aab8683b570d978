package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// drainTime is the time for which a run continues after the last arrival, so
// that the requests in progress can end.
const drainTime = 30 * time.Second

// Simulation holds the state of one run: the simulated time, the scheduled
// calls, the hosts, the store and what was recorded.
type Simulation struct {
	config         Config
	random         *rand.Rand
	now            time.Duration
	lastSequence   uint64    // counts scheduled calls and incarnations
	queue          callQueue // the calls to be run
	store          *store
	hosts          []*host
	attempts       uint64                // number of attempts so far
	callerHosts    map[shard.Token]*host // the host that each attempt's caller asked
	history        history
	decisionCounts map[shard.Decision]int
	grantWaits     []time.Duration // times from the requests to their granted claims
}

// Run carries out a whole run and returns it for evaluation.
func Run(config Config) *Simulation {
	sim := newSimulation(config)
	sim.scheduleArrivals()
	sim.scheduleFaults()
	end := config.ArrivalDuration + drainTime
	for sim.queue.Len() > 0 && sim.queue[0].at < end {
		sim.step()
	}
	return sim
}

// newSimulation returns a simulation at time 0 with its hosts and an empty
// store.
func newSimulation(config Config) *Simulation {
	if config.NewCore == nil {
		config.NewCore = func(c shard.Config) ClaimCore { return shard.New(c) }
	}
	sim := &Simulation{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
		decisionCounts: make(map[shard.Decision]int),
		callerHosts:    make(map[shard.Token]*host),
	}
	sim.store = &store{
		simulation: sim,
		objects:    standin.NewObjects(),
		writes:     tokenBucket{rate: config.Store.WritesPerSecond},
		reads:      tokenBucket{rate: config.Store.ReadsPerSecond},
	}
	for i := range config.Hosts {
		sim.hosts = append(sim.hosts, newHost(sim, i))
	}
	sim.history.init()
	return sim
}

// occurs draws whether an event of probability p occurs.
func (sim *Simulation) occurs(p float64) bool {
	return p > 0 && sim.random.Float64() < p
}

// randomBelow returns a random duration from 0 up to, but not including, d.
func (sim *Simulation) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(sim.random.Int64N(int64(d)))
}

// randomHost returns a host chosen at random.
func (sim *Simulation) randomHost() *host {
	return sim.hosts[sim.random.IntN(len(sim.hosts))]
}

// scheduleArrivals schedules the arrivals of all actions as a Poisson process.
func (sim *Simulation) scheduleArrivals() {
	rate := sim.config.ActionsPerSecond
	var number uint64
	for t := time.Duration(0); ; {
		t += time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second))
		if t > sim.config.ArrivalDuration {
			return
		}
		number++
		key := number
		if sim.config.Keys > 0 {
			key = uint64(sim.random.IntN(sim.config.Keys))
		}
		sim.scheduleAction(t, key)
	}
}

// scheduleAction schedules the request of an action and possibly its repetition.
// The key's date is the time of the first request, and the repetition carries
// the same date. If Config.Keys is set, all dates are 0.
func (sim *Simulation) scheduleAction(t time.Duration, key uint64) {
	date := t
	if sim.config.Keys > 0 {
		date = 0
	}
	sim.scheduleAt(t, func() { sim.randomHost().submitRequest(key, date) })
	if sim.occurs(sim.config.RepeatShare) {
		sim.scheduleAt(t+sim.randomBelow(2*time.Second), func() { sim.randomHost().submitRequest(key, date) })
	}
}

// scheduleFaults schedules the outages of the store and the pauses and kills of
// hosts.
func (sim *Simulation) scheduleFaults() {
	f := sim.config.Faults
	sim.repeatAtRandom(f.OutageInterval, func() {
		sim.store.down = true
		sim.scheduleAfter(sim.randomBelow(f.MaxOutage), func() { sim.store.down = false })
	})
	sim.repeatAtRandom(f.PauseInterval, func() { sim.randomHost().pausedUntil = sim.now + sim.randomBelow(f.MaxPause) })
	sim.repeatAtRandom(f.KillInterval, func() { sim.randomHost().restart() })
}

// repeatAtRandom runs f at random times, on average once in the given interval,
// as long as actions arrive. It does nothing if the interval is 0.
func (sim *Simulation) repeatAtRandom(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	var next func()
	next = func() {
		f()
		if sim.now < sim.config.ArrivalDuration {
			sim.scheduleAfter(sim.randomBelow(2*interval), next)
		}
	}
	sim.scheduleAfter(sim.randomBelow(2*interval), next)
}
