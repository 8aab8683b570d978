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

// Simulation is one run of the simulation.
type Simulation struct {
	config         Config
	random         *rand.Rand
	now            time.Duration
	seq            uint64    // counts scheduled calls and incarnations
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
	w := newSimulation(config)
	w.scheduleArrivals()
	w.scheduleFaults()
	end := config.ArrivalDuration + drainTime
	for w.queue.Len() > 0 && w.queue[0].at < end {
		w.step()
	}
	return w
}

func newSimulation(config Config) *Simulation {
	if config.NewCore == nil {
		config.NewCore = func(c shard.Config) Core { return shard.New(c) }
	}
	w := &Simulation{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
		decisionCounts: make(map[shard.Decision]int),
		callerHosts:    make(map[shard.Token]*host),
	}
	w.store = &store{
		simulation: w,
		objects:    standin.NewObjects(),
		writes:     tokenBucket{rate: config.Store.WritesPerSecond},
		reads:      tokenBucket{rate: config.Store.ReadsPerSecond},
	}
	for i := range config.Hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	w.history.init()
	return w
}

// chance returns true with probability p.
func (w *Simulation) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

// randomBelow returns a random duration from 0 up to, but not including, d.
func (w *Simulation) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *Simulation) randomHost() *host {
	return w.hosts[w.random.IntN(len(w.hosts))]
}

// scheduleArrivals schedules the arrivals of all actions as a Poisson process.
func (w *Simulation) scheduleArrivals() {
	rate := w.config.ActionsPerSecond
	var number uint64
	for t := time.Duration(0); ; {
		t += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		if t > w.config.ArrivalDuration {
			return
		}
		number++
		key := number
		if w.config.Keys > 0 {
			key = uint64(w.random.IntN(w.config.Keys))
		}
		w.scheduleAction(t, key)
	}
}

// scheduleAction schedules the request of an action and possibly its repetition.
// The key's date is the time of the first request, and the repetition carries
// the same date. With few keys all dates are 0.
func (w *Simulation) scheduleAction(t time.Duration, key uint64) {
	date := t
	if w.config.Keys > 0 {
		date = 0
	}
	w.runAt(t, func() { w.randomHost().submitRequest(key, date) })
	if w.chance(w.config.RepeatShare) {
		w.runAt(t+w.randomBelow(2*time.Second), func() { w.randomHost().submitRequest(key, date) })
	}
}

func (w *Simulation) scheduleFaults() {
	f := w.config.Faults
	w.repeatAtRandom(f.OutageInterval, func() {
		w.store.down = true
		w.runAfter(w.randomBelow(f.MaxOutage), func() { w.store.down = false })
	})
	w.repeatAtRandom(f.PauseInterval, func() { w.randomHost().pausedUntil = w.now + w.randomBelow(f.MaxPause) })
	w.repeatAtRandom(f.KillInterval, func() { w.randomHost().restart() })
}

// repeatAtRandom runs f at random times, on average once in the given interval,
// as long as actions arrive. It does nothing if the interval is 0.
func (w *Simulation) repeatAtRandom(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	var next func()
	next = func() {
		f()
		if w.now < w.config.ArrivalDuration {
			w.runAfter(w.randomBelow(2*interval), next)
		}
	}
	w.runAfter(w.randomBelow(2*interval), next)
}
