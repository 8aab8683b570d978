package engine

import (
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// Counters holds what tests and benchmarks check about one engine.
type Counters struct {
	// Name and Address identify the engine; Alive reports whether it is running
	// now.
	Name    string `json:"name"`
	Address string `json:"address"`
	Alive   bool   `json:"alive"`
	// Core holds the totals of the simulation since the engine was last started
	// or restarted.
	Core batch.Counters `json:"core"`
	// OrdersTaken counts the orders executed, OrdersStale those among them whose
	// fencing number was lower than one seen before, OrdersDuplicate those with
	// an id that was executed before, and OrdersFenced those refused because of
	// their fencing number.
	OrdersTaken     int `json:"orders_taken"`
	OrdersStale     int `json:"orders_stale_taken"`
	OrdersDuplicate int `json:"orders_duplicate"`
	OrdersFenced    int `json:"orders_fenced"`
	// LateWork counts the work items accepted after the engine announced that it
	// was leaving. LateWorkMillis is the time from the announcement to the last
	// of them, in milliseconds.
	LateWork       int   `json:"work_while_leaving"`
	LateWorkMillis int64 `json:"last_work_while_leaving_ms"`
	// ForeignText counts the continuations whose already delivered text is not
	// the beginning of the answer to their prompt.
	ForeignText int `json:"foreign_text"`
	// Connections counts the connections accepted since the engine was last
	// started or restarted.
	Connections int `json:"connections"`
	// Runs counts the work items accepted per request id. It is filled only on
	// request.
	Runs map[string]int `json:"runs,omitempty"`
}

// checkCounters holds the counts that tests and benchmarks check. They survive
// restarts of the engine. Its size grows with the number of requests.
type checkCounters struct {
	mu       sync.Mutex
	counters Counters
	runs     map[string]int
}

func newCheckCounters() *checkCounters { return &checkCounters{runs: make(map[string]int)} }

func (c *checkCounters) recordWork(request string, leavingSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[request]++
	if !leavingSince.IsZero() {
		c.counters.LateWork++
		c.counters.LateWorkMillis = time.Since(leavingSince).Milliseconds()
	}
}

func (c *checkCounters) recordForeignText() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.ForeignText++
}

func (c *checkCounters) recordOrder(result orderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result {
	case orderExecutedStale:
		c.counters.OrdersTaken++
		c.counters.OrdersStale++
	case orderExecuted:
		c.counters.OrdersTaken++
	case orderDuplicate:
		c.counters.OrdersDuplicate++
	case orderFenced:
		c.counters.OrdersFenced++
	}
}

// Counters returns the engine's counters; with withRuns they include the runs of
// every request.
func (e *Engine) Counters(withRuns bool) Counters {
	e.checkCounters.mu.Lock()
	out := e.checkCounters.counters
	if withRuns {
		out.Runs = make(map[string]int, len(e.checkCounters.runs))
		for id, n := range e.checkCounters.runs {
			out.Runs[id] = n
		}
	}
	e.checkCounters.mu.Unlock()
	out.Name, out.Address = e.Name(), e.Address()
	if running := e.currentInstance(); running != nil {
		out.Alive, out.Connections = true, running.listener.Accepted()
		running.withCore(func(core *batch.Engine, _ time.Duration) { out.Core = core.Counters() })
	}
	return out
}

// RunsOfRequest returns how many work items were accepted for a request id.
func (e *Engine) RunsOfRequest(request string) int {
	e.checkCounters.mu.Lock()
	defer e.checkCounters.mu.Unlock()
	return e.checkCounters.runs[request]
}
