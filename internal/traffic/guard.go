package traffic

import (
	"context"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim"
	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// These are the codes of actions that are not carried out.
const (
	CodeInProgress        dispatch.Code = "action_in_progress"
	CodeOutcomeUnknown    dispatch.Code = "action_outcome_unknown"
	CodeKeyReused         dispatch.Code = "idempotency_key_reused"
	CodeKeyExpired        dispatch.Code = "idempotency_key_expired"
	CodeKeyRefused        dispatch.Code = "idempotency_key_refused"
	CodeClaimsUnavailable dispatch.Code = "claims_unavailable"
)

// Action identifies one action that may not be repeated.
type Action struct {
	// Organisation and Kind are the names of the caller's organisation and of the
	// request's kind; Key is the idempotency key.
	Organisation string
	Kind         string
	Key          string
	// Fingerprint is a hash of the request's body. The same key with another body
	// is a conflict.
	Fingerprint uint64
	// RequestID and Deadline belong to the request that wants to carry out the
	// action.
	RequestID string
	Deadline  time.Time
}

// ClaimResult is the answer to an attempt to claim an action.
type ClaimResult struct {
	// Granted reports that this request, and no other, may carry out the action.
	Granted bool
	// Token identifies the claim in Complete and GiveBack.
	Token claim.Token
	// RecordedAnswer is the answer of the earlier request that carried out the
	// action; nil if there is none.
	RecordedAnswer *ServiceAnswer
	// Code, Outcome, Detail and RetryAfter give the reason why the action may not
	// be carried out, if there is no recorded answer.
	Code       dispatch.Code
	Outcome    dispatch.Outcome
	Detail     string
	RetryAfter time.Duration
}

// ActionGuard ensures that an action is carried out at most once across all
// hosts.
type ActionGuard interface {
	// Claim asks for the right to carry out an action. The claim is durable when
	// it returns, which is before anything is sent upstream.
	Claim(ctx context.Context, a Action) ClaimResult
	// Complete records the answer of the action; answer is nil when it is not
	// known.
	Complete(a Action, token claim.Token, answer *ServiceAnswer)
	// GiveBack frees the key. It may only be called with proof that the action
	// was not run.
	GiveBack(ctx context.Context, a Action, token claim.Token)
}
