package gateway

import (
	"context"
	"strings"
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
	// eventQueueSize limits the number of events that wait for the control
	// thread; post blocks when the queue is full.
	eventQueueSize = 4096
	// effectQueueSize limits the number of effects that wait for the goroutine
	// of one request; each attempt needs one.
	effectQueueSize = 16
)

// control runs the decision core on one goroutine, the control thread.
type control struct {
	core    *balance.Core
	clock   clock.Clock
	logger  log.Interface
	metrics *telemetry.Registry
	events  chan balance.Event
	// inspect takes functions that the control thread runs, so that dumps can
	// read the core.
	inspect chan func(*balance.Core, time.Duration)

	// mu guards effectChannels, which holds the channel to the goroutine of
	// each request by request number.
	mu             sync.Mutex
	effectChannels map[uint64]chan balance.Effect

	// isolated is true while this host reaches neither an upstream nor another host that
	// does.
	isolated atomic.Bool
	// contentsNeeded is true while the core needs the names of the contents of requests.
	contentsNeeded atomic.Bool

	// orders sends memory reservations to servers, broadcastReport sends a work
	// report to all other hosts, broadcastLimit the limit that a server named,
	// broadcastQuarantine what was found out about parts of prompts, broadcastReturns which
	// requests were told to come back, broadcastCutOff whether this host reaches servers,
	// broadcastRest that a server has asked for rest, broadcastLeaving that one is shutting
	// down, broadcastCold that one is cold, and removeExpiredServers is called at
	// each tick.
	orders               *orderSender
	broadcastReport      func(balance.WorkReport)
	broadcastLimit       func(upstream string, perSecond float64)
	broadcastQuarantine  func(balance.QuarantineReport)
	broadcastReturns     func(balance.ReturnsReport)
	broadcastCutOff      func(cutOff bool)
	broadcastRest        func(balance.UpstreamResting)
	broadcastLeaving     func(upstream string, incarnation int64)
	broadcastCold        func(balance.UpstreamWarmthChanged)
	removeExpiredServers func()

	// queryPlacement sends a question to a coordinator, answerPlacement an answer to the
	// host that asked, and avoidCoordinator is called when a coordinator is silent.
	queryPlacement   func(balance.QueryPlacement)
	answerPlacement  func(balance.AnswerPlacement)
	avoidCoordinator func(host string)
}

// newControl returns a control whose functions for messages to other hosts, orders and
// removeExpiredServers are still to be set.
func newControl(core *balance.Core, c clock.Clock, logger log.Interface, metrics *telemetry.Registry) *control {
	return &control{
		core: core, clock: c, logger: logger, metrics: metrics,
		events:         make(chan balance.Event, eventQueueSize),
		inspect:        make(chan func(*balance.Core, time.Duration)),
		effectChannels: make(map[uint64]chan balance.Effect),
	}
}

// post queues an event for the control thread.
func (c *control) post(e balance.Event) { c.events <- e }

// hasAlternative reports whether another upstream could take a request whose attempt is
// silent. It returns false if the context ends first.
func (c *control) hasAlternative(ctx context.Context, requestNumber uint64, attempt int) bool {
	result := make(chan bool, 1)
	ask := func(core *balance.Core, now time.Duration) {
		result <- core.HasAlternative(requestNumber, attempt, now)
	}
	select {
	case <-ctx.Done():
		return false
	case c.inspect <- ask:
		return <-result
	}
}

// subscribe returns a new channel on which the goroutine of a request receives
// its effects. The goroutine calls unsubscribe when the request has ended.
func (c *control) subscribe(requestNumber uint64) <-chan balance.Effect {
	effects := make(chan balance.Effect, effectQueueSize)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effectChannels[requestNumber] = effects
	return effects
}

// unsubscribe removes the channel of a request; later effects for it are
// dropped.
func (c *control) unsubscribe(requestNumber uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.effectChannels, requestNumber)
}

// inFlight returns the number of requests that have a goroutine.
func (c *control) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.effectChannels)
}

// run passes events and ticks to the core until the context ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(balance.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			c.step(e)
		case inspection := <-c.inspect:
			inspection(c.core, c.clock.Now())
		case <-ticker.C:
			c.removeExpiredServers()
			c.step(balance.Tick{})
			c.updateGauges()
		}
	}
}

// step passes one event to the core and executes the effects that it returns.
func (c *control) step(e balance.Event) {
	for _, effect := range c.core.Step(c.clock.Now(), e) {
		c.execute(effect)
	}
}

// updateGauges updates the gauges of waiting and running requests, and logs
// when this host becomes isolated and when it no longer is.
func (c *control) updateGauges() {
	now := c.clock.Now()
	isolated := c.core.Isolated(now) && !c.core.CanForward(now)
	if c.isolated.Swap(isolated) != isolated {
		logevent.HostIsolated.Emit(c.logger, log.Fields{"isolated": isolated})
	}
	c.contentsNeeded.Store(c.core.ContentsNeeded())
	c.metrics.Gauge("gateway_returns_promised", float64(c.core.ReturnsPromised()))
	c.metrics.Gauge("gateway_quarantined_parts", float64(c.core.QuarantinedParts()))
	c.metrics.Gauge("gateway_cold_servers", float64(c.core.ColdServers()))
	c.metrics.Gauge("gateway_queue_requests", float64(c.core.Waiting()))
	c.metrics.Gauge("gateway_in_flight_requests", float64(c.core.InFlight()))
}

// execute carries out one effect. Effects that end or continue a request go to
// its goroutine.
func (c *control) execute(effect balance.Effect) {
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
		c.broadcastReport(e.Report)
	case balance.UpstreamLimitChanged:
		logevent.UpstreamLimitChanged.Emit(c.logger, log.Fields{
			"upstream": e.Upstream, "limit_before": e.Before, "limit": e.PerSecond, "host": e.Host,
		})
		if e.Host == "" {
			c.broadcastLimit(e.Upstream, e.PerSecond)
		}
	case balance.UpstreamResting:
		c.metrics.Count("gateway_server_rests_total", 1)
		logevent.UpstreamResting.Emit(c.logger, log.Fields{"upstream": e.Upstream, "rest_ms": e.RestTime.Milliseconds(), "request": e.RequestID})
		c.broadcastRest(e)
	case balance.UpstreamLeaving:
		c.metrics.Count("gateway_servers_leaving_total", 1)
		logevent.UpstreamLeaving.Emit(c.logger, log.Fields{"upstream": e.Upstream, "incarnation": e.Incarnation, "host": e.Host})
		if e.Host == "" {
			c.broadcastLeaving(e.Upstream, e.Incarnation)
		}
	case balance.UpstreamWarmthChanged:
		c.applyWarmthChange(e)
	case balance.QueryPlacement:
		c.metrics.Count("gateway_placement_queries_total", 1)
		c.queryPlacement(e)
	case balance.AnswerPlacement:
		c.metrics.Count("gateway_placement_answers_total", 1, "outcome", e.Answer.Outcome.String())
		c.answerPlacement(e)
	case balance.CoordinatorSilent:
		c.metrics.Count("gateway_coordinator_silences_total", 1)
		logevent.CoordinatorSilent.Emit(c.logger, log.Fields{"host": e.Host, "silence_ms": e.Silence.Milliseconds()})
		c.avoidCoordinator(e.Host)
	case balance.ProbeConnection:
		go c.probe(e)
	case balance.BroadcastQuarantine:
		c.broadcastQuarantine(e.Report)
	case balance.BroadcastReturns:
		c.broadcastReturns(e.Report)
	case balance.BroadcastCutOff:
		c.broadcastCutOff(e.CutOff)
	case balance.QuarantineChanged:
		c.logQuarantine(e)
	case balance.UpstreamStateChanged:
		logevent.UpstreamExcluded.Emit(c.logger, log.Fields{
			"upstream": e.Upstream, "belief": e.State, "cause": e.Cause, "failure_share": e.FailureShare, "seen": e.RequestsSeen,
		})
	}
}

// applyWarmthChange logs that a server is cold or warm again, and tells the other hosts what
// the server has said to this one.
func (c *control) applyWarmthChange(e balance.UpstreamWarmthChanged) {
	logevent.UpstreamWarmthChanged.Emit(c.logger, log.Fields{
		"upstream": e.Upstream, "incarnation": e.Incarnation, "cold_ms": e.ColdTime.Milliseconds(), "cause": string(e.Cause), "host": e.Host,
	})
	if e.ColdTime > 0 {
		c.metrics.Count("gateway_cold_servers_total", 1, "cause", string(e.Cause))
	}
	if e.Cause == balance.ColdAnswered && e.Host == "" {
		c.broadcastCold(e)
	}
}

// probe tries a connection to a server and posts the result.
func (c *control) probe(e balance.ProbeConnection) {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	err := c.orders.httpClient.Probe(ctx, e.Address)
	c.metrics.Count("gateway_probes_total", 1, "result", probeResult(err))
	c.post(balance.ConnectionProbed{Upstream: e.Upstream, Connected: err == nil})
}

// probeResult returns the result of a probe for metrics.
func probeResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// logQuarantine logs a change of a quarantine.
func (c *control) logQuarantine(e balance.QuarantineChanged) {
	if e.State == balance.QuarantineReleased {
		logevent.PartReleased.Emit(c.logger, log.Fields{"part": e.Verdict.Part, "request": e.RequestID})
		return
	}
	logevent.PartQuarantined.Emit(c.logger, log.Fields{
		"part": e.Verdict.Part, "state": string(e.State), "together": strings.Join(e.Verdict.Together, ","),
		"servers": strings.Join(e.Verdict.Servers, ","), "seen_by": strings.Join(e.Verdict.Hosts, ","),
		"trials": e.Verdict.Trials, "hold_s": e.Verdict.HoldLeft.Seconds(), "request": e.RequestID,
	})
}

// deliver hands an effect to the goroutine of its request. It drops the effect
// if the goroutine has ended, which needs it no more since it posted the end of
// the request before. If the channel is full, it drops the effect and logs an
// error.
func (c *control) deliver(requestNumber uint64, e balance.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := c.effectChannels[requestNumber]
	if effects == nil {
		return
	}
	select {
	case effects <- e:
	default:
		logevent.EffectDropped.Emit(c.logger, log.Fields{"request_number": requestNumber})
	}
}
