// Package probe watches the upstreams of a host: it asks engines for their
// load, cache events and work, and reports the answers as dispatch events.
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

// Target is one upstream to watch.
type Target struct {
	Name    string
	Address string
	// Service names the plain service; empty for an engine.
	Service string
	// Remote says that the upstream is in another data centre and asked seldom.
	Remote bool
}

// Config sets how often upstreams are asked.
type Config struct {
	// LoadInterval is the mean time between two load requests to one engine.
	// Shorter gives fresher beliefs and costs messages.
	LoadInterval time.Duration
	// RemoteInterval takes its place for upstreams of other data centres, which
	// get work only when none is left here.
	RemoteInterval time.Duration
	// CacheInterval is the mean time between two requests for cache events.
	CacheInterval time.Duration
	// WorkListInterval is the mean time between two looks at one engine's work
	// list by any host; each host takes its turn at random.
	WorkListInterval time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
}

// DefaultConfig returns intervals for some dozen engines a host.
func DefaultConfig() Config {
	return Config{
		LoadInterval:     400 * time.Millisecond,
		RemoteInterval:   2 * time.Second,
		CacheInterval:    time.Second,
		WorkListInterval: time.Second,
		Timeout:          time.Second,
	}
}

// Prober watches a changing set of targets.
type Prober struct {
	cfg      Config
	clock    clock.Clock
	engines  engine.Client
	services service.Client
	report   func(dispatch.Event)
	// hosts is the number of hosts that share the sweeps.
	hosts func() int

	mu      sync.Mutex
	running map[Target]context.CancelFunc
	wait    sync.WaitGroup
}

// New returns a prober without targets.
func New(cfg Config, c clock.Clock, engines engine.Client, services service.Client, report func(dispatch.Event), hosts func() int) *Prober {
	return &Prober{
		cfg:      cfg,
		clock:    c,
		engines:  engines,
		services: services,
		report:   report,
		hosts:    hosts,
		running:  make(map[Target]context.CancelFunc),
	}
}

// Watch makes the targets given the ones that are watched.
func (p *Prober) Watch(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, t := range targets {
		wanted[t] = true
		if _, running := p.running[t]; !running {
			p.start(t)
		}
	}
	for t, stop := range p.running {
		if !wanted[t] {
			stop()
			delete(p.running, t)
		}
	}
}

// Close stops all watching and waits for it to end.
func (p *Prober) Close() {
	p.Watch(nil)
	p.wait.Wait()
}

func (p *Prober) start(t Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p.running[t] = cancel
	interval := p.cfg.LoadInterval
	if t.Remote {
		interval = p.cfg.RemoteInterval
	}
	if t.Service != "" {
		p.every(ctx, interval, func() { p.health(ctx, t) })
		return
	}
	p.every(ctx, interval, func() { p.load(ctx, t) })
	if t.Remote {
		return
	}
	cursor := uint64(0)
	p.every(ctx, p.cfg.CacheInterval, func() { cursor = p.cache(ctx, t, cursor) })
	p.every(ctx, p.cfg.WorkListInterval, func() { p.sweep(ctx, t) })
}

// every runs a job at randomised intervals, so that hosts do not ask in step.
func (p *Prober) every(ctx context.Context, interval time.Duration, job func()) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
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

func (p *Prober) load(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	sent := p.clock.Now()
	l, err := p.engines.Load(ctx, t.Address)
	if err != nil {
		p.failed(ctx, t, err)
		return
	}
	p.report(dispatch.LoadReported{
		Name:           t.Name,
		RequestedAt:    sent,
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

// failed reports a failed check, unless the watching itself has ended.
func (p *Prober) failed(ctx context.Context, t Target, err error) {
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return
	}
	p.report(dispatch.HealthCheckFailed{Name: t.Name})
}

func (p *Prober) health(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	status, err := p.services.Status(ctx, t.Address)
	if err != nil {
		p.failed(ctx, t, err)
		return
	}
	p.report(dispatch.LoadReported{Name: t.Name, RequestedAt: p.clock.Now(), Leaving: status.Leaving})
}

func (p *Prober) cache(ctx context.Context, t Target, cursor uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	got, err := p.engines.CacheEvents(ctx, t.Address, cursor)
	if err != nil {
		return cursor
	}
	if len(got.Events) == 0 && got.Next == cursor {
		return cursor
	}
	changes := make([]dispatch.CacheChange, len(got.Events))
	for i, e := range got.Events {
		changes[i] = dispatch.CacheChange{Sequence: e.Sequence, PrefixHash: e.Prefix, Evicted: e.Evicted}
	}
	p.report(dispatch.CacheReported{Name: t.Name, Changes: changes, NextSequence: got.Next})
	return got.Next
}

// sweep looks at an engine's work list when it is this host's turn.
func (p *Prober) sweep(ctx context.Context, t Target) {
	if rand.IntN(max(1, p.hosts())) != 0 {
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
