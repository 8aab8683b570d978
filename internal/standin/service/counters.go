package service

import (
	"sync"
	"time"
)

// Counters holds what tests and benchmarks check about one service.
type Counters struct {
	// Name and Address identify the service; Alive reports whether it is running
	// now.
	Name    string `json:"name"`
	Address string `json:"address"`
	Alive   bool   `json:"alive"`
	// Runs counts the calls that were run, by kind.
	Runs map[string]int `json:"runs_by_kind"`
	// ByRequest counts the calls run per request id, and ByKey those per
	// idempotency key, which only actions have. Both are filled only on request.
	ByRequest map[string]int `json:"runs_by_request,omitempty"`
	ByKey     map[string]int `json:"runs_by_key,omitempty"`
	// RepeatedKeys is the number of idempotency keys whose call was run more
	// than once.
	RepeatedKeys int `json:"keys_doubled"`
	// LateWork counts the calls run after the service announced that it was
	// leaving. LateWorkMillis is the time from the announcement to the last of
	// them, in milliseconds.
	LateWork       int   `json:"work_while_leaving"`
	LateWorkMillis int64 `json:"last_work_while_leaving_ms"`
}

// checkCounters holds the counts that tests and benchmarks check. They survive
// restarts of the service. Its size grows with the number of calls.
type checkCounters struct {
	mu             sync.Mutex
	byKind         map[string]int
	byRequest      map[string]int
	byKey          map[string]int
	running        int
	lateWork       int
	lateWorkMillis int64
}

func newCheckCounters() *checkCounters {
	return &checkCounters{byKind: make(map[string]int), byRequest: make(map[string]int), byKey: make(map[string]int)}
}

// recordRun counts one call at the moment at which its effect happens.
func (c *checkCounters) recordRun(kind, request, key string, leavingSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKind[kind]++
	c.byRequest[request]++
	if key != "" {
		c.byKey[key]++
	}
	if !leavingSince.IsZero() {
		c.lateWork++
		c.lateWorkMillis = time.Since(leavingSince).Milliseconds()
	}
}

// addRunning adds n to the number of calls in progress and returns the new
// number.
func (c *checkCounters) addRunning(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	return c.running
}

func (c *checkCounters) snapshot(detailed bool) Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	counters := Counters{Runs: cloneCounts(c.byKind), LateWork: c.lateWork, LateWorkMillis: c.lateWorkMillis}
	for _, n := range c.byKey {
		if n > 1 {
			counters.RepeatedKeys++
		}
	}
	if detailed {
		counters.ByRequest, counters.ByKey = cloneCounts(c.byRequest), cloneCounts(c.byKey)
	}
	return counters
}

func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Counters returns the service's counters; if detailed is set, they include
// those per request id and per idempotency key.
func (s *Service) Counters(detailed bool) Counters {
	c := s.checkCounters.snapshot(detailed)
	c.Name = s.config.Name
	s.mu.Lock()
	c.Address, c.Alive = s.address, s.server != nil
	s.mu.Unlock()
	return c
}

// RunsOfKey returns how often calls with an idempotency key were run.
func (s *Service) RunsOfKey(key string) int {
	s.checkCounters.mu.Lock()
	defer s.checkCounters.mu.Unlock()
	return s.checkCounters.byKey[key]
}

// RunsOfRequest returns how often calls with a request id were run.
func (s *Service) RunsOfRequest(request string) int {
	s.checkCounters.mu.Lock()
	defer s.checkCounters.mu.Unlock()
	return s.checkCounters.byRequest[request]
}
