package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/quarantine"
)

// Effect is an output of Core.Step: something that the caller of the core must
// do.
type Effect interface{ effect() }

// ErrorCode names the reason why a request was refused or failed.
type ErrorCode string

// The reasons for refusals and failures.
const (
	// CodeNoUpstream means that no registered server of the service takes
	// requests.
	CodeNoUpstream ErrorCode = "no_upstream"
	// CodeEvacuated means that all servers that the request may use are in data centres that
	// the operator has taken out of service.
	CodeEvacuated ErrorCode = "evacuated"
	// CodeNoRegion means that no server of the service is in a region in which the request
	// may be served.
	CodeNoRegion ErrorCode = "no_allowed_region"
	// CodeUpstreamsUnreachable means that this host reaches no server of the
	// service.
	CodeUpstreamsUnreachable ErrorCode = "upstreams_unreachable"
	// CodeOverloaded means that no capacity will be free in time.
	CodeOverloaded ErrorCode = "overloaded"
	// CodePromptTooLarge means that the prompt exceeds the memory of the largest
	// group that could be formed of the servers.
	CodePromptTooLarge ErrorCode = "prompt_exceeds_capacity"
	// CodeTooLate means that the request's time limit is too near for an
	// answer.
	CodeTooLate ErrorCode = "too_late"
	// CodeUpstreamFailed means that the upstreams that were tried failed.
	CodeUpstreamFailed ErrorCode = "upstream_failed"
	// CodeRetryBudgetSpent means that another attempt would exceed the retry
	// budget.
	CodeRetryBudgetSpent ErrorCode = "retry_budget_spent"
	// CodePromptQuarantined means that servers crashed under prompts with a part
	// that this one has.
	CodePromptQuarantined ErrorCode = "prompt_quarantined"
	// CodeTimeLimit means that the request's time limit has passed.
	CodeTimeLimit ErrorCode = "time_limit"
	// CodeStopping means that this host stops before it could answer.
	CodeStopping ErrorCode = "stopping"
)

// Shortage names what a request lacked when servers were last looked for.
type Shortage string

// The shortages.
const (
	// ShortageServers means that no server of the service may be used now.
	ShortageServers Shortage = "servers"
	// ShortageSlots means that no usable server has a free slot.
	ShortageSlots Shortage = "slots"
	// ShortageMemory means that there are free slots, but not enough memory with them.
	ShortageMemory Shortage = "memory"
	// ShortageHarm means that there is capacity, and that using it would cost other
	// requests too much.
	ShortageHarm Shortage = "harm"
	// ShortageReservation means that a server did not reserve the memory for a prompt.
	ShortageReservation Shortage = "reservation"
)

// Member is one server of the group that serves an attempt.
type Member struct {
	// Upstream is the id of the server, Address its network address.
	Upstream string
	Address  string
	// ReservationID identifies the memory reservation on the server; empty if
	// there is none.
	ReservationID string
	// ReservedTokens is the size of the reservation in tokens.
	ReservedTokens int
}

// Send starts an attempt. The caller of the core answers it by FirstPiece,
// Finished and AttemptFailed events with the same request and attempt numbers.
// The attempts of a request are numbered from 1.
type Send struct {
	RequestNumber uint64
	Attempt       int
	// Members lists the leader, which is the server to send the request to, and
	// then its helpers.
	Members []Member
	// Deadline is the time by which the request must have ended.
	Deadline time.Duration
	// Urgency ranks the request within a server; lower numbers are admitted
	// first.
	Urgency int
	// ConnectTimeout limits the time for connecting, FirstPieceTimeout the wait
	// for the first piece of the answer and PieceTimeout each later pause. If
	// one of them is 0, only the deadline limits that time.
	ConnectTimeout    time.Duration
	FirstPieceTimeout time.Duration
	PieceTimeout      time.Duration
	// ToHost is set when the only member is another host, which is to answer the request
	// through the servers that it reaches. PriorRuns is the number of earlier attempts
	// that may have executed the request.
	ToHost    bool
	PriorRuns int
	// ReplyBy is the time by which the other host must have ended the request, so that its
	// refusal or failure comes back before Deadline; only with ToHost.
	ReplyBy time.Duration
	// Returned is set for a request that has come back as it was told.
	Returned bool
	// LeaderLimited is set when the leader's last answer named a limit. Then the
	// caller of the core reports by LimitObserved also that an answer names none.
	LeaderLimited bool
	// Choice describes the placement decision, for logs.
	Choice PlacementChoice
}

// PlacementChoice describes a placement decision for logs: the predictions and
// the cost that led to it, and the known state of the leader that they rest on.
type PlacementChoice struct {
	// PredictedFirstPiece is the expected time until the first piece of the
	// answer.
	PredictedFirstPiece time.Duration
	// Backlog is the prefill time that is still to be done on the leader.
	Backlog time.Duration
	// RequestsKnown is the number of requests known on the leader,
	// RequestsFromPeers the number of those that other hosts reported.
	RequestsKnown     int
	RequestsFromPeers int
	// OldestReportAge is the age of the oldest peer report that the decision
	// used.
	OldestReportAge time.Duration
	// FailureShare is the share of failures seen on the leader lately, from 0
	// to 1.
	FailureShare float64
	// Cost is the cost of the placement, by which it was preferred to others.
	Cost float64
	// Coordinator is the name of the coordinator that made the choice; empty for this
	// host.
	Coordinator string
}

// ReserveMemory asks a server to reserve KV memory, or to renew a reservation.
// A ReservationResult event answers it.
type ReserveMemory struct {
	RequestNumber uint64
	Attempt       int
	Member        Member
	// Hold is the time for which the server keeps the reservation unless it is
	// renewed.
	Hold time.Duration
	// Renewal is set when the memory is already reserved.
	Renewal bool
}

// ReleaseMemory ends a reservation. No event answers it.
type ReleaseMemory struct{ Member Member }

// Refuse is the final answer to a request that was not executed.
type Refuse struct {
	RequestNumber uint64
	// Code is the reason.
	Code ErrorCode
	// RetryAfter is the time after which the caller may try again; 0 if that
	// can't help.
	RetryAfter time.Duration
	// QueueTime is the time that the request waited in the host's queue,
	// QueueLength the number of requests that wait there now.
	QueueTime   time.Duration
	QueueLength int
	// Shortage is what the request lacked when servers were last looked for; empty if they
	// never were. With ShortageHarm, Harm is the cost that its placement would have had to
	// other requests and HarmLimit what is borne for its length, as multiples of its own
	// weight; a harm below the limit exceeded the budget for all prompts.
	Shortage  Shortage
	Harm      float64
	HarmLimit float64
	// Excluded counts the servers of the service that might not get the request, by the
	// reason.
	Excluded map[Exclusion]int
	// QuarantinedPart is the part of the prompt that is quarantined, with
	// CodePromptQuarantined.
	QuarantinedPart string
	// Returned is set for a request that had come back as it was told.
	Returned bool
}

// Fail is the final answer to a request that may have been executed.
type Fail struct {
	RequestNumber uint64
	// Code is the reason.
	Code ErrorCode
	// ForwardUpstreamError is set when the failure that the upstream answered
	// is to be passed on to the caller.
	ForwardUpstreamError bool
}

// BroadcastReport sends a report about this host's work to all other hosts.
type BroadcastReport struct{ Report WorkReport }

// QueryPlacement sends a question to a coordinator. A PlacementAnswered event may answer
// it.
type QueryPlacement struct {
	// Host is the name of the coordinator.
	Host  string
	Query PlacementQuery
}

// AnswerPlacement sends an answer to a host that asked this one as a coordinator.
type AnswerPlacement struct {
	// Host is the name of the host that asked.
	Host   string
	Answer PlacementAnswer
}

// CoordinatorSilent reports that a coordinator did not answer in time and is avoided for
// a while.
type CoordinatorSilent struct {
	// Host is the name of the coordinator.
	Host string
	// Silence is the time since the question.
	Silence time.Duration
}

// UpstreamStateChanged reports that requests showed an upstream, or a whole
// data centre, to be in trouble, and that it is avoided for a while.
type UpstreamStateChanged struct {
	// Upstream is the id of the upstream or the name of the data centre.
	Upstream string
	// State describes what this host now takes the state to be.
	State string
	// Cause is the failure class, or a description, of what was observed.
	Cause string
	// FailureShare is the share of failures, from 0 to 1. RequestsSeen is the
	// number of requests it is based on, weighted by their age; for a data
	// centre it is the number of upstreams that are out of reach.
	FailureShare float64
	RequestsSeen float64
}

// UpstreamLimitChanged reports that a server named a limit, another limit, or none
// any more.
type UpstreamLimitChanged struct {
	// Upstream is the id of the server.
	Upstream string
	// Host is the other host that reported the limit. If it is empty, this host
	// observed it, and tells all other hosts.
	Host string
	// Before and PerSecond are the limits, in requests a second from all hosts
	// together; 0 stands for none.
	Before, PerSecond float64
}

// UpstreamResting reports that a server has asked this host for rest, and gets none of its
// requests until that is over. The other hosts are told.
type UpstreamResting struct {
	// Upstream is the id of the server, Incarnation its run.
	Upstream    string
	Incarnation int64
	// RequestID is the caller's name for the request that it refused.
	RequestID string
	RestTime  time.Duration
}

// UpstreamLeaving reports that a server has announced that it is shutting down, and gets
// no new requests until a later run of it registers.
type UpstreamLeaving struct {
	// Upstream is the id of the server, Incarnation its run.
	Upstream    string
	Incarnation int64
	// Host is the other host that reported it. If it is empty, this host was told by the
	// server, and tells all other hosts.
	Host string
}

// UpstreamWarmthChanged reports that a server is cold, that it stays cold longer than was
// known, or that it is cold no more.
type UpstreamWarmthChanged struct {
	// Upstream is the id of the server, Incarnation its run.
	Upstream    string
	Incarnation int64
	// ColdTime is how much longer the server counts as cold; 0 if it does not.
	ColdTime time.Duration
	// Cause tells how that was learned; empty if the time is over. If it is ColdAnswered and
	// Host is empty, the server said so to this host, and all other hosts are told; otherwise
	// Host names the host that was told.
	Cause ColdCause
	Host  string
}

// ProbeConnection asks for a connection to a server, which is closed at once. A
// ConnectionProbed event answers it.
type ProbeConnection struct {
	// Upstream is the id of the server, Address its network address.
	Upstream, Address string
	// Timeout limits the time for connecting.
	Timeout time.Duration
}

// BroadcastCutOff tells all other hosts that this one is cut off from all servers, or
// no longer.
type BroadcastCutOff struct{ CutOff bool }

// BroadcastQuarantine tells all other hosts what this one has found out about parts
// of prompts.
type BroadcastQuarantine struct{ Report QuarantineReport }

// BroadcastReturns tells all other hosts which requests were told to come back.
type BroadcastReturns struct{ Report ReturnsReport }

// QuarantineChanged reports that a part of prompts was quarantined, that a request
// with it was let through as a trial, or that the quarantine has ended.
type QuarantineChanged struct {
	// State is quarantined, trial or released.
	State QuarantineState
	// Verdict is the quarantine; only its Part is set if State is QuarantineReleased.
	Verdict quarantine.Verdict
	// RequestID is the caller's name for the request that was let through, or that
	// showed the part to be sound; empty if another host reported it.
	RequestID string
}

// QuarantineState names a change of a quarantine.
type QuarantineState string

// The changes of a quarantine.
const (
	QuarantineBegun    QuarantineState = "quarantined"
	QuarantineTrial    QuarantineState = "trial"
	QuarantineReleased QuarantineState = "released"
)

func (Send) effect()                  {}
func (BroadcastCutOff) effect()       {}
func (QueryPlacement) effect()        {}
func (AnswerPlacement) effect()       {}
func (CoordinatorSilent) effect()     {}
func (ProbeConnection) effect()       {}
func (BroadcastQuarantine) effect()   {}
func (BroadcastReturns) effect()      {}
func (QuarantineChanged) effect()     {}
func (UpstreamLimitChanged) effect()  {}
func (UpstreamResting) effect()       {}
func (UpstreamLeaving) effect()       {}
func (UpstreamWarmthChanged) effect() {}
func (ReserveMemory) effect()         {}
func (ReleaseMemory) effect()         {}
func (Refuse) effect()                {}
func (Fail) effect()                  {}
func (BroadcastReport) effect()       {}
func (UpstreamStateChanged) effect()  {}
