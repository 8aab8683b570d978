package experiment

import (
	"encoding/binary"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// OpKind is a kind of recorded call.
type OpKind uint8

// The kinds of recorded call.
const (
	OpClaim OpKind = iota
	OpComplete
	OpGiveBack
)

// Record is one call of the history.
type Record struct {
	Kind    OpKind
	Key     uint64
	Attempt uint64
	Host    int
	// Call and Return order the history; Return is 0 when the call never
	// returned, because its host was killed or the run ended.
	Call   int64
	Return int64
	// Decision answers a claim.
	Decision shard.Decision
	// By is the attempt whose outcome was recorded or returned.
	By uint64
}

// history is what the checks look at.
type history struct {
	records    []*Record
	clock      int64
	executions map[uint64][]uint64 // attempts that ran, by key
}

func (h *history) init() {
	h.executions = make(map[uint64][]uint64)
}

func (h *history) call(w *Simulation, a *attempt, kind OpKind) *Record {
	h.clock++
	r := &Record{Kind: kind, Key: a.key, Attempt: a.token.Attempt, Host: a.host.index, Call: h.clock}
	if w.config.Record {
		h.records = append(h.records, r)
	}
	return r
}

func (h *history) end(_ *Simulation, r *Record, d shard.Decision, o shard.Outcome) {
	if r == nil {
		return
	}
	h.clock++
	r.Return = h.clock
	r.Decision = d
	if d == shard.Done {
		r.own(o)
	}
}

func (r *Record) own(o shard.Outcome) {
	if len(o.Body) >= 8 {
		r.By = binary.BigEndian.Uint64(o.Body)
	}
}

func (h *history) execute(a *attempt) {
	h.executions[a.key] = append(h.executions[a.key], a.token.Attempt)
}

// History returns the calls in the order in which they began.
func (w *Simulation) History() []*Record {
	return w.history.records
}

// Executions returns the attempts that the upstream carried out, by key.
func (w *Simulation) Executions() map[uint64][]uint64 {
	return w.history.executions
}
