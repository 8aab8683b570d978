package process

import (
	"context"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/order"
)

// execute carries out one effect. It runs on the control thread and does not
// block.
func (p *Process) execute(effect controller.Effect) {
	switch f := effect.(type) {
	case controller.LeaseEffect:
		p.executeLease(f.Effect)
	case controller.OrderEffect:
		p.executeOrder(f.Effect)
	case controller.ReadHosts:
		p.startCall(p.readHosts)
	case controller.ReadConfiguration:
		p.startCall(func(ctx context.Context) { p.readConfiguration(ctx, f) })
	case controller.ConfigurationApplied:
		p.metrics.Gauge("configuration_version", float64(f.Version))
		logevent.ControllerConfigured.Emit(p.log, log.Fields{"version": f.Version})
	case controller.Stopped:
		close(p.coreStopped)
	}
}

// startCall runs one call to the platform or an engine on its own goroutine.
// The state machine bounds the number of concurrent calls: four to the platform
// and one to each engine.
func (p *Process) startCall(f func(ctx context.Context)) {
	p.calls.Go(func() { f(p.callContext) })
}

// executeLease carries out an effect of the lease.
func (p *Process) executeLease(effect lease.Effect) {
	switch f := effect.(type) {
	case lease.Read:
		p.startCall(p.readLease)
	case lease.Write:
		p.startCall(func(ctx context.Context) { p.writeLease(ctx, f) })
	case lease.Acquired:
		p.metrics.Gauge("lease_held", 1)
		p.metrics.Gauge("lease_fencing_number", float64(f.Fencing))
		logevent.LeaseAcquired.Emit(p.log, log.Fields{"fencing": f.Fencing, "data_centre": p.settings.DataCentre})
	case lease.Lost:
		p.metrics.Gauge("lease_held", 0)
		p.metrics.Count("lease_lost_total", 1, "reason", string(f.Reason))
		event := logevent.LeaseLost
		if f.Reason == lease.ReasonReleased {
			event = logevent.LeaseReleased
		}
		event.Emit(p.log, log.Fields{"fencing": f.Fencing, "reason": f.Reason})
	}
}

// executeOrder carries out an effect of the order planner.
func (p *Process) executeOrder(effect order.Effect) {
	switch f := effect.(type) {
	case order.ReadStatus:
		p.startCall(func(ctx context.Context) { p.readStatus(ctx, f) })
	case order.SendOrder:
		p.startCall(func(ctx context.Context) { p.sendOrder(ctx, f) })
	default:
		p.logOrderEffect(effect)
	}
}

// logOrderEffect writes the log events and the metrics for those effects of the
// order planner that need no call.
func (p *Process) logOrderEffect(effect order.Effect) {
	switch f := effect.(type) {
	case order.FencingOutdated:
		logevent.FencingOutdated.Emit(p.log, log.Fields{"engine": f.Engine, "seen": f.Fencing})
	case order.EngineLivenessChanged:
		event := logevent.EngineAnswers
		if f.Dead {
			event = logevent.EngineSilent
		}
		event.Emit(p.log, log.Fields{"engine": f.Engine})
	case order.EngineReset:
		p.metrics.Count("engines_reset_total", 1)
		logevent.EngineReset.Emit(p.log, log.Fields{"engine": f.Engine})
	case order.ModelAvailabilityChanged:
		event, absent := logevent.ModelServed, 0.0
		if f.Absent {
			event, absent = logevent.ModelAbsent, 1
		}
		p.metrics.Gauge("model_on_no_engine", absent, "model", f.Model)
		event.Emit(p.log, log.Fields{"model": f.Model})
	}
}
