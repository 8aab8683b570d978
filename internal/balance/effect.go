package balance

import "time"

// Effect is something that the caller of the core must do.
type Effect interface{ effect() }

// ErrorCode names why a request was refused or failed.
type ErrorCode string

// Codes.
const (
	// CodeNoUpstream: no registered server of the service takes requests.
	CodeNoUpstream ErrorCode = "no_upstream"
	// CodeUpstreamsUnreachable: this host reaches no server of the service.
	CodeUpstreamsUnreachable ErrorCode = "upstreams_unreachable"
	// CodeOverloaded: no room will come in time.
	CodeOverloaded ErrorCode = "overloaded"
	// CodePromptTooLarge: the prompt exceeds the memory of all servers together.
	CodePromptTooLarge ErrorCode = "prompt_exceeds_capacity"
	// CodeTooLate: its time limit is too near for an answer.
	CodeTooLate ErrorCode = "too_late"
	// CodeUpstreamFailed: the upstreams tried failed.
	CodeUpstreamFailed ErrorCode = "upstream_failed"
	// CodeRetryBudgetSpent: repeating it would exceed the retry budget.
	CodeRetryBudgetSpent ErrorCode = "retry_budget_spent"
	// CodeTimeLimit: its time was over.
	CodeTimeLimit ErrorCode = "time_limit"
)

// Member is one server of an attempt.
type Member struct {
	Upstream string
	Address  string
	// Ticket names the memory reserved there; empty without one.
	Ticket string
	// ReservedTokens is the size of the reservation.
	ReservedTokens int
}

// Send starts an attempt; FirstPiece, Finished and AttemptFailed answer it.
type Send struct {
	RequestNumber uint64
	Attempt       int
	// Members are the server asked, then those that help it.
	Members  []Member
	Deadline time.Duration
	Urgency  int
	// ConnectTimeout bounds connecting, FirstWithin the wait for the first
	// piece, PieceWithin each later pause; 0 is no bound but the deadline.
	ConnectTimeout    time.Duration
	FirstPieceTimeout time.Duration
	PieceTimeout      time.Duration
	// Choice holds the inputs of the choice, for logs.
	Choice PlacementChoice
}

// PlacementChoice is what decided a placement.
type PlacementChoice struct {
	// PredictedFirstPiece is the expected time to the first piece.
	PredictedFirstPiece time.Duration
	// Backlog is the reading time ahead on the server asked.
	Backlog time.Duration
	// RequestsKnown is the number of requests known on it, FromPeers those of
	// other hosts.
	RequestsKnown     int
	RequestsFromPeers int
	// OldestReportAge is the age of the oldest peer message that the choice used.
	OldestReportAge time.Duration
	// FailureShare is the share of failures seen at it lately.
	FailureShare float64
	Cost         float64
}

// ReserveMemory asks a server for memory; Reserved answers.
type ReserveMemory struct {
	RequestNumber uint64
	Attempt       int
	Member        Member
	Hold          time.Duration
	// Renewal says that the memory is held already.
	Renewal bool
}

// ReleaseMemory gives memory back; nothing answers.
type ReleaseMemory struct{ Member Member }

// Refuse is the final answer to a request that was not run.
type Refuse struct {
	RequestNumber uint64
	Code          ErrorCode
	RetryAfter    time.Duration
	// QueueTime is the time in the host's queue, Queued its length.
	QueueTime   time.Duration
	QueueLength int
}

// Fail is the final answer to a request that may have run.
type Fail struct {
	RequestNumber uint64
	Code          ErrorCode
	// ForwardUpstreamError says that the upstream's own failure is the answer.
	ForwardUpstreamError bool
}

// BroadcastReport carries work of this host to all others.
type BroadcastReport struct{ Report WorkReport }

// UpstreamStateChanged says that the belief about an upstream changed.
type UpstreamStateChanged struct {
	Upstream string
	// State is what is believed now.
	State string
	Cause string
	// FailureShare and Seen are the evidence.
	FailureShare float64
	RequestsSeen float64
}

func (Send) effect()                 {}
func (ReserveMemory) effect()        {}
func (ReleaseMemory) effect()        {}
func (Refuse) effect()               {}
func (Fail) effect()                 {}
func (BroadcastReport) effect()      {}
func (UpstreamStateChanged) effect() {}
