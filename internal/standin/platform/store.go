package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// burstFraction is the part of a second's calls that may come at once.
const burstFraction = 10

// Store is the stand-in in one process. It is safe for concurrent use.
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
	changed chan struct{} // closed and replaced with every change
}

// NewStore returns an empty stand-in.
func NewStore(config Config) *Store {
	return &Store{
		config:  config,
		writes:  limiter(config.WritesPerSecond),
		reads:   limiter(config.ReadsPerSecond),
		start:   time.Now(),
		objects: NewObjects(),
		random:  seeded(0),
		stats:   Stats{Calls: make(map[Kind]int)},
		changed: make(chan struct{}),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstFraction))
}

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

// SetFaults replaces the faults and restarts their generator from the seed.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.random = seeded(f.Seed)
}

// SetHosts replaces the whole host list; readers see it after the lag.
func (s *Store) SetHosts(hosts []HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.replace(hosts, time.Now().Add(milliseconds(s.config.HostsLagMillis)))
}

// Stats returns the counts so far.
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

// Inspect returns all objects, ordered by key. It is for tests: no limit,
// latency, fault or count applies.
func (s *Store) Inspect() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects.List("")
}

// ViewFrom returns the stand-in as seen by callers in one data centre.
func (s *Store) ViewFrom(dataCentre string) *View {
	return &View{store: s, dataCentre: dataCentre}
}

// call runs apply between the two halves of the latency, unless limits or
// faults prevent it.
func (s *Store) call(ctx context.Context, viewer string, kind Kind, apply func() error) error {
	f, delay, err := s.admit(viewer, kind)
	if err != nil {
		return err
	}
	if sleep(ctx, delay/2) != nil || f.loseRequest {
		return s.lose()
	}
	if f.silent {
		<-ctx.Done()
		return s.lose()
	}
	err = apply()
	if sleep(ctx, delay/2) != nil || f.loseAnswer {
		return s.lose()
	}
	return err
}

func (s *Store) admit(viewer string, kind Kind) (fate, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.count(kind)
	f := s.faults.draw(s.random, viewer, kind)
	if f.down {
		s.stats.Refused++
		return f, 0, platform.ErrUnavailable
	}
	bucket := s.reads
	if kind.write() {
		bucket = s.writes
	}
	if !bucket.Allow() {
		s.stats.Throttled++
		return f, 0, platform.ErrThrottled
	}
	return f, milliseconds(s.config.LatencyMillis + s.faults.ExtraDelayMillis), nil
}

func (s *Store) lose() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Lost++
	return platform.ErrUnknown
}

// notify wakes the watches; the caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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
