package client

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Result classifies how one attempt ended for its caller.
type Result string

// Results of an attempt.
const (
	// Delivered means that the complete answer arrived.
	Delivered Result = "delivered"
	// Refused means that a problem document with the outcome not_run arrived in
	// place of an answer.
	Refused Result = "refused"
	// Failed means that a problem document with another outcome arrived, in
	// place of an answer or after its beginning.
	Failed Result = "failed"
	// Broken means that the connection or the answer ended without a final event
	// or a problem document.
	Broken Result = "broken"
	// Wrong means that an answer arrived whose tokens belong to another answer
	// or are not complete.
	Wrong Result = "wrong"
)

// Outcomes that a problem document states.
const (
	// ProblemNotRun means that the request was not executed.
	ProblemNotRun = "not_run"
	// ProblemUnknown means that it is not known whether the request was executed.
	ProblemUnknown = "unknown"
	// ProblemFailed means that the request failed.
	ProblemFailed = "failed"
)

// Outcome holds what the caller saw of one attempt. Times are measured from the
// intended arrival, so that delays within the load generator count too.
type Outcome struct {
	Request *workload.Request
	// IsRepeat reports whether this was the second sending of an action.
	IsRepeat bool
	// Address is the address of the host that the request was sent to.
	Address string
	Result  Result
	// Status is the HTTP status code, or 0 if no response arrived.
	Status int
	// Code and ProblemOutcome are the code and outcome of the problem document;
	// both are empty if there was none.
	Code, ProblemOutcome string
	// HasRetryAfter reports whether the response had a Retry-After header, which
	// names the time to wait before another try.
	HasRetryAfter bool
	// RequestID is the id that the router gave the request.
	RequestID string
	// Sent is the time at which sending began.
	Sent time.Duration
	// FirstToken is the time at which the first token arrived, or 0 if none did.
	FirstToken time.Duration
	// End is the time at which the last byte arrived or the failure occurred.
	End time.Duration
	// Gaps are the times between consecutive pieces of the answer, one for each
	// piece after the first.
	Gaps []time.Duration
	// TokenGap is the mean time between tokens, or 0 for answers of one token.
	TokenGap time.Duration
	// Tokens is the number of tokens received in order.
	Tokens int
	// Fault is the first fault found in the answer's tokens.
	Fault answer.Fault
	// Detail is an error text for the log of the run.
	Detail string
}

// Late reports whether the response ended later than the request's time limit,
// which is counted from the sending, plus the allowance. The allowance is the time
// that the simulated link between caller and host takes in both directions.
func (o Outcome) Late(allowance time.Duration) bool {
	return o.Overrun() > allowance
}

// Overrun returns the time by which the end of the response exceeded the time
// limit, counted from the sending. It is negative if the response ended in time.
func (o Outcome) Overrun() time.Duration {
	return o.End - o.Sent - o.Request.TimeLimit
}

// InTime reports whether the complete answer arrived within the time limit,
// counted from the intended arrival.
func (o Outcome) InTime() bool {
	return o.Result == Delivered && o.End <= o.Request.TimeLimit
}
