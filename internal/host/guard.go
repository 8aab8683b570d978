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

// Codes of refused claims.
const (
	codeInProgress  dispatch.Code = "action_in_progress"
	codeUnknown     dispatch.Code = "action_outcome_unknown"
	codeKeyReused   dispatch.Code = "idempotency_key_reused"
	codeKeyExpired  dispatch.Code = "idempotency_key_expired"
	codeKeyRefused  dispatch.Code = "idempotency_key_refused"
	codeUnavailable dispatch.Code = "claims_unavailable"
)

// inProgressRetry is when to ask again for an action in progress.
const inProgressRetry = time.Second

// claimGuard keeps actions from being repeated by durable claims.
type claimGuard struct {
	claimer *claim.Claimer
	log     log.Interface
}

// refusal is how a decision other than Granted and Done is told.
type refusal struct {
	code    dispatch.Code
	outcome dispatch.Outcome
	detail  string
	retry   time.Duration
}

var refusals = map[claim.Decision]refusal{
	shard.Refused: {codeUnavailable, dispatch.OutcomeNotRun, "the claim could not be made durable; nothing was sent", time.Second},
	shard.Full:    {codeUnavailable, dispatch.OutcomeNotRun, "there is no room for another claim; nothing was sent", time.Second},
	shard.InProgress: {
		codeInProgress, dispatch.OutcomeUnknown, "another request with this key is being carried out", inProgressRetry,
	},
	shard.OutcomeUnknown: {
		codeUnknown, dispatch.OutcomeUnknown, "another request with this key ended without a known outcome; it is not run again", 0,
	},
	shard.Mismatch:   {codeKeyReused, dispatch.OutcomeNotRun, "the key was used with another body", 0},
	shard.TooOld:     {codeKeyExpired, dispatch.OutcomeNotRun, "the key's date is older than keys are remembered", 0},
	shard.TooNew:     {codeKeyRefused, dispatch.OutcomeNotRun, "the key's date lies in the future", 0},
	shard.Undated:    {codeKeyRefused, dispatch.OutcomeNotRun, "the key carries no date", 0},
	shard.Unreadable: {codeUnavailable, dispatch.OutcomeNotRun, "the recorded claims can't be read; nothing was sent", time.Minute},
}

// Claim implements traffic.Guard.
func (g *claimGuard) Claim(ctx context.Context, a traffic.Action) traffic.Permit {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if err := findings.Err(); err != nil {
		return traffic.Permit{Code: codeKeyRefused, Outcome: dispatch.OutcomeNotRun, Detail: err.Error()}
	}
	answer := g.claimer.Claim(ctx, key, a.Fingerprint, a.Deadline)
	switch answer.Decision {
	case shard.Granted:
		return traffic.Permit{Run: true, Token: answer.Token}
	case shard.Done:
		return traffic.Permit{Recorded: recorded(answer.Outcome)}
	default:
		r := refusals[answer.Decision]
		return traffic.Permit{Code: r.code, Outcome: r.outcome, Detail: r.detail, RetryAfter: max(r.retry, answer.RetryAfter)}
	}
}

func recorded(o claim.Outcome) *traffic.ServiceAnswer {
	return &traffic.ServiceAnswer{Status: o.Status, Body: o.Body, Recorded: true}
}

// Complete implements traffic.Guard. Without an answer nothing is recorded:
// the key stays claimed and repeated requests learn that the outcome is unknown.
func (g *claimGuard) Complete(a traffic.Action, token claim.Token, answer *traffic.ServiceAnswer) {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if len(findings) > 0 || answer == nil {
		return
	}
	g.claimer.Complete(key, token, claim.Outcome{Status: answer.Status, Body: answer.Body})
}

// GiveBack implements traffic.Guard. A key that can't be given back stays
// claimed, which is safe.
func (g *claimGuard) GiveBack(ctx context.Context, a traffic.Action, token claim.Token) {
	key, findings := claim.ParseKey(a.Organisation, a.Kind, a.Key)
	if len(findings) > 0 {
		return
	}
	if err := g.claimer.GiveBack(ctx, key, token); err != nil {
		logevent.ClaimKept.Emit(g.log, log.Fields{"request": a.Request, "error": err.Error()})
	}
}
