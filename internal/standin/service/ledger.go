package service

import (
	"sync"
	"time"
)

// Counters is what the checks read of one service.
type Counters struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Alive   bool   `json:"alive"`
	// Runs counts calls run, by kind.
	Runs map[string]int `json:"runs_by_kind"`
	// ByRequest and ByKey count calls run per request id and, for actions, per
	// idempotency key. Only on demand.
	ByRequest map[string]int `json:"runs_by_request,omitempty"`
	ByKey     map[string]int `json:"runs_by_key,omitempty"`
	// RepeatedKeys is the number of keys run more than once.
	RepeatedKeys int `json:"keys_doubled"`
	// LateWork counts calls run while leaving, LateWorkMillis is when the last
	// of them came, in milliseconds after the sign.
	LateWork       int   `json:"work_while_leaving"`
	LateWorkMillis int64 `json:"last_work_while_leaving_ms"`
}

// ledger is what is counted for the checks. It grows with the number of calls.
type ledger struct {
	mu             sync.Mutex
	byKind         map[string]int
	byRequest      map[string]int
	byKey          map[string]int
	running        int
	lateWork       int
	lateWorkMillis int64
}

func newLedger() *ledger {
	return &ledger{byKind: make(map[string]int), byRequest: make(map[string]int), byKey: make(map[string]int)}
}

// run counts one call at the moment its effect happens.
func (g *ledger) run(kind, request, key string, leavingSince time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byKind[kind]++
	g.byRequest[request]++
	if key != "" {
		g.byKey[key]++
	}
	if !leavingSince.IsZero() {
		g.lateWork++
		g.lateWorkMillis = time.Since(leavingSince).Milliseconds()
	}
}

func (g *ledger) enter(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
	return g.running
}

func (g *ledger) counters(detailed bool) Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := Counters{Runs: copyOf(g.byKind), LateWork: g.lateWork, LateWorkMillis: g.lateWorkMillis}
	for _, n := range g.byKey {
		if n > 1 {
			c.RepeatedKeys++
		}
	}
	if detailed {
		c.ByRequest, c.ByKey = copyOf(g.byRequest), copyOf(g.byKey)
	}
	return c
}

func copyOf(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Counters returns the counters, with those per request and key if detailed.
func (s *Service) Counters(detailed bool) Counters {
	c := s.ledger.counters(detailed)
	c.Name = s.config.Name
	s.mu.Lock()
	c.Address, c.Alive = s.address, s.server != nil
	s.mu.Unlock()
	return c
}

// RunsOfKey returns how often calls with an idempotency key were run.
func (s *Service) RunsOfKey(key string) int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.byKey[key]
}

// RunsOfRequest returns how often calls of a request id were run.
func (s *Service) RunsOfRequest(request string) int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.byRequest[request]
}
