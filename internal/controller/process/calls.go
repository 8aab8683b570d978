package process

import (
	"context"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/order"
	"github.com/chestnutline/chestnutline/internal/platform"
)

func (p *Process) readLease(ctx context.Context) {
	p.countCall("get", "lease")
	o, err := p.store.Get(ctx, lease.Key(p.settings.DataCentre))
	p.post(controller.LeaseEvent{Event: lease.ReadDone{Result: resultOf(err), Value: o.Value, Version: o.Version}})
}

func (p *Process) writeLease(ctx context.Context, w lease.Write) {
	p.countCall("put", "lease")
	o, err := p.store.Put(ctx, lease.Key(p.settings.DataCentre), w.Value, w.Base)
	p.post(controller.LeaseEvent{Event: lease.WriteDone{Result: resultOf(err), Version: o.Version}})
}

// resultOf classifies an answer of the object API.
func resultOf(err error) lease.Result {
	switch {
	case err == nil:
		return lease.OK
	case errors.Is(err, platform.ErrNotFound):
		return lease.NotFound
	case errors.Is(err, platform.ErrConflict):
		return lease.Conflict
	case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable):
		return lease.Refused
	}
	return lease.Unknown
}

func (p *Process) readHosts(ctx context.Context) {
	p.countCall("hosts", "hosts")
	hosts, err := p.store.Hosts(ctx)
	if err != nil {
		logevent.ControllerHostListUnread.Emit(p.log, log.Fields{"error": err.Error()})
	}
	p.post(controller.HostsRead{Failed: err != nil, Hosts: hosts})
}

// readConfiguration follows the accepted configuration by one call.
func (p *Process) readConfiguration(ctx context.Context, f controller.ReadConfiguration) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	read, err := p.follower.read(ctx, f)
	if p.life.Err() != nil {
		return
	}
	if err != nil {
		logevent.ControllerConfigurationUnread.Emit(p.log, log.Fields{"error": err.Error()})
		read = controller.ConfigurationRead{Failed: true}
	}
	p.post(read)
}

func (p *Process) readStatus(ctx context.Context, r order.ReadStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p.metrics.Count("engine_status_reads_total", 1)
	s, err := p.engines.Status(ctx, r.Address)
	p.post(controller.OrderEvent{Event: order.StatusRead{
		Engine: r.Engine, Token: r.Token, Failed: err != nil, Status: order.Status(s),
	}})
}

// send sends an order unless its time is over; a process that was paused since
// the order was decided finds out here. A pause between this look and the
// sending itself is what fencing numbers and the IDs of orders are for.
func (p *Process) send(ctx context.Context, s order.SendOrder) {
	outcome := order.NotRun
	if left := s.NotAfter - p.clock.Now(); left > 0 {
		ctx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		err := p.engines.Order(ctx, s.Address, engine.Order{ID: s.ID, Fencing: s.Fencing, Load: s.Load, Unload: s.Unload})
		outcome = outcomeOf(err)
	}
	p.metrics.Count("orders_total", 1, "outcome", outcome.String())
	event := logevent.OrderSent
	switch {
	case outcome == order.Fenced:
		event = logevent.OrderFenced
	case outcome != order.Taken:
		event = logevent.OrderUncertain
	case len(s.Load)+len(s.Unload) == 0:
		event = logevent.OrderBarrier
	}
	event.Emit(p.log, log.Fields{
		"engine": s.Engine, "order": s.ID, "fencing": s.Fencing, "load": s.Load, "unload": s.Unload, "outcome": outcome.String(),
	})
	p.post(controller.OrderEvent{Event: order.OrderDone{Engine: s.Engine, Token: s.Token, Outcome: outcome}})
}

func outcomeOf(err error) order.Outcome {
	switch {
	case err == nil:
		return order.Taken
	case errors.Is(err, engine.ErrFenced):
		return order.Fenced
	case errors.Is(err, engine.ErrNotRun):
		return order.NotRun
	}
	return order.Unknown
}
