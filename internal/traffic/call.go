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
func (e *Executor) startServiceCall(effect dispatch.Call) {
	x := e.exchange(effect.ID)
	if x == nil {
		return
	}
	ctx, ok := x.beginAttempt(effect.Attempt)
	if !ok {
		return
	}
	s := serviceAttempt{executor: e, exchange: x, effect: effect, ctx: ctx}
	if x.Call.Action == nil || e.guard == nil {
		s.runRepeatable()
		return
	}
	s.runOnce(*x.Call.Action)
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
func (s *serviceAttempt) send() (*ServiceAnswer, error) {
	a, err := s.executor.services.Call(s.ctx, s.effect.Address, service.Call{
		Work:           engine.WorkID{Request: s.effect.ID, Attempt: s.effect.Attempt},
		Kind:           s.exchange.Call.Kind,
		IdempotencyKey: s.exchange.Call.IdempotencyKey,
		Deadline:       s.exchange.Deadline,
		ContentType:    "application/json",
		Body:           s.exchange.Call.Body,
	})
	if a.Status == 0 {
		return nil, err
	}
	return &ServiceAnswer{Status: a.Status, Body: a.Body}, err
}

// runRepeatable sends the call without a claim.
func (s *serviceAttempt) runRepeatable() {
	answer, err := s.send()
	s.reportEnd(answer, err)
}

// runOnce claims the action before it sends the call. Afterwards it completes the
// claim, or gives it back if the service provably did not run the call.
func (s *serviceAttempt) runOnce(a Action) {
	claimResult := s.executor.guard.Claim(s.ctx, a)
	if !claimResult.Granted {
		s.reportRefused(claimResult)
		return
	}
	if s.ctx.Err() != nil {
		// The request ended while the claim was being made, and nothing was sent.
		s.executor.guard.GiveBack(context.Background(), a, claimResult.Token)
		return
	}
	answer, err := s.send()
	if errors.Is(err, service.ErrNotRun) {
		s.executor.guard.GiveBack(context.Background(), a, claimResult.Token)
	} else {
		s.executor.guard.Complete(a, claimResult.Token, answer)
	}
	s.reportEnd(answer, err)
}

// reportRefused ends an exchange whose claim was not granted: with the recorded
// answer of an earlier request if there is one, otherwise with the reason for the
// refusal.
func (s *serviceAttempt) reportRefused(r ClaimResult) {
	if r.RecordedAnswer != nil {
		s.reportEnd(r.RecordedAnswer, nil)
		return
	}
	s.exchange.setRefusal(Result{Code: r.Code, Outcome: r.Outcome, Detail: r.Detail, RetryAfter: r.RetryAfter})
	s.executor.postEvent(dispatch.AttemptFailed{ID: s.effect.ID, Attempt: s.effect.Attempt, FailureClass: dispatch.FailureRefused})
}

// reportEnd reports the end of the attempt to the dispatch core. An error that
// proves nothing is reported as an unknown outcome.
func (s *serviceAttempt) reportEnd(answer *ServiceAnswer, err error) {
	id := s.effect.ID
	switch {
	case err == nil:
		s.exchange.setServiceAnswer(answer)
		s.executor.postEvent(dispatch.Finished{ID: id, Attempt: s.effect.Attempt})
	case errors.Is(err, service.ErrNotRun):
		s.reportFailure(dispatch.FailureNotRun)
	case errors.Is(err, service.ErrFailed):
		s.reportFailure(dispatch.FailureReported)
	default:
		s.reportFailure(dispatch.FailureOutcomeUnknown)
	}
}

// reportFailure reports that the attempt failed, and what is known about whether
// the service ran the call.
func (s *serviceAttempt) reportFailure(class dispatch.FailureClass) {
	s.executor.postEvent(dispatch.AttemptFailed{ID: s.effect.ID, Attempt: s.effect.Attempt, FailureClass: class})
}
