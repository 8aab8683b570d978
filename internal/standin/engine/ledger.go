package engine

import (
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// Counters is what the checks read of one engine.
type Counters struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Alive   bool   `json:"alive"`
	// Core counts since the engine last came to life.
	Core batch.Counters `json:"core"`
	// OrdersTaken counts orders run, OrdersStale those of them with a fencing
	// number older than one seen, OrdersFenced those refused for it.
	OrdersTaken     int `json:"orders_taken"`
	OrdersStale     int `json:"orders_stale_taken"`
	OrdersDuplicate int `json:"orders_duplicate"`
	OrdersFenced    int `json:"orders_fenced"`
	// LateWork counts works accepted while leaving, LateWorkMillis is when the
	// last of them came, in milliseconds after the sign.
	LateWork       int   `json:"work_while_leaving"`
	LateWorkMillis int64 `json:"last_work_while_leaving_ms"`
	// ForeignText counts works that were to continue a text which is not the
	// beginning of their prompt's answer.
	ForeignText int `json:"foreign_text"`
	// Connections counts connections accepted since the engine last came to life.
	Connections int `json:"connections"`
	// Runs counts the works accepted per request id; only on demand.
	Runs map[string]int `json:"runs,omitempty"`
}

// ledger is what is counted for the checks, whatever lives and dies. It grows
// with the number of requests.
type ledger struct {
	mu       sync.Mutex
	counters Counters
	runs     map[string]int
}

func newLedger() *ledger { return &ledger{runs: make(map[string]int)} }

func (g *ledger) run(request string, leavingSince time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[request]++
	if !leavingSince.IsZero() {
		g.counters.LateWork++
		g.counters.LateWorkMillis = time.Since(leavingSince).Milliseconds()
	}
}

func (g *ledger) foreign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.ForeignText++
}

func (g *ledger) ordered(result orderResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch result {
	case orderTakenStale:
		g.counters.OrdersTaken++
		g.counters.OrdersStale++
	case orderTaken:
		g.counters.OrdersTaken++
	case orderDuplicate:
		g.counters.OrdersDuplicate++
	case orderFenced:
		g.counters.OrdersFenced++
	}
}

// Counters returns the engine's counters, with the runs of every request if
// withRuns is set.
func (e *Engine) Counters(withRuns bool) Counters {
	e.ledger.mu.Lock()
	out := e.ledger.counters
	if withRuns {
		out.Runs = make(map[string]int, len(e.ledger.runs))
		for id, n := range e.ledger.runs {
			out.Runs[id] = n
		}
	}
	e.ledger.mu.Unlock()
	out.Name, out.Address = e.Name(), e.Address()
	if l := e.current(); l != nil {
		out.Alive, out.Connections = true, l.listener.Accepted()
		l.withCore(func(core *batch.Engine, _ time.Duration) { out.Core = core.Counters() })
	}
	return out
}

// RunsOfRequest returns how many works were accepted for a request id.
func (e *Engine) RunsOfRequest(request string) int {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return e.ledger.runs[request]
}
