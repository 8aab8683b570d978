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

// readLease reads the lease object and posts the answer.
func (p *Process) readLease(ctx context.Context) {
	p.countCall("get", "lease")
	o, err := p.store.Get(ctx, lease.Key(p.settings.DataCentre))
	p.post(controller.LeaseEvent{Event: lease.ReadDone{Result: leaseResultOf(err), Value: o.Value, Version: o.Version}})
}

// writeLease writes the lease object and posts the answer.
func (p *Process) writeLease(ctx context.Context, w lease.Write) {
	p.countCall("put", "lease")
	o, err := p.store.Put(ctx, lease.Key(p.settings.DataCentre), w.Value, w.Base)
	p.post(controller.LeaseEvent{Event: lease.WriteDone{Result: leaseResultOf(err), Version: o.Version}})
}

// leaseResultOf maps an error of the object API to the result of a call.
func leaseResultOf(err error) lease.Result {
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

// readHosts reads the platform's list of hosts and posts the answer.
func (p *Process) readHosts(ctx context.Context) {
	p.countCall("hosts", "hosts")
	hosts, err := p.store.Hosts(ctx)
	if err != nil {
		logevent.ControllerHostListUnread.Emit(p.log, log.Fields{"error": err.Error()})
	}
	p.post(controller.HostsRead{Failed: err != nil, Hosts: hosts})
}

// readConfiguration makes one read of the accepted configuration and posts the
// answer, unless the process is ending.
func (p *Process) readConfiguration(ctx context.Context, f controller.ReadConfiguration) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	read, err := p.follower.read(ctx, f)
	if p.callContext.Err() != nil {
		return
	}
	if err != nil {
		logevent.ControllerConfigurationUnread.Emit(p.log, log.Fields{"error": err.Error()})
		read = controller.ConfigurationRead{Failed: true}
	}
	p.post(read)
}

// readStatus reads an engine's status and posts the answer.
func (p *Process) readStatus(ctx context.Context, r order.ReadStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p.metrics.Count("engine_status_reads_total", 1)
	s, err := p.engines.Status(ctx, r.Address)
	p.post(controller.OrderEvent{Event: order.StatusRead{
		Engine: r.Engine, Token: r.Token, Failed: err != nil, Status: order.Status(s),
	}})
}

// sendOrder sends an order to an engine unless its NotAfter has passed. This
// check also stops an order whose process was paused after the decision. A
// pause between this check and the actual sending is covered by the fencing
// numbers and the IDs of orders.
func (p *Process) sendOrder(ctx context.Context, s order.SendOrder) {
	outcome := order.NotRun
	if left := s.NotAfter - p.clock.Now(); left > 0 {
		ctx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		err := p.engines.Order(ctx, s.Address, engine.Order{ID: s.ID, Fencing: s.Fencing, Load: s.Load, Unload: s.Unload})
		outcome = orderOutcomeOf(err)
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

// orderOutcomeOf maps an error of an engine to the outcome of an order.
func orderOutcomeOf(err error) order.Outcome {
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
