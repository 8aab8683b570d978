// Package experiment drives a dispatch.Core at a given size through its public
// interface, to measure what events cost and what state they keep. A World
// holds engines that report, other hosts with work of their own, and requests
// in flight; its time is virtual.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Size describes the fleet around one core.
type Size struct {
	// Engines and Hosts are those of the core's data centre, Hosts with itself.
	Engines int
	Hosts   int
	// InFlight is the number of requests being answered.
	InFlight int
	// Waiting is the number of requests that no engine can take yet.
	Waiting int
	// Prefixes is the number of cached prefixes known of each engine.
	Prefixes int
}

// Sizes that the measurements start from and end at.
var (
	CurrentSize = Size{Engines: 6, Hosts: 2, InFlight: 200}
	TargetSize  = Size{Engines: 331, Hosts: 30, InFlight: 10_000}
)

// Parameters of the load.
const (
	dataCentre   = "dc-01"
	model        = "model@1"
	promptTokens = 4_000
	answerTokens = 200
	blockTokens  = 512
	memoryTotal  = 400_000
	prefillRate  = 160_000
	// busyBacklog, in prompt tokens, is more than any host binds work behind.
	busyBacklog = 1_000_000
	// timeLimit of a request is longer than any measurement.
	timeLimit = 24 * time.Hour
	// arrivalGap is the time between two requests at one of the aim's nodes.
	arrivalGap = 10 * time.Millisecond
	// reportGap is longer than a report may lag, so that it shows everything.
	reportGap = time.Second
	// peerLoads is the number of upstreams that one heartbeat tells of.
	peerLoads = 48
)

// Simulation is a core with everything around it.
type Simulation struct {
	size    Size
	core    *dispatch.Core
	rng     *rand.Rand
	now     time.Duration
	engines []string
	busy    bool
	// running are the ids of the requests in flight, oldest from next on.
	running []string
	next    int
	number  int
	// turn goes round the engines and the hosts.
	turn int
}

// New returns a world of the size given, filled up.
func New(size Size, seed uint64) (*Simulation, error) {
	cfg := dispatch.DefaultConfig()
	cfg.Host, cfg.Incarnation, cfg.DataCentre, cfg.Seed = "host-00", 1, dataCentre, seed
	core, err := dispatch.New(cfg)
	if err != nil {
		return nil, errors.Wrap(err, "measure dispatch")
	}
	w := &Simulation{size: size, core: core, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	w.listEngines()
	for host := 1; host < size.Hosts; host++ {
		w.core.Step(w.now, dispatch.HostChanged{Host: hostName(host), Incarnation: 1, State: dispatch.HostAlive})
		w.core.Step(w.now, w.peerReport(host, size.Engines))
	}
	for len(w.running) < size.InFlight {
		id, err := w.begin()
		if err != nil {
			return nil, err
		}
		w.running = append(w.running, id)
		if len(w.running)%size.Engines == 0 {
			w.ReportAllEngines()
		}
	}
	w.ReportAllEngines()
	return w, w.fillQueue()
}

func hostName(i int) string { return fmt.Sprintf("host-%02d", i) }

func (w *Simulation) listEngines() {
	for i := range w.size.Engines {
		name := fmt.Sprintf("engine-%04d", i)
		w.engines = append(w.engines, name)
		w.core.Step(w.now, dispatch.UpstreamListed{Name: name, Address: "127.0.0.1:7000", DataCentre: dataCentre})
		w.core.Step(w.now, w.cacheReport(name))
	}
	w.ReportAllEngines()
}

// cacheReport fills an engine's part of the prefix index.
func (w *Simulation) cacheReport(name string) dispatch.CacheReported {
	changes := make([]dispatch.CacheChange, w.size.Prefixes)
	for i := range changes {
		changes[i] = dispatch.CacheChange{Sequence: uint64(i), PrefixHash: w.rng.Uint64()}
	}
	return dispatch.CacheReported{Name: name, Changes: changes, NextSequence: uint64(len(changes))}
}

func (w *Simulation) peerReport(host, loads int) dispatch.PeerReported {
	e := dispatch.PeerReported{Host: hostName(host)}
	for i := range min(loads, len(w.engines)) {
		name := w.engines[(w.turn+i)%len(w.engines)]
		e.Work = append(e.Work, dispatch.PeerWork{Upstream: name, Requests: 1, MemoryTokens: answerTokens})
	}
	return e
}

// begin brings one request in and its answer's first token.
func (w *Simulation) begin() (string, error) {
	id := w.arrive()
	for _, effect := range w.core.Step(w.now, w.arrival(id)) {
		if _, sent := effect.(dispatch.Send); sent {
			w.core.Step(w.now, dispatch.FirstToken{ID: id, Attempt: 1})
			return id, nil
		}
	}
	return "", errors.Errorf("request %s of %d in flight was not sent to an engine", id, len(w.running))
}

func (w *Simulation) arrive() string {
	w.number++
	w.now += arrivalGap
	return fmt.Sprintf("request-%08d", w.number)
}

func (w *Simulation) arrival(id string) dispatch.Arrived {
	prefixes := make([]uint64, promptTokens/blockTokens)
	for i := range prefixes {
		prefixes[i] = w.rng.Uint64()
	}
	return dispatch.Arrived{
		ID: id, Organisation: fmt.Sprintf("organisation-%04d", w.number%organisations), Share: 1,
		Kind: "question", Model: model, PromptTokens: promptTokens, MaxTokens: answerTokens,
		Deadline: w.now + timeLimit, PrefixHashes: prefixes, BlockTokens: blockTokens,
	}
}

// organisations is the number that ask at this host.
const organisations = 4_200

// fillQueue makes every engine busy and lets the waiting requests arrive.
func (w *Simulation) fillQueue() error {
	w.busy = w.size.Waiting > 0
	if !w.busy {
		return nil
	}
	w.ReportAllEngines()
	for range w.size.Waiting {
		w.core.Step(w.now, w.arrival(w.arrive()))
	}
	if queued := w.core.Dump(w.now, 0).Queued; queued != w.size.Waiting {
		return errors.Errorf("%d requests wait, not %d", queued, w.size.Waiting)
	}
	return nil
}

// ReportAllEngines lets every engine report a state that shows all work in flight.
func (w *Simulation) ReportAllEngines() {
	w.now += reportGap
	used := make(map[string]int, len(w.engines))
	for _, work := range w.core.OwnWork() {
		used[work.Upstream] = work.MemoryTokens
	}
	for _, name := range w.engines {
		w.core.Step(w.now, w.loadReport(name, used[name]))
	}
}

func (w *Simulation) loadReport(name string, used int) dispatch.LoadReported {
	e := dispatch.LoadReported{
		Name: name, RequestedAt: w.now, MemoryUsed: used, MemoryTotal: memoryTotal,
		PrefillRate: prefillRate, DecodeStep: 20 * time.Millisecond, Models: []string{model},
	}
	if w.busy {
		e.PrefillBacklog = busyBacklog
	}
	return e
}
