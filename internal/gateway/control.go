package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

const (
	// tickInterval is the time between two looks at the queue, leases and the
	// news for other hosts; it is below the time of one engine pass.
	tickInterval = 20 * time.Millisecond
	// eventQueue bounds the events that wait for the control thread.
	eventQueue = 4096
	// effectQueue bounds the effects that wait for one request's goroutine:
	// each attempt takes one.
	effectQueue = 16
)

// control runs the decision core on one goroutine.
type control struct {
	core    *balance.Core
	clock   clock.Clock
	logger  log.Interface
	metrics *telemetry.Registry
	events  chan balance.Event
	// inspect runs functions on the control thread, for dumps.
	inspect chan func(*balance.Core, time.Duration)

	mu       sync.Mutex
	requests map[uint64]chan balance.Effect

	// isolated says that this host reaches no upstream.
	isolated atomic.Bool

	orders *orders
	tell   func(balance.WorkReport)
	settle func()
}

func newControl(core *balance.Core, c clock.Clock, logger log.Interface, metrics *telemetry.Registry) *control {
	return &control{
		core: core, clock: c, logger: logger, metrics: metrics,
		events:   make(chan balance.Event, eventQueue),
		inspect:  make(chan func(*balance.Core, time.Duration)),
		requests: make(map[uint64]chan balance.Effect),
	}
}

// post hands an event to the control thread.
func (c *control) post(e balance.Event) { c.events <- e }

// join opens the way for a request's effects; leave closes it.
func (c *control) join(number uint64) <-chan balance.Effect {
	effects := make(chan balance.Effect, effectQueue)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[number] = effects
	return effects
}

func (c *control) leave(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, number)
}

// inFlight is the number of requests that have a goroutine.
func (c *control) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// run steps the core until the context ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			c.step(e)
		case look := <-c.inspect:
			look(c.core, c.clock.Now())
		case <-ticker.C:
			c.settle()
			c.step(balance.Tick{})
			c.gauges()
		}
	}
}

func (c *control) step(e balance.Event) {
	for _, effect := range c.core.Step(c.clock.Now(), e) {
		c.carryOut(effect)
	}
}

func (c *control) gauges() {
	isolated := c.core.Isolated(c.clock.Now())
	if c.isolated.Swap(isolated) != isolated {
		logevent.HostIsolated.Emit(c.logger, log.Fields{"isolated": isolated})
	}
	c.metrics.Gauge("gateway_queue_requests", float64(c.core.Waiting()))
	c.metrics.Gauge("gateway_in_flight_requests", float64(c.core.InFlight()))
}

func (c *control) carryOut(effect balance.Effect) {
	switch e := effect.(type) {
	case balance.Send:
		c.deliver(e.RequestNumber, e)
	case balance.Refuse:
		c.deliver(e.RequestNumber, e)
	case balance.Fail:
		c.deliver(e.RequestNumber, e)
	case balance.ReserveMemory:
		c.orders.reserve(e)
	case balance.ReleaseMemory:
		c.orders.release(e.Member)
	case balance.BroadcastReport:
		c.tell(e.Report)
	case balance.UpstreamStateChanged:
		logevent.UpstreamExcluded.Emit(c.logger, log.Fields{
			"upstream": e.Upstream, "belief": e.State, "cause": e.Cause, "failure_share": e.FailureShare, "seen": e.RequestsSeen,
		})
	}
}

// deliver hands an effect to its request's goroutine. One that has left needs
// it no more: its end was posted before.
func (c *control) deliver(number uint64, e balance.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := c.requests[number]
	if effects == nil {
		return
	}
	select {
	case effects <- e:
	default:
		logevent.EffectDropped.Emit(c.logger, log.Fields{"request_number": number})
	}
}
