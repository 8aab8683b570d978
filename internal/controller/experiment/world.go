package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// Simulation is one run.
type Simulation struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	seq     uint64
	queue   queue
	store   *store
	hosts   []*host
	engines []*engine
	// accepted is the configuration in force and its version.
	accepted intent.Configuration
	version  uint64
	// lastDeath is when an engine last lost its memory.
	lastDeath time.Duration

	// Result is what the checks and the measurement read.
	Result Result
}

// Result is what came of a run.
type Result struct {
	// Violations lists each broken promise.
	Violations []string
	// Acquisitions is the history of the lease.
	Acquisitions []Acquisition
	// Orders counts the orders run by engines, Stale those of them with a
	// fencing number below one that the engine has ever seen, Fenced and
	// Duplicate those without effect.
	Orders, Stale, Fenced, Duplicate int
	// Reads and Writes count calls to the object API, by what they concern.
	Reads, Writes map[string]int
	// Bytes counts values read and written, EngineCalls the calls to engines.
	Bytes, EngineCalls int
	// MostLoading is the most engines that loaded at the same time.
	MostLoading int
	// MostRolling is the most engines that changed a model's version at the
	// same time.
	MostRolling int
	// RepairedAfter is when the engines last came to hold what is wanted.
	RepairedAfter time.Duration
}

// Acquisition is one gain of the lease.
type Acquisition struct {
	Host     string
	Fencing  uint64
	Sent, At time.Duration
}

// Run carries out a whole run.
func Run(config Config) *Simulation {
	w := newWorld(config)
	w.schedule()
	w.advance(config.Length)
	w.calm()
	w.advance(config.Length + config.Settle)
	w.checkSettled()
	return w
}

func newWorld(config Config) *Simulation {
	w := &Simulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 7)), lastDeath: -time.Hour}
	w.Result.Reads, w.Result.Writes = make(map[string]int), make(map[string]int)
	w.store = &store{world: w}
	w.accepted, w.version = config.Configurations[0], 1
	for i := range config.Engines {
		w.engines = append(w.engines, newEngine(w, i))
	}
	for i := range config.Candidates {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	return w
}

// schedule plans changes and faults.
func (w *Simulation) schedule() {
	n := len(w.config.Configurations)
	for i, c := range w.config.Configurations[1:] {
		w.at(w.config.Length*time.Duration(i+1)/time.Duration(n), func() { w.accepted, w.version = c, w.version+1 })
	}
	f := w.config.Faults
	w.every(f.DownEvery, func() {
		w.store.down = true
		w.after(w.upTo(f.DownFor), func() { w.store.down = false })
	})
	w.every(f.PauseEvery, func() { w.anyHost().pause(w.upTo(f.PauseFor)) })
	w.every(f.KillEvery, func() { w.anyHost().start() })
	w.every(f.EngineDieEvery, func() { w.engines[w.random.IntN(len(w.engines))].die(w.upTo(f.EngineDeadFor)) })
}

// calm ends the faults; what is under way goes on.
func (w *Simulation) calm() {
	w.config.Faults = Faults{Drift: w.config.Faults.Drift}
	w.store.down = false
}

// advance runs all that happens before the time given.
func (w *Simulation) advance(until time.Duration) {
	for w.queue.Len() > 0 && w.queue[0].at < until {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.run()
	}
	w.now = until
}

// maxViolations bounds what is kept of a run that goes wrong.
const maxViolations = 20

func (w *Simulation) violate(format string, args ...any) {
	if len(w.Result.Violations) == maxViolations {
		return
	}
	w.Result.Violations = append(w.Result.Violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *Simulation) chance(p float64) bool {
	return p > 0 && w.random.Float64() < p
}

func (w *Simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(d))
}

func (w *Simulation) anyHost() *host {
	return w.hosts[w.random.IntN(len(w.hosts))]
}

// every runs f at random times, on average once in the interval given.
func (w *Simulation) every(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	w.after(w.upTo(2*interval), func() {
		if w.now < w.config.Length {
			f()
			w.every(interval, f)
		}
	})
}

// timed is a function to be run at a time; seq breaks ties.
type timed struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue orders what is to happen.
type queue []timed

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(timed)) }

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *Simulation) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, timed{at: max(t, w.now), seq: w.seq, run: f})
}

func (w *Simulation) after(d time.Duration, f func()) {
	w.at(w.now+d, f)
}
