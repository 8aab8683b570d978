package client

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Result is how one sending of a request ended for its caller.
type Result string

// The results.
const (
	// Delivered says that the whole answer came.
	Delivered Result = "delivered"
	// Refused says that a problem document with outcome not_run came in place
	// of an answer.
	Refused Result = "refused"
	// Failed says that a problem document with another outcome came, in place
	// of an answer or after its beginning.
	Failed Result = "failed"
	// Broken says that the connection or the answer ended without any word.
	Broken Result = "broken"
	// Wrong says that an answer came whose tokens are not its own or not whole.
	Wrong Result = "wrong"
)

// Outcomes that a problem document tells.
const (
	ToldNotRun  = "not_run"
	ToldUnknown = "unknown"
	ToldFailed  = "failed"
)

// Outcome is what the caller of one sending saw. Times are counted from the
// intended arrival, so that waiting within the bench counts too.
type Outcome struct {
	Request *workload.Request
	// Again says that this was the repeated sending of an action.
	Again bool
	// Address is the host that it was sent to.
	Address string
	Result  Result
	// Status is the HTTP status, 0 when no answer came.
	Status int
	// Code and Told are the code and outcome of the problem document.
	Code, Told string
	// HasRetryAfter says that the refusal told when to come back.
	HasRetryAfter bool
	// RequestID is the router's name for the request.
	RequestID string
	// Sent is when the sending began.
	Sent time.Duration
	// FirstToken is when the first token came, 0 when none came.
	FirstToken time.Duration
	// End is when the last byte or the failure came.
	End time.Duration
	// Gaps are the times between pieces of the answer after the first.
	Gaps []time.Duration
	// TokenGap is the mean time between tokens, 0 for answers of one token.
	TokenGap time.Duration
	// Tokens is the number of tokens received in order.
	Tokens int
	// Fault is what is wrong with the answer's tokens.
	Fault answer.Fault
	// Detail is an error's text for the log of the run.
	Detail string
}

// Late reports whether the final answer came after the request's time limit,
// which is counted from the sending. The allowance is the time that the
// modelled link between caller and host takes in both directions.
func (o Outcome) Late(allowance time.Duration) bool {
	return o.Overrun() > allowance
}

// Overrun is how long after the time limit the final answer came.
func (o Outcome) Overrun() time.Duration {
	return o.End - o.Sent - o.Request.TimeLimit
}

// InTime reports whether the whole answer came within the time limit, counted
// from the intended arrival.
func (o Outcome) InTime() bool {
	return o.Result == Delivered && o.End <= o.Request.TimeLimit
}
