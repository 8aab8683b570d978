package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// burstDivisor is the divisor that gives the burst size of a rate limit: a tenth
// of one second's calls may arrive at once.
const burstDivisor = 10

// Store is the stand-in within one process. It is safe for concurrent use.
type Store struct {
	config Config
	writes *rate.Limiter
	reads  *rate.Limiter
	start  time.Time

	mu      sync.Mutex
	objects *Objects
	hosts   hostList
	faults  Faults
	random  *rand.Rand
	stats   Stats
	changed chan struct{} // closed and replaced at every change of an object
}

// NewStore returns a stand-in without objects, hosts and faults.
func NewStore(config Config) *Store {
	return &Store{
		config:  config,
		writes:  newLimiter(config.WritesPerSecond),
		reads:   newLimiter(config.ReadsPerSecond),
		start:   time.Now(),
		objects: NewObjects(),
		random:  newRandom(0),
		stats:   Stats{Calls: make(map[Kind]int)},
		changed: make(chan struct{}),
	}
}

// newLimiter returns a limiter of calls a second; 0 stands for no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstDivisor))
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

// SetFaults replaces the faults and restarts their random generator from the new
// seed.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = newRandom(f.Seed)
}

// SetHosts replaces the whole list of hosts; readers see the new list after the
// lag of the configuration.
func (s *Store) SetHosts(hosts []HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.schedule(hosts, time.Now().Add(milliseconds(s.config.HostsLagMillis)))
}

// Stats returns a copy of the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Calls = make(map[Kind]int, len(s.stats.Calls))
	for kind, n := range s.stats.Calls {
		stats.Calls[kind] = n
	}
	stats.Seconds = time.Since(s.start).Seconds()
	stats.Objects = len(s.objects.List(""))
	stats.Version = s.objects.Version()
	return stats
}

// Inspect returns all objects, ordered by key. It is meant for tests: no rate
// limit, latency or fault applies, and the call is not counted.
func (s *Store) Inspect() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects.List("")
}

// ViewFrom returns the stand-in as seen by callers in one data centre.
func (s *Store) ViewFrom(dataCentre string) *View {
	return &View{store: s, dataCentre: dataCentre}
}

// call runs apply between the two halves of the latency, unless a rate limit or
// a fault prevents it.
func (s *Store) call(ctx context.Context, dataCentre string, kind Kind, apply func() error) error {
	faults, delay, err := s.admit(dataCentre, kind)
	if err != nil {
		return err
	}
	if sleep(ctx, delay/2) != nil || faults.loseRequest {
		return s.recordLostCall()
	}
	if faults.silent {
		<-ctx.Done()
		return s.recordLostCall()
	}
	err = apply()
	if sleep(ctx, delay/2) != nil || faults.loseAnswer {
		return s.recordLostCall()
	}
	return err
}

// admit counts a call, draws its faults and checks the rate limit. It returns
// the faults and the latency, or the error that refuses the call.
func (s *Store) admit(dataCentre string, kind Kind) (callFaults, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.count(kind)
	faults := s.faults.drawForCall(s.random, dataCentre, kind)
	if faults.down {
		s.stats.Refused++
		return faults, 0, platform.ErrUnavailable
	}
	limiter := s.reads
	if kind.isWrite() {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.stats.Throttled++
		return faults, 0, platform.ErrThrottled
	}
	return faults, milliseconds(s.config.LatencyMillis + s.faults.ExtraDelayMillis), nil
}

// recordLostCall counts a call whose outcome its caller does not learn, and
// returns the error for it.
func (s *Store) recordLostCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Lost++
	return platform.ErrUnknown
}

// wakeWatches wakes all waiting watches. The caller must hold the lock.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleep waits for d. It returns the error of ctx if ctx ended first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
