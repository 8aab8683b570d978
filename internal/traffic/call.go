package traffic

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/service"
)

// startServiceCall runs one attempt at a call to a plain service. An action that
// may not be repeated is claimed first, provided that the executor has a guard.
func (e *Executor) startServiceCall(f dispatch.Call) {
	x := e.exchange(f.ID)
	if x == nil {
		return
	}
	ctx, ok := x.beginAttempt(f.Attempt)
	if !ok {
		return
	}
	c := serviceAttempt{executor: e, exchange: x, effect: f, ctx: ctx}
	if x.Call.Action == nil || e.guard == nil {
		c.runRepeatable()
		return
	}
	c.runOnce(*x.Call.Action)
}

// serviceAttempt holds the state of one attempt at a call to a plain service.
type serviceAttempt struct {
	executor *Executor
	exchange *Exchange
	effect   dispatch.Call
	ctx      context.Context
}

// send sends the call to the service. The answer is nil if none was received, and
// it comes with an error if the service reports that the call failed.
func (c *serviceAttempt) send() (*ServiceAnswer, error) {
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

// runRepeatable sends the call without a claim.
func (c *serviceAttempt) runRepeatable() {
	answer, err := c.send()
	c.reportEnd(answer, err)
}

// runOnce claims the action before it sends the call. Afterwards it completes the
// claim, or gives it back if the service provably did not run the call.
func (c *serviceAttempt) runOnce(a Action) {
	claimResult := c.executor.guard.Claim(c.ctx, a)
	if !claimResult.Granted {
		c.reportRefused(claimResult)
		return
	}
	if c.ctx.Err() != nil {
		// The request ended while the claim was being made, and nothing was sent.
		c.executor.guard.GiveBack(context.Background(), a, claimResult.Token)
		return
	}
	answer, err := c.send()
	if errors.Is(err, service.ErrNotRun) {
		c.executor.guard.GiveBack(context.Background(), a, claimResult.Token)
	} else {
		c.executor.guard.Complete(a, claimResult.Token, answer)
	}
	c.reportEnd(answer, err)
}

// reportRefused ends an exchange whose claim was not granted: with the recorded
// answer of an earlier request if there is one, otherwise with the reason for the
// refusal.
func (c *serviceAttempt) reportRefused(p ClaimResult) {
	if p.RecordedAnswer != nil {
		c.reportEnd(p.RecordedAnswer, nil)
		return
	}
	c.exchange.setRefusal(Result{Code: p.Code, Outcome: p.Outcome, Detail: p.Detail, RetryAfter: p.RetryAfter})
	c.executor.postEvent(dispatch.AttemptFailed{ID: c.effect.ID, Attempt: c.effect.Attempt, FailureClass: dispatch.FailureRefused})
}

// reportEnd reports the end of the attempt to the dispatch core. An error that
// proves nothing is reported as an unknown outcome.
func (c *serviceAttempt) reportEnd(answer *ServiceAnswer, err error) {
	id := c.effect.ID
	switch {
	case err == nil:
		c.exchange.setServiceAnswer(answer)
		c.executor.postEvent(dispatch.Finished{ID: id, Attempt: c.effect.Attempt})
	case errors.Is(err, service.ErrNotRun):
		c.reportFailure(dispatch.FailureNotRun)
	case errors.Is(err, service.ErrFailed):
		c.reportFailure(dispatch.FailureReported)
	default:
		c.reportFailure(dispatch.FailureOutcomeUnknown)
	}
}

// reportFailure reports that the attempt failed, and what is known about whether
// the service ran the call.
func (c *serviceAttempt) reportFailure(class dispatch.FailureClass) {
	c.executor.postEvent(dispatch.AttemptFailed{ID: c.effect.ID, Attempt: c.effect.Attempt, FailureClass: class})
}
