package experiment

import (
	"fmt"
	"strings"

	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Operation is one step of the load whose cost is measured.
type Operation struct {
	Name string
	// Run carries it out once and leaves the world at its size.
	Run func(*Simulation)
}

// Names of the operations.
const (
	OperationTurnover   = "Arrived+FirstToken+Finished"
	OperationHangUp     = "Arrived+CallerGone"
	OperationLoadReport = "LoadReported"
	OperationTick       = "Tick"
	OperationPeerReport = "PeerReported"
)

// Operations lists what is measured in a world of the size given.
func Operations(size Size) []Operation {
	list := []Operation{{OperationTurnover, (*Simulation).turnover}}
	if size.Waiting > 0 {
		list = []Operation{{OperationHangUp, (*Simulation).giveUp}}
	}
	return append(list,
		Operation{OperationLoadReport, (*Simulation).report},
		Operation{OperationTick, (*Simulation).tick},
		Operation{OperationPeerReport, (*Simulation).peer},
	)
}

// turnover ends the oldest request in flight and begins another.
func (w *Simulation) turnover() {
	id, err := w.begin()
	if err != nil {
		panic(err)
	}
	w.core.Step(w.now, dispatch.Finished{ID: w.running[w.next], Attempt: 1, AnswerTokens: answerTokens})
	w.running[w.next] = id
	w.next = (w.next + 1) % len(w.running)
}

// giveUp lets a request wait and its caller hang up.
func (w *Simulation) giveUp() {
	id := w.arrive()
	w.core.Step(w.now, w.arrival(id))
	w.core.Step(w.now, dispatch.CallerGone{ID: id})
}

func (w *Simulation) report() {
	w.turn++
	w.core.Step(w.now, w.loadReport(w.engines[w.turn%len(w.engines)], 0))
}

func (w *Simulation) tick() {
	w.core.Step(w.now, dispatch.Tick{})
}

func (w *Simulation) peer() {
	w.turn++
	w.core.Step(w.now, w.peerReport(1+w.turn%max(1, w.size.Hosts-1), peerLoads))
}

// String names the size as a benchmark's name does.
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

// Dump takes a snapshot of the core.
func (w *Simulation) Dump(limit int) dispatch.Dump {
	return w.core.Dump(w.now, limit)
}
