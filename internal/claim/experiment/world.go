package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// settleTime is how long a run goes on after the last arrival.
const settleTime = 30 * time.Second

// Simulation is one run.
type Simulation struct {
	config   Config
	random   *rand.Rand
	now      time.Duration
	seq      uint64
	queue    queue
	store    *store
	hosts    []*host
	attempts uint64
	callers  map[shard.Token]*host
	history  history
	counts   map[shard.Decision]int
	waits    []time.Duration
}

// Run carries out a whole run.
func Run(config Config) *Simulation {
	w := newWorld(config)
	w.scheduleArrivals()
	w.scheduleFaults()
	end := config.ArrivalDuration + settleTime
	for w.queue.Len() > 0 && w.queue[0].at < end {
		w.step()
	}
	return w
}

func newWorld(config Config) *Simulation {
	if config.NewEngine == nil {
		config.NewEngine = func(c shard.Config) Engine { return shard.New(c) }
	}
	w := &Simulation{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
		counts:  make(map[shard.Decision]int),
		callers: make(map[shard.Token]*host),
	}
	w.store = &store{
		world:   w,
		objects: standin.NewObjects(),
		writes:  bucket{rate: config.Store.WritesPerSecond},
		reads:   bucket{rate: config.Store.ReadsPerSecond},
	}
	for i := range config.Hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	w.history.init()
	return w
}

func (w *Simulation) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

// upTo is a random duration below d.
func (w *Simulation) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *Simulation) anyHost() *host {
	return w.hosts[w.random.IntN(len(w.hosts))]
}

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

// scheduleAction has the key's date at its first asking; a repeat carries the same date.
func (w *Simulation) scheduleAction(t time.Duration, key uint64) {
	date := t
	if w.config.Keys > 0 {
		date = 0
	}
	w.at(t, func() { w.anyHost().ask(key, date) })
	if w.chance(w.config.RepeatShare) {
		w.at(t+w.upTo(2*time.Second), func() { w.anyHost().ask(key, date) })
	}
}

func (w *Simulation) scheduleFaults() {
	f := w.config.Faults
	w.every(f.DownEvery, func() {
		w.store.down = true
		w.after(w.upTo(f.DownFor), func() { w.store.down = false })
	})
	w.every(f.PauseEvery, func() { w.anyHost().pausedUntil = w.now + w.upTo(f.PauseFor) })
	w.every(f.KillEvery, func() { w.anyHost().kill() })
}

// every runs f at random times, on average once in the interval given.
func (w *Simulation) every(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	var next func()
	next = func() {
		f()
		if w.now < w.config.ArrivalDuration {
			w.after(w.upTo(2*interval), next)
		}
	}
	w.after(w.upTo(2*interval), next)
}
