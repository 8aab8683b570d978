package experiment

import (
	"fmt"
	"strings"

	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Operation is one step of the load whose cost is measured.
type Operation struct {
	Name string
	// Run carries out the operation once and leaves the simulation at its size.
	Run func(*Simulation)
}

// Names of the operations, after the events that they consist of.
const (
	OperationTurnover   = "Arrived+FirstToken+Finished"
	OperationHangUp     = "Arrived+CallerGone"
	OperationLoadReport = "LoadReported"
	OperationTick       = "Tick"
	OperationPeerReport = "PeerReported"
)

// Operations returns the operations that are measured in a simulation of the
// given size. With waiting requests, a new request can't be started, so an
// arrival with a hang-up is measured instead.
func Operations(size Size) []Operation {
	list := []Operation{{OperationTurnover, (*Simulation).replaceOldestRequest}}
	if size.Waiting > 0 {
		list = []Operation{{OperationHangUp, (*Simulation).hangUp}}
	}
	return append(list,
		Operation{OperationLoadReport, (*Simulation).reportLoad},
		Operation{OperationTick, (*Simulation).deliverTick},
		Operation{OperationPeerReport, (*Simulation).reportPeer},
	)
}

// replaceOldestRequest starts a new request and finishes the oldest request in
// flight.
func (sim *Simulation) replaceOldestRequest() {
	id, err := sim.startRequest()
	if err != nil {
		panic(err)
	}
	sim.core.Step(sim.now, dispatch.Finished{ID: sim.running[sim.oldest], Attempt: 1, AnswerTokens: answerTokens})
	sim.running[sim.oldest] = id
	sim.oldest = (sim.oldest + 1) % len(sim.running)
}

// hangUp lets a request arrive, which has to wait, and its caller hang up.
func (sim *Simulation) hangUp() {
	id := sim.nextArrival()
	sim.core.Step(sim.now, sim.arrivedEvent(id))
	sim.core.Step(sim.now, dispatch.CallerGone{ID: id})
}

// reportLoad delivers the load report of one engine after the other.
func (sim *Simulation) reportLoad() {
	sim.rotation++
	sim.core.Step(sim.now, sim.loadReport(sim.engines[sim.rotation%len(sim.engines)], 0))
}

// deliverTick delivers a tick.
func (sim *Simulation) deliverTick() {
	sim.core.Step(sim.now, dispatch.Tick{})
}

// reportPeer delivers the heartbeat of one other host after the other.
func (sim *Simulation) reportPeer() {
	sim.rotation++
	sim.core.Step(sim.now, sim.peerReport(1+sim.rotation%max(1, sim.size.Hosts-1), loadsPerHeartbeat))
}

// String returns the size in the form in which it is used in the names of
// benchmarks.
func (s Size) String() string {
	parts := []string{
		fmt.Sprintf("engines=%d", s.Engines), fmt.Sprintf("hosts=%d", s.Hosts), fmt.Sprintf("in_flight=%d", s.InFlight),
	}
	if s.Waiting > 0 {
		parts = append(parts, fmt.Sprintf("waiting=%d", s.Waiting))
	}
	if s.Prefixes > 0 {
		parts = append(parts, fmt.Sprintf("prefixes=%d", s.Prefixes))
	}
	return strings.Join(parts, "/")
}

// Dump returns a snapshot of the core with at most limit upstreams and at most
// limit requests.
func (sim *Simulation) Dump(limit int) dispatch.Dump {
	return sim.core.Dump(sim.now, limit)
}
