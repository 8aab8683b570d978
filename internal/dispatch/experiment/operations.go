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
func (w *Simulation) replaceOldestRequest() {
	id, err := w.startRequest()
	if err != nil {
		panic(err)
	}
	w.core.Step(w.now, dispatch.Finished{ID: w.running[w.oldest], Attempt: 1, AnswerTokens: answerTokens})
	w.running[w.oldest] = id
	w.oldest = (w.oldest + 1) % len(w.running)
}

// hangUp lets a request arrive, which has to wait, and its caller hang up.
func (w *Simulation) hangUp() {
	id := w.nextArrival()
	w.core.Step(w.now, w.arrivedEvent(id))
	w.core.Step(w.now, dispatch.CallerGone{ID: id})
}

// reportLoad delivers the load report of one engine after the other.
func (w *Simulation) reportLoad() {
	w.rotation++
	w.core.Step(w.now, w.loadReport(w.engines[w.rotation%len(w.engines)], 0))
}

// deliverTick delivers a tick.
func (w *Simulation) deliverTick() {
	w.core.Step(w.now, dispatch.Tick{})
}

// reportPeer delivers the heartbeat of one other host after the other.
func (w *Simulation) reportPeer() {
	w.rotation++
	w.core.Step(w.now, w.peerReport(1+w.rotation%max(1, w.size.Hosts-1), loadsPerHeartbeat))
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
func (w *Simulation) Dump(limit int) dispatch.Dump {
	return w.core.Dump(w.now, limit)
}
