// Package process assembles a controller process: the control thread that steps
// the state machine, the calls that carry out its effects, and the HTTP server
// for operators.
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
	// eventBuffer is the number of events that may wait for the control thread.
	eventBuffer = 4096
	// dumpLimit is the largest number of engines in a dump.
	dumpLimit = 1000
	// statusTimeout is the time limit of one read of an engine's status.
	statusTimeout = time.Second
	// configurationTimeout is the time limit of one read of the configuration
	// with its parts.
	configurationTimeout = 10 * time.Second
	// instanceBase is the number base in which the instance is formatted.
	instanceBase = 36
)

// Process is one controller process.
type Process struct {
	settings Settings
	log      log.Interface
	clock    clock.Clock
	core     *controller.Core
	store    *platform.Client
	engines  *engine.HTTPClient
	admin    *admin.Server
	metrics  *telemetry.Registry
	follower *configurationFollower

	// events holds the events for the control thread.
	events chan controller.Event
	// inspect runs functions on the control thread, for dumps.
	inspect chan func(*controller.Core)
	// loopEnded is closed when the control thread has ended, and coreStopped
	// when the state machine has finished a graceful stop.
	loopEnded   chan struct{}
	coreStopped chan struct{}
	// callContext is the context of all calls; cancelCalls ends the calls in
	// flight.
	callContext context.Context
	cancelCalls context.CancelFunc
	calls       sync.WaitGroup
}

// New assembles a process from validated settings. AddTo starts it.
func New(s Settings, l log.Interface) (*Process, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	instance := strconv.FormatUint(rand.Uint64(), instanceBase)
	core, err := controller.New(s.controllerConfig(instance))
	if err != nil {
		return nil, errors.Wrap(err, "assemble the controller")
	}
	store, err := platform.NewClient(platform.ClientConfig{BaseURL: s.Platform, DataCentre: s.DataCentre})
	if err != nil {
		return nil, errors.Wrap(err, "assemble the controller")
	}
	p := &Process{
		settings:    s,
		log:         l,
		clock:       clock.Start(),
		core:        core,
		store:       store,
		engines:     engine.NewHTTPClient(httpcall.DefaultConfig()),
		metrics:     telemetry.New(),
		events:      make(chan controller.Event, eventBuffer),
		inspect:     make(chan func(*controller.Core)),
		loopEnded:   make(chan struct{}),
		coreStopped: make(chan struct{}),
	}
	p.callContext, p.cancelCalls = context.WithCancel(context.Background())
	p.follower = newConfigurationFollower(store, p.countCall)
	p.admin = admin.NewServer(p, p.metrics, nil)
	return p, nil
}

// countCall counts one call to the object API in the metrics.
func (p *Process) countCall(kind, object string) {
	p.metrics.Count("store_calls_total", 1, "kind", kind, "object", object)
}

// post hands an event to the control thread, and drops it if that has ended.
func (p *Process) post(e controller.Event) {
	select {
	case p.events <- e:
	case <-p.loopEnded:
	}
}

// loop is the control thread: it steps the state machine until the context
// ends.
func (p *Process) loop(ctx context.Context) {
	defer close(p.loopEnded)
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
		case f := <-p.inspect:
			f(p.core)
		}
	}
}

// step passes one event to the state machine and carries out the effects.
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

// dump has the control thread take a snapshot and waits for it.
func (p *Process) dump(ctx context.Context) (controller.Dump, error) {
	answer := make(chan controller.Dump, 1)
	takeSnapshot := func(c *controller.Core) { answer <- c.Dump(p.clock.Now(), dumpLimit) }
	select {
	case p.inspect <- takeSnapshot:
		return <-answer, nil
	case <-p.loopEnded:
	case <-ctx.Done():
	}
	return controller.Dump{}, errors.New("read the state: the control thread did not answer")
}
