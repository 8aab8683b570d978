// Package process assembles the process of a controller: the control thread
// that steps the reducer, the calls that carry out its effects, and the
// operators' server.
package process

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/admin"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

const (
	// eventBuffer is how many events may wait for the control thread.
	eventBuffer = 4096
	// dumpLimit bounds the engines of a dump.
	dumpLimit = 1000
	// statusTimeout bounds the reading of an engine's status.
	statusTimeout = time.Second
	// configurationTimeout bounds the reading of the configuration with its parts.
	configurationTimeout = 10 * time.Second
	// instanceBase is the number base in which an instance is written.
	instanceBase = 36
)

// Process is one controller.
type Process struct {
	settings Settings
	log      log.Interface
	clock    clock.Clock
	core     *controller.Core
	store    *platform.Client
	engines  *engine.HTTPClient
	admin    *admin.Server
	metrics  *telemetry.Registry
	follower *follower

	events chan controller.Event
	dumps  chan func(*controller.Core)
	// ended is closed when the control thread has ended, stopped when the
	// reducer has finished a graceful stop.
	ended   chan struct{}
	stopped chan struct{}
	// life ends the calls in flight.
	life   context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
}

// New assembles a process from checked settings; AddTo starts it.
func New(s Settings, l log.Interface) (*Process, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	instance := strconv.FormatUint(rand.Uint64(), instanceBase)
	core, err := controller.New(s.core(instance))
	if err != nil {
		return nil, errors.Wrap(err, "assemble the controller")
	}
	store, err := platform.NewClient(platform.ClientConfig{BaseURL: s.Platform, DataCentre: s.DataCentre})
	if err != nil {
		return nil, errors.Wrap(err, "assemble the controller")
	}
	p := &Process{
		settings: s,
		log:      l,
		clock:    clock.Start(),
		core:     core,
		store:    store,
		engines:  engine.NewHTTPClient(httpcall.DefaultConfig()),
		metrics:  telemetry.New(),
		events:   make(chan controller.Event, eventBuffer),
		dumps:    make(chan func(*controller.Core)),
		ended:    make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	p.life, p.cancel = context.WithCancel(context.Background())
	p.follower = newFollower(store, p.countCall)
	p.admin = admin.NewServer(p, p.metrics, nil)
	return p, nil
}

// countCall counts one call to the object API.
func (p *Process) countCall(kind, object string) {
	p.metrics.Count("store_calls_total", 1, "kind", kind, "object", object)
}

// post hands an event to the control thread, and gives up when that has ended.
func (p *Process) post(e controller.Event) {
	select {
	case p.events <- e:
	case <-p.ended:
	}
}

// loop steps the reducer until the context ends.
func (p *Process) loop(ctx context.Context) {
	defer close(p.ended)
	ticker := time.NewTicker(controller.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events:
			p.step(e)
		case <-ticker.C:
			p.step(controller.Tick{})
		case f := <-p.dumps:
			f(p.core)
		}
	}
}

func (p *Process) step(e controller.Event) {
	for _, effect := range p.core.Step(p.clock.Now(), e) {
		p.execute(effect)
	}
}

// Status implements admin.Source.
func (p *Process) Status(ctx context.Context) (admin.Status, error) {
	d, err := p.dump(ctx)
	return admin.Status{
		Host: p.settings.Host, DataCentre: p.settings.DataCentre,
		ConfigVersion: d.ConfigurationVersion, Ready: err == nil && !d.Stopping,
		Draining: d.Stopping, Holder: d.Holder,
	}, err
}

// Dump implements admin.Source.
func (p *Process) Dump(ctx context.Context) (any, error) {
	return p.dump(ctx)
}

func (p *Process) dump(ctx context.Context) (controller.Dump, error) {
	answer := make(chan controller.Dump, 1)
	ask := func(c *controller.Core) { answer <- c.Dump(p.clock.Now(), dumpLimit) }
	select {
	case p.dumps <- ask:
		return <-answer, nil
	case <-p.ended:
	case <-ctx.Done():
	}
	return controller.Dump{}, errors.New("read the state: the control thread did not answer")
}
