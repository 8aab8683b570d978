package traffic

import (
	"context"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Codes of actions that are not carried out.
const (
	CodeInProgress        dispatch.Code = "action_in_progress"
	CodeOutcomeUnknown    dispatch.Code = "action_outcome_unknown"
	CodeKeyReused         dispatch.Code = "idempotency_key_reused"
	CodeKeyExpired        dispatch.Code = "idempotency_key_expired"
	CodeKeyRefused        dispatch.Code = "idempotency_key_refused"
	CodeClaimsUnavailable dispatch.Code = "claims_unavailable"
)

// Action names one action that may not be repeated.
type Action struct {
	Organisation string
	Kind         string
	Key          string
	// Fingerprint identifies the request's body; the same key with another
	// body is a conflict.
	Fingerprint uint64
	// RequestID and Deadline are of the request that wants to carry it out.
	RequestID string
	Deadline  time.Time
}

// ClaimResult is the decision on an action.
type ClaimResult struct {
	// Granted says that the caller, and no one else, may carry the action out.
	Granted bool
	// Token identifies the claim to Complete and GiveBack.
	Token claim.Token
	// RecordedAnswer is the answer of the earlier request that carried it out.
	RecordedAnswer *ServiceAnswer
	// Code, Outcome, Detail and RetryAfter tell why it may not run, where
	// there is no recorded answer.
	Code       dispatch.Code
	Outcome    dispatch.Outcome
	Detail     string
	RetryAfter time.Duration
}

// ActionGuard makes sure that an action is carried out at most once over all hosts.
type ActionGuard interface {
	// Claim makes the claim durable before anything is sent upstream.
	Claim(ctx context.Context, a Action) ClaimResult
	// Complete records the action's answer, nil when it is not known.
	Complete(a Action, token claim.Token, answer *ServiceAnswer)
	// GiveBack frees the key; only with proof that the action was not run.
	GiveBack(ctx context.Context, a Action, token claim.Token)
}
