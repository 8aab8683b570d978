package dispatch

import "time"

// Effect is something that the caller of the core must do.
type Effect interface{ effect() }

// Code names why a request was refused or failed; codes are stable.
type Code string

// Codes.
const (
	CodeNoUpstream            Code = "no_upstream"
	CodeOverloaded            Code = "overloaded"
	CodeLimitTooTight         Code = "limit_too_tight"
	CodePromptTooLarge        Code = "prompt_exceeds_capacity"
	CodeOrganisationOverLimit Code = "organisation_over_limit"
	CodeDraining              Code = "draining"
	CodeTimeLimit             Code = "time_limit"
	CodeUpstreamFailed        Code = "upstream_failed"
	CodeCallerGone            Code = "caller_gone"
	// CodeGivenUp: an admitted request could not finish in time any more.
	CodeGivenUp      Code = "given_up"
	CodeClaimRefused Code = "claim_refused"
)

// Outcome says whether a request that got no answer was run.
type Outcome string

// Outcomes.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// Admit says that the request will end by its deadline; later effects follow.
type Admit struct {
	ID string
	// PredictedWait is the predicted time in this host's queue.
	PredictedWait time.Duration
}

// Refuse is the final answer to a request that was not admitted.
type Refuse struct {
	ID   string
	Code Code
	// RetryAfter is when coming back can help; 0 when it can't.
	RetryAfter time.Duration
}

// Fail is the final answer to an admitted request.
type Fail struct {
	ID         string
	Code       Code
	Outcome    Outcome
	RetryAfter time.Duration
}

// Reserve asks one member of a group for memory; Reserved answers it.
type Reserve struct {
	ID           string
	Attempt      uint32
	Upstream     string
	Address      string
	MemoryTokens int
	Deadline     time.Duration
}

// Member is one engine of a group.
type Member struct {
	Upstream string
	Address  string
}

// Send starts an attempt on the first member; FirstToken, Stalled, Finished
// and AttemptFailed answer it.
type Send struct {
	ID      string
	Attempt uint32
	// Model is the name under which the engines hold what was asked for.
	Model string
	Group []Member
	// Priority orders work within the engine, earlier first: the virtual
	// deadline on the clock of now.
	Priority time.Duration
	Deadline time.Duration
	// FirstTokenTimeout is how long to wait for the first piece before
	// reporting Stalled.
	FirstTokenTimeout time.Duration
	// Offset is the number of tokens already delivered by earlier attempts.
	Offset int
}

// Resume continues an attempt's stream on a new connection; the same events
// as for Send answer it.
type Resume struct {
	ID       string
	Attempt  uint32
	Upstream string
	Address  string
	Offset   int
}

// Call sends a request to a plain service; Finished or AttemptFailed answers.
type Call struct {
	ID       string
	Attempt  uint32
	Upstream string
	Address  string
	Deadline time.Duration
}

// Drop tells the traffic side to stop delivering an attempt.
type Drop struct {
	ID      string
	Attempt uint32
}

// Cancel ends work on an engine and gives back its memory; Cancelled answers.
type Cancel struct {
	Upstream string
	Address  string
	ID       string
	Attempt  uint32
}

// Done says that the request is over and everything kept for it can go.
type Done struct{ ID string }

// ResyncCache asks for all cache events of an engine from the sequence given.
type ResyncCache struct {
	Upstream     string
	Address      string
	FromSequence uint64
}

// Drained says that a stopping host has nothing left to do.
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
