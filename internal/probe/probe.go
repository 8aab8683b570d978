// Package probe polls the upstreams of a host. It reads the load, the cache
// events and the work list of engines and the status of plain services, and
// reports the answers as dispatch events.
package probe

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/service"
)

// Target is an upstream to probe.
type Target struct {
	Name    string
	Address string
	// Service names the plain service; it is empty for an engine.
	Service string
	// Remote reports whether the upstream is in another data centre. Remote
	// upstreams are probed less often, and only their load or status is read.
	Remote bool
}

// Config sets how often upstreams are probed. The times between two requests
// vary at random around their means.
type Config struct {
	// LoadInterval is the mean time between two load requests to an engine, or
	// status requests to a plain service, of this data centre. A shorter
	// interval keeps the known load more up to date and costs more messages.
	LoadInterval time.Duration
	// RemoteInterval takes the place of LoadInterval for upstreams of other
	// data centres, which only get work when no upstream is left in this one.
	RemoteInterval time.Duration
	// CacheInterval is the mean time between two requests for an engine's cache
	// events.
	CacheInterval time.Duration
	// WorkListInterval is the mean time between two reads of an engine's work
	// list by all hosts together. At each interval, every host decides at
	// random whether it reads the list.
	WorkListInterval time.Duration
	// Timeout bounds a request.
	Timeout time.Duration
}

// DefaultConfig returns intervals that suit a few dozen engines per host.
func DefaultConfig() Config {
	return Config{
		LoadInterval:     400 * time.Millisecond,
		RemoteInterval:   2 * time.Second,
		CacheInterval:    time.Second,
		WorkListInterval: time.Second,
		Timeout:          time.Second,
	}
}

// Prober probes a set of targets that may change. Its methods may be called
// from any goroutine.
type Prober struct {
	cfg      Config
	clock    clock.Clock
	engines  engine.Client
	services service.Client
	// report receives the results; it is called from many goroutines.
	report func(dispatch.Event)
	// hostCount returns the number of hosts that share the reading of the work
	// lists.
	hostCount func() int

	mu sync.Mutex
	// stopFuncs holds the function that ends the probes of each current target.
	stopFuncs  map[Target]context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a prober without targets. Results go to report. The prober calls
// hostCount for the number of hosts that probe the same engines.
func New(cfg Config, c clock.Clock, engines engine.Client, services service.Client, report func(dispatch.Event), hostCount func() int) *Prober {
	return &Prober{
		cfg:       cfg,
		clock:     c,
		engines:   engines,
		services:  services,
		report:    report,
		hostCount: hostCount,
		stopFuncs: make(map[Target]context.CancelFunc),
	}
}

// Watch replaces the set of targets. It starts the probes of new targets and
// ends those of removed ones.
func (p *Prober) Watch(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, t := range targets {
		wanted[t] = true
		if _, running := p.stopFuncs[t]; !running {
			p.startProbes(t)
		}
	}
	for t, stop := range p.stopFuncs {
		if !wanted[t] {
			stop()
			delete(p.stopFuncs, t)
		}
	}
}

// Close ends all probes and waits until their goroutines have ended.
func (p *Prober) Close() {
	p.Watch(nil)
	p.goroutines.Wait()
}

// startProbes starts the goroutines that probe a target. The caller holds p.mu.
func (p *Prober) startProbes(t Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stopFuncs[t] = cancel
	interval := p.cfg.LoadInterval
	if t.Remote {
		interval = p.cfg.RemoteInterval
	}
	if t.Service != "" {
		p.runPeriodically(ctx, interval, func() { p.readServiceStatus(ctx, t) })
		return
	}
	p.runPeriodically(ctx, interval, func() { p.readLoad(ctx, t) })
	if t.Remote {
		return
	}
	cursor := uint64(0)
	p.runPeriodically(ctx, p.cfg.CacheInterval, func() { cursor = p.readCacheEvents(ctx, t, cursor) })
	p.runPeriodically(ctx, p.cfg.WorkListInterval, func() { p.readWorkList(ctx, t) })
}

// runPeriodically runs a job until the context ends. The first run starts at a
// random time within the interval, and each later one follows after half to one
// and a half intervals, so that hosts do not send their requests at the same
// time.
func (p *Prober) runPeriodically(ctx context.Context, interval time.Duration, job func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		timer := time.NewTimer(rand.N(interval))
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			job()
			timer.Reset(interval/2 + rand.N(interval))
		}
	}()
}

// readLoad reads and reports the load of an engine.
func (p *Prober) readLoad(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	requestedAt := p.clock.Now()
	l, err := p.engines.Load(ctx, t.Address)
	if err != nil {
		p.reportFailure(ctx, t, err)
		return
	}
	p.report(dispatch.LoadReported{
		Name:           t.Name,
		RequestedAt:    requestedAt,
		Sequence:       l.Sequence,
		Running:        l.Running,
		PrefillBacklog: l.PrefillBacklog,
		MemoryUsed:     l.MemoryUsed,
		MemoryTotal:    l.MemoryTotal,
		PrefillRate:    l.PrefillRate,
		DecodeStep:     time.Duration(l.DecodeStep * float64(time.Second)),
		Models:         l.Models,
		Leaving:        l.Leaving,
	})
}

// reportFailure reports a failed health check, unless the request failed
// because the probes of the target were ended.
func (p *Prober) reportFailure(ctx context.Context, t Target, err error) {
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return
	}
	p.report(dispatch.HealthCheckFailed{Name: t.Name})
}

// readServiceStatus reads and reports the status of a plain service.
func (p *Prober) readServiceStatus(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	status, err := p.services.Status(ctx, t.Address)
	if err != nil {
		p.reportFailure(ctx, t, err)
		return
	}
	p.report(dispatch.LoadReported{Name: t.Name, RequestedAt: p.clock.Now(), Leaving: status.Leaving})
}

// readCacheEvents reads and reports the cache events of an engine from the
// cursor on. It returns the cursor for the next read, unchanged if the read
// failed.
func (p *Prober) readCacheEvents(ctx context.Context, t Target, cursor uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	batch, err := p.engines.CacheEvents(ctx, t.Address, cursor)
	if err != nil {
		return cursor
	}
	if len(batch.Events) == 0 && batch.Next == cursor {
		return cursor
	}
	changes := make([]dispatch.CacheChange, len(batch.Events))
	for i, e := range batch.Events {
		changes[i] = dispatch.CacheChange{Sequence: e.Sequence, PrefixHash: e.Prefix, Evicted: e.Evicted}
	}
	p.report(dispatch.CacheReported{Name: t.Name, Changes: changes, NextSequence: batch.Next})
	return batch.Next
}

// readWorkList reads and reports the work list of an engine, if the random
// choice falls on this host: each of n hosts reads with a probability of 1 in
// n.
func (p *Prober) readWorkList(ctx context.Context, t Target) {
	if rand.IntN(max(1, p.hostCount())) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	work, err := p.engines.Work(ctx, t.Address)
	if err != nil {
		return
	}
	list := make([]dispatch.HeldWork, len(work))
	for i, w := range work {
		list[i] = dispatch.HeldWork{
			ID:           w.Work.Request,
			Attempt:      w.Work.Attempt,
			Host:         w.Owner.Host,
			Incarnation:  w.Owner.Incarnation,
			Deadline:     p.clock.FromWall(w.Deadline),
			MemoryTokens: w.Tokens,
			Attached:     w.Attached,
		}
	}
	p.report(dispatch.WorkListed{Name: t.Name, Work: list})
}
