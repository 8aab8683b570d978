package traffic

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/service"
)

// call carries out a call to a plain service.
func (e *Executor) call(f dispatch.Call) {
	x := e.exchange(f.ID)
	if x == nil {
		return
	}
	ctx, ok := x.begin(f.Attempt)
	if !ok {
		return
	}
	c := call{executor: e, exchange: x, effect: f, ctx: ctx}
	if x.Call.Action == nil || e.guard == nil {
		c.unguarded()
		return
	}
	c.guarded(*x.Call.Action)
}

// call is the traffic of one attempt at a service call.
type call struct {
	executor *Executor
	exchange *Exchange
	effect   dispatch.Call
	ctx      context.Context
}

func (c *call) do() (*ServiceAnswer, error) {
	a, err := c.executor.services.Call(c.ctx, c.effect.Address, service.Call{
		Work:           engine.WorkID{Request: c.effect.ID, Attempt: c.effect.Attempt},
		Kind:           c.exchange.Call.Kind,
		IdempotencyKey: c.exchange.Call.IdempotencyKey,
		Deadline:       c.exchange.Deadline,
		ContentType:    "application/json",
		Body:           c.exchange.Call.Body,
	})
	if a.Status == 0 {
		return nil, err
	}
	return &ServiceAnswer{Status: a.Status, Body: a.Body}, err
}

func (c *call) unguarded() {
	answer, err := c.do()
	c.conclude(answer, err)
}

// guarded claims the action first, and settles the claim afterwards.
func (c *call) guarded(a Action) {
	permit := c.executor.guard.Claim(c.ctx, a)
	if !permit.Granted {
		c.refused(permit)
		return
	}
	if c.ctx.Err() != nil {
		// The request ended while the claim was being made; nothing was sent.
		c.executor.guard.GiveBack(context.Background(), a, permit.Token)
		return
	}
	answer, err := c.do()
	if errors.Is(err, service.ErrNotRun) {
		c.executor.guard.GiveBack(context.Background(), a, permit.Token)
	} else {
		c.executor.guard.Complete(a, permit.Token, answer)
	}
	c.conclude(answer, err)
}

// refused ends an exchange whose action is not for it to carry out.
func (c *call) refused(p ClaimResult) {
	if p.RecordedAnswer != nil {
		c.conclude(p.RecordedAnswer, nil)
		return
	}
	c.exchange.explain(Result{Code: p.Code, Outcome: p.Outcome, Detail: p.Detail, RetryAfter: p.RetryAfter})
	c.executor.report(dispatch.AttemptFailed{ID: c.effect.ID, Attempt: c.effect.Attempt, FailureClass: dispatch.FailureRefused})
}

func (c *call) conclude(answer *ServiceAnswer, err error) {
	id := c.effect.ID
	switch {
	case err == nil:
		c.exchange.answer(answer)
		c.executor.report(dispatch.Finished{ID: id, Attempt: c.effect.Attempt})
	case errors.Is(err, service.ErrNotRun):
		c.fail(dispatch.FailureNotRun)
	case errors.Is(err, service.ErrFailed):
		c.fail(dispatch.FailureReported)
	default:
		c.fail(dispatch.FailureOutcomeUnknown)
	}
}

func (c *call) fail(class dispatch.FailureClass) {
	c.executor.report(dispatch.AttemptFailed{ID: c.effect.ID, Attempt: c.effect.Attempt, FailureClass: class})
}
