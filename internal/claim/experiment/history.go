package experiment

import (
	"encoding/binary"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// OpKind is the kind of a recorded call.
type OpKind uint8

// The kinds of recorded call.
const (
	// OpClaim asks for the claim on a key.
	OpClaim OpKind = iota
	// OpComplete records the outcome of the action that ran.
	OpComplete
	// OpGiveBack gives back a claim whose action the upstream refused.
	OpGiveBack
)

// Record is one call of the history: the kind of call, and the key, the attempt
// and the host that made it.
type Record struct {
	Kind    OpKind
	Key     uint64
	Attempt uint64
	Host    int
	// Call and Return are the positions of the call and its return in the order
	// of all calls and returns. Return is 0 if the call never returned, because
	// its host was killed or the run ended.
	Call   int64
	Return int64
	// Decision is the answer to a claim.
	Decision shard.Decision
	// OutcomeAttempt is the attempt whose outcome was recorded or returned.
	OutcomeAttempt uint64
}

// history holds what the checks need: the calls and the executions.
type history struct {
	records    []*Record
	clock      int64               // number of calls and returns so far
	executions map[uint64][]uint64 // attempts whose action ran, by key
}

func (h *history) init() {
	h.executions = make(map[uint64][]uint64)
}

// begin records that an attempt makes a call.
func (h *history) begin(sim *Simulation, a *attempt, kind OpKind) *Record {
	h.clock++
	r := &Record{Kind: kind, Key: a.key, Attempt: a.token.Attempt, Host: a.host.index, Call: h.clock}
	if sim.config.RecordHistory {
		h.records = append(h.records, r)
	}
	return r
}

// end records that a call has returned. It does nothing if r is nil.
func (h *history) end(_ *Simulation, r *Record, d shard.Decision, o shard.Outcome) {
	if r == nil {
		return
	}
	h.clock++
	r.Return = h.clock
	r.Decision = d
	if d == shard.Done {
		r.setOutcomeAttempt(o)
	}
}

// setOutcomeAttempt sets OutcomeAttempt from the first 8 bytes of the body, in
// which each outcome of the simulation has the number of its attempt.
func (r *Record) setOutcomeAttempt(o shard.Outcome) {
	if len(o.Body) >= 8 {
		r.OutcomeAttempt = binary.BigEndian.Uint64(o.Body)
	}
}

// recordExecution records that the upstream ran the action of the attempt.
func (h *history) recordExecution(a *attempt) {
	h.executions[a.key] = append(h.executions[a.key], a.token.Attempt)
}

// History returns the calls in the order in which they began.
func (sim *Simulation) History() []*Record {
	return sim.history.records
}

// Executions returns the attempts whose action the upstream ran, by key.
func (sim *Simulation) Executions() map[uint64][]uint64 {
	return sim.history.executions
}
