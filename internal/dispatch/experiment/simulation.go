// Package experiment drives a dispatch.Core at a given size through its public
// interface, to measure how much time events take and how much state the core
// keeps. A Simulation consists of a core, engines that report their load, other
// hosts with work of their own, and requests in flight; its time is simulated.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Size describes the load of one core and the fleet around it.
type Size struct {
	// Engines and Hosts are the numbers of engines and hosts in the core's data
	// centre; Hosts includes the core's own host.
	Engines int
	Hosts   int
	// InFlight is the number of requests that are being answered.
	InFlight int
	// Waiting is the number of requests that no engine can take yet.
	Waiting int
	// Prefixes is the number of cached prefixes known for each engine.
	Prefixes int
}

// CurrentSize is the size from which the measurements start, TargetSize the one
// at which they end.
var (
	CurrentSize = Size{Engines: 6, Hosts: 2, InFlight: 200}
	TargetSize  = Size{Engines: 331, Hosts: 30, InFlight: 10_000}
)

// Parameters of the load. Lengths, memory and rates are in tokens.
const (
	dataCentre   = "dc-01"
	model        = "model@1"
	promptTokens = 4_000
	answerTokens = 200
	blockTokens  = 512
	memoryTotal  = 400_000
	prefillRate  = 160_000
	// busyBacklog is a prefill backlog, in prompt tokens, so long that hosts
	// send no further work to the engine.
	busyBacklog = 1_000_000
	// timeLimit is the time limit of a request; it is longer than any
	// measurement.
	timeLimit = 24 * time.Hour
	// arrivalInterval is the time between two requests at one host of the
	// target size.
	arrivalInterval = 10 * time.Millisecond
	// reportInterval is longer than the time by which a load report may lag
	// behind, so that every report shows all work in flight.
	reportInterval = time.Second
	// loadsPerHeartbeat is the number of upstreams whose load one heartbeat
	// reports.
	loadsPerHeartbeat = 48
)

// Simulation is a core together with everything around it.
type Simulation struct {
	size    Size
	core    *dispatch.Core
	rng     *rand.Rand
	now     time.Duration
	engines []string
	// enginesBusy is set if the engines report a backlog that lets new requests
	// wait.
	enginesBusy bool
	// running holds the IDs of the requests in flight in a ring; the oldest is
	// at the index oldest.
	running      []string
	oldest       int
	requestCount int
	// rotation is incremented with every report, to select the engines and the
	// hosts in turn.
	rotation int
}

// New returns a simulation with the requests in flight and waiting that the
// given size asks for.
func New(size Size, seed uint64) (*Simulation, error) {
	cfg := dispatch.DefaultConfig()
	cfg.Host, cfg.Incarnation, cfg.DataCentre, cfg.Seed = "host-00", 1, dataCentre, seed
	core, err := dispatch.New(cfg)
	if err != nil {
		return nil, errors.Wrap(err, "create the dispatch core to measure")
	}
	sim := &Simulation{size: size, core: core, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	sim.listEngines()
	for host := 1; host < size.Hosts; host++ {
		sim.core.Step(sim.now, dispatch.HostChanged{Host: hostName(host), Incarnation: 1, State: dispatch.HostAlive})
		sim.core.Step(sim.now, sim.peerReport(host, size.Engines))
	}
	for len(sim.running) < size.InFlight {
		id, err := sim.startRequest()
		if err != nil {
			return nil, err
		}
		sim.running = append(sim.running, id)
		if len(sim.running)%size.Engines == 0 {
			sim.ReportAllEngines()
		}
	}
	sim.ReportAllEngines()
	return sim, sim.fillQueue()
}

// hostName returns the name of the host with the given number.
func hostName(i int) string { return fmt.Sprintf("host-%02d", i) }

// listEngines introduces the engines with their cached prefixes and loads to
// the core.
func (sim *Simulation) listEngines() {
	for i := range sim.size.Engines {
		name := fmt.Sprintf("engine-%04d", i)
		sim.engines = append(sim.engines, name)
		sim.core.Step(sim.now, dispatch.UpstreamListed{Name: name, Address: "127.0.0.1:7000", DataCentre: dataCentre})
		sim.core.Step(sim.now, sim.cacheReport(name))
	}
	sim.ReportAllEngines()
}

// cacheReport returns the cache events that fill the core's table of an
// engine's prefixes.
func (sim *Simulation) cacheReport(name string) dispatch.CacheReported {
	changes := make([]dispatch.CacheChange, sim.size.Prefixes)
	for i := range changes {
		changes[i] = dispatch.CacheChange{Sequence: uint64(i), PrefixHash: sim.rng.Uint64()}
	}
	return dispatch.CacheReported{Name: name, Changes: changes, NextSequence: uint64(len(changes))}
}

// peerReport returns a report of another host that has work on the given number
// of engines.
func (sim *Simulation) peerReport(host, loads int) dispatch.PeerReported {
	e := dispatch.PeerReported{Host: hostName(host)}
	for i := range min(loads, len(sim.engines)) {
		name := sim.engines[(sim.rotation+i)%len(sim.engines)]
		e.Work = append(e.Work, dispatch.PeerWork{Upstream: name, Requests: 1, MemoryTokens: answerTokens})
	}
	return e
}

// startRequest lets one request arrive and delivers the first token of its
// answer. It fails if no engine gets the request.
func (sim *Simulation) startRequest() (string, error) {
	id := sim.nextArrival()
	for _, effect := range sim.core.Step(sim.now, sim.arrivedEvent(id)) {
		if _, sent := effect.(dispatch.Send); sent {
			sim.core.Step(sim.now, dispatch.FirstToken{ID: id, Attempt: 1})
			return id, nil
		}
	}
	return "", errors.Errorf("request %s of %d in flight was not sent to an engine", id, len(sim.running))
}

// nextArrival advances the time to the next arrival and returns the ID of its
// request.
func (sim *Simulation) nextArrival() string {
	sim.requestCount++
	sim.now += arrivalInterval
	return fmt.Sprintf("request-%08d", sim.requestCount)
}

// arrivedEvent returns the arrival of a request with random prefixes.
func (sim *Simulation) arrivedEvent(id string) dispatch.Arrived {
	prefixes := make([]uint64, promptTokens/blockTokens)
	for i := range prefixes {
		prefixes[i] = sim.rng.Uint64()
	}
	return dispatch.Arrived{
		ID: id, Organisation: fmt.Sprintf("organisation-%04d", sim.requestCount%organisationCount), Share: 1,
		Kind: "question", Model: model, PromptTokens: promptTokens, MaxTokens: answerTokens,
		Deadline: sim.now + timeLimit, PrefixHashes: prefixes, BlockTokens: blockTokens,
	}
}

// organisationCount is the number of organisations that send requests to this
// host.
const organisationCount = 4_200

// fillQueue makes every engine busy and lets the waiting requests arrive.
func (sim *Simulation) fillQueue() error {
	sim.enginesBusy = sim.size.Waiting > 0
	if !sim.enginesBusy {
		return nil
	}
	sim.ReportAllEngines()
	for range sim.size.Waiting {
		sim.core.Step(sim.now, sim.arrivedEvent(sim.nextArrival()))
	}
	if queued := sim.core.Dump(sim.now, 0).Queued; queued != sim.size.Waiting {
		return errors.Errorf("%d requests wait, want %d", queued, sim.size.Waiting)
	}
	return nil
}

// ReportAllEngines lets every engine report a load that includes all work in
// flight.
func (sim *Simulation) ReportAllEngines() {
	sim.now += reportInterval
	used := make(map[string]int, len(sim.engines))
	for _, work := range sim.core.OwnWork() {
		used[work.Upstream] = work.MemoryTokens
	}
	for _, name := range sim.engines {
		sim.core.Step(sim.now, sim.loadReport(name, used[name]))
	}
}

// loadReport returns the load report of an engine that holds the given memory.
func (sim *Simulation) loadReport(name string, used int) dispatch.LoadReported {
	e := dispatch.LoadReported{
		Name: name, RequestedAt: sim.now, MemoryUsed: used, MemoryTotal: memoryTotal,
		PrefillRate: prefillRate, DecodeStep: 20 * time.Millisecond, Models: []string{model},
	}
	if sim.enginesBusy {
		e.PrefillBacklog = busyBacklog
	}
	return e
}
