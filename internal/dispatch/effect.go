package dispatch

import "time"

// Effect is an output of Core.Step: an action that the caller of the core must
// carry out.
type Effect interface{ effect() }

// Code names the reason why a request was refused or failed. Callers see the
// values, so they must not change.
type Code string

// Reasons for refusing or failing a request.
const (
	// CodeNoUpstream means that no usable upstream can serve the request.
	CodeNoUpstream Code = "no_upstream"
	// CodeOverloaded means that the queue is full, or that the predicted wait
	// in it is too long for the request's time limit.
	CodeOverloaded Code = "overloaded"
	// CodeLimitTooTight means that the time limit is too short even without any
	// wait.
	CodeLimitTooTight Code = "limit_too_tight"
	// CodePromptTooLarge means that the request needs more memory than the
	// largest possible group of engines has.
	CodePromptTooLarge Code = "prompt_exceeds_capacity"
	// CodeOrganisationOverLimit means that the organisation already has
	// Arrived.MaxInFlight requests in flight.
	CodeOrganisationOverLimit Code = "organisation_over_limit"
	// CodeDraining means that this host is stopping.
	CodeDraining Code = "draining"
	// CodeTimeLimit means that an admitted request was ended because its time
	// limit was at most Config.FinishMargin away.
	CodeTimeLimit Code = "time_limit"
	// CodeUpstreamFailed means that an attempt failed and may not be, or can't
	// usefully be, repeated.
	CodeUpstreamFailed Code = "upstream_failed"
	// CodeCallerGone means that the caller closed its connection.
	CodeCallerGone Code = "caller_gone"
	// CodeGivenUp means that an admitted request, still waiting, could no
	// longer finish within its time limit.
	CodeGivenUp Code = "given_up"
	// CodeClaimRefused means that the attempt failed with FailureRefused, for
	// example because another request holds the claim.
	CodeClaimRefused Code = "claim_refused"
)

// Outcome states whether an upstream ran a request that got no answer.
type Outcome string

// Outcomes of a request without an answer.
const (
	// OutcomeNotRun means that no upstream ran the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that an upstream ran the request and reported a
	// failure.
	OutcomeFailed Outcome = "failed"
)

// Admit reports that the request was admitted, because it is predicted to end
// by its deadline. Later effects for the same ID follow.
type Admit struct {
	ID string
	// PredictedWait is the time that the request is expected to spend in this
	// host's queue.
	PredictedWait time.Duration
}

// Refuse is the final answer to a request that was not admitted.
type Refuse struct {
	ID   string
	Code Code
	// RetryAfter is the delay after which the caller may try again with a
	// chance of success; 0 means that a repeated request would be refused as
	// well.
	RetryAfter time.Duration
}

// Fail is the final answer to an admitted request that got no complete answer
// from an upstream.
type Fail struct {
	ID      string
	Code    Code
	Outcome Outcome
	// RetryAfter is the delay after which the caller may try again; 0 means
	// that the core gives no advice.
	RetryAfter time.Duration
}

// Reserve asks one member of a group to reserve KV memory for an attempt;
// Reserved answers it.
type Reserve struct {
	ID       string
	Attempt  uint32
	Upstream string
	Address  string
	// MemoryTokens is the KV memory to reserve, in tokens.
	MemoryTokens int
	Deadline     time.Duration
}

// Member is one engine of a group.
type Member struct {
	Upstream string
	Address  string
}

// Send starts an attempt on the first member of the group, which is its leader.
// FirstToken, Stalled, Finished and AttemptFailed answer it.
type Send struct {
	ID      string
	Attempt uint32
	// Model is the name of the model, with its version, that the request is
	// served with. It differs from the requested name while a version change is
	// under way.
	Model string
	Group []Member
	// Priority orders the work within the engine, smaller values first. It is
	// the request's virtual deadline, on the same clock as the argument now of
	// Step.
	Priority time.Duration
	Deadline time.Duration
	// FirstTokenTimeout is how long the caller of the core waits for the first
	// piece of the answer before it reports Stalled.
	FirstTokenTimeout time.Duration
	// Offset is the number of tokens of the answer that earlier attempts
	// already delivered.
	Offset int
}

// Resume continues the stream of an attempt on a new connection, after the
// first Offset tokens. The same events as for Send answer it.
type Resume struct {
	ID       string
	Attempt  uint32
	Upstream string
	Address  string
	// Offset is the number of tokens of the answer that were already delivered.
	Offset int
}

// Call sends a request to a plain service; Finished or AttemptFailed answers
// it.
type Call struct {
	ID       string
	Attempt  uint32
	Upstream string
	Address  string
	Deadline time.Duration
}

// Drop asks the caller of the core to stop delivering the answer of an attempt.
type Drop struct {
	ID      string
	Attempt uint32
}

// Cancel ends an attempt on an engine, so that the engine frees its memory;
// Cancelled answers it.
type Cancel struct {
	Upstream string
	Address  string
	ID       string
	Attempt  uint32
}

// Done reports that the request is over; everything that is kept for it can be
// released.
type Done struct{ ID string }

// ResyncCache asks for all cache events of an engine that have at least the
// given sequence number.
type ResyncCache struct {
	Upstream     string
	Address      string
	FromSequence uint64
}

// Drained reports that a stopping host has no requests left and can exit.
type Drained struct{}

func (Admit) effect()       {}
func (Refuse) effect()      {}
func (Fail) effect()        {}
func (Reserve) effect()     {}
func (Send) effect()        {}
func (Resume) effect()      {}
func (Call) effect()        {}
func (Drop) effect()        {}
func (Cancel) effect()      {}
func (Done) effect()        {}
func (ResyncCache) effect() {}
func (Drained) effect()     {}
