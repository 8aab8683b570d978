package host

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// inProgressRetryAfter is the time after which a caller should ask again for an
// action that is in progress.
const inProgressRetryAfter = time.Second

// claimGuard prevents actions from being run twice, by claiming their
// idempotency key in the store before they are sent upstream. It implements
// traffic.ActionGuard.
type claimGuard struct {
	claimer *claim.Claimer
	log     log.Interface
}

// refusal describes to a caller why an action may not run. The decisions
// Granted and Done have none.
type refusal struct {
	code       dispatch.Code
	outcome    dispatch.Outcome
	detail     string
	retryAfter time.Duration
}

// refusals maps the decisions on a claim to the answers for callers. Callers get
// the longer of retryAfter and the wait that the decision itself carries; 0 in
// both means that the answer has no Retry-After.
var refusals = map[claim.Decision]refusal{
	shard.Refused: {traffic.CodeClaimsUnavailable, dispatch.OutcomeNotRun, "the claim could not be made durable; nothing was sent", time.Second},
	shard.Full:    {traffic.CodeClaimsUnavailable, dispatch.OutcomeNotRun, "there is no room for another claim; nothing was sent", time.Second},
	shard.InProgress: {
		traffic.CodeInProgress, dispatch.OutcomeUnknown, "another request with this key is being carried out", inProgressRetryAfter,
	},
	shard.OutcomeUnknown: {
		traffic.CodeOutcomeUnknown, dispatch.OutcomeUnknown, "another request with this key ended without a known outcome; it is not run again", 0,
	},
	shard.Mismatch:   {traffic.CodeKeyReused, dispatch.OutcomeNotRun, "the key was used with another body", 0},
	shard.TooOld:     {traffic.CodeKeyExpired, dispatch.OutcomeNotRun, "the key's date is older than keys are remembered", 0},
	shard.TooNew:     {traffic.CodeKeyRefused, dispatch.OutcomeNotRun, "the key's date lies in the future", 0},
	shard.Undated:    {traffic.CodeKeyRefused, dispatch.OutcomeNotRun, "the key carries no date", 0},
	shard.Unreadable: {traffic.CodeClaimsUnavailable, dispatch.OutcomeNotRun, "the recorded claims can't be read; nothing was sent", time.Minute},
}

// Claim implements traffic.ActionGuard.
func (g *claimGuard) Claim(ctx context.Context, a traffic.Action) traffic.ClaimResult {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if err := findings.Err(); err != nil {
		return traffic.ClaimResult{Code: traffic.CodeKeyRefused, Outcome: dispatch.OutcomeNotRun, Detail: err.Error()}
	}
	answer := g.claimer.Claim(ctx, key, a.Fingerprint, a.Deadline)
	switch answer.Decision {
	case shard.Granted:
		return traffic.ClaimResult{Granted: true, Token: answer.Token}
	case shard.Done:
		return traffic.ClaimResult{RecordedAnswer: recordedAnswer(answer.Outcome)}
	default:
		r := refusals[answer.Decision]
		return traffic.ClaimResult{Code: r.code, Outcome: r.outcome, Detail: r.detail, RetryAfter: max(r.retryAfter, answer.RetryAfter)}
	}
}

// recordedAnswer returns the answer of the earlier request that ran the action.
func recordedAnswer(o claim.Outcome) *traffic.ServiceAnswer {
	return &traffic.ServiceAnswer{Status: o.Status, Body: o.Body, Replayed: true}
}

// Complete implements traffic.ActionGuard. If there is no answer, nothing is
// recorded: the key stays claimed, and repeated requests are told that the
// outcome is unknown.
func (g *claimGuard) Complete(a traffic.Action, token claim.Token, answer *traffic.ServiceAnswer) {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if len(findings) > 0 || answer == nil {
		return
	}
	g.claimer.Complete(key, token, claim.Outcome{Status: answer.Status, Body: answer.Body})
}

// GiveBack implements traffic.ActionGuard. If the key cannot be given back, it stays
// claimed. This is safe: the action cannot run twice.
func (g *claimGuard) GiveBack(ctx context.Context, a traffic.Action, token claim.Token) {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if len(findings) > 0 {
		return
	}
	if err := g.claimer.GiveBack(ctx, key, token); err != nil {
		logevent.ClaimKept.Emit(g.log, log.Fields{"request": a.RequestID, "error": err.Error()})
	}
}
