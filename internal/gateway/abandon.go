package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/backpressure"
	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/memory"
)

// abandonReason is why a host gives up an answer that its server might have completed.
type abandonReason string

// Reasons to abandon an answer, for logs and metrics.
const (
	// abandonedStalled answers had a caller that took nothing for too long.
	abandonedStalled abandonReason = "stalled"
	// abandonedUnread answers were cut off by their server since their caller read too
	// slowly.
	abandonedUnread abandonReason = "unread"
	// abandonedForMemory answers had to give way.
	abandonedForMemory abandonReason = "memory"
)

// flowBody is the body of a response that passes through a flow.
type flowBody struct {
	*answerFlow
	io.Closer
}

// beginFlow makes the body of a response pass through a flow to the caller.
func (a *attempt) beginFlow(response *http.Response) {
	a.memory = &heldMemory{open: a.openAnswer, giveWay: a.giveWay}
	flow := newAnswerFlow(response.Body, a.w, a.limits, &heldMemory{open: a.openAnswer, giveWay: a.giveWay})
	flow.onYield = a.yield
	a.flow.Store(flow)
	response.Body = flowBody{answerFlow: flow, Closer: response.Body}
}

// yield makes all that the request holds the first to give way while its caller takes
// nothing, and keeps it again when the caller goes on.
func (a *attempt) yield(yields bool) {
	if !yields {
		a.yielding.Move(a.inbound.holding)
		a.yielding.Release()
		return
	}
	if conn := callerConnOf(a.r); conn != nil {
		a.yielding = a.budget.OpenOn(conn.holding, memory.Answer, a.giveWay)
	} else {
		a.yielding = a.budget.Open(memory.Answer, a.giveWay)
	}
	a.inbound.holding.Move(a.yielding)
	a.yielding.Stall()
}

// giveWay ends the attempt for the sake of the host's memory. Its callers hold locks that
// others who give way may wait for, so it doesn't wait itself.
func (a *attempt) giveWay() {
	a.cancel(errNoMemory)
	go a.flow.Load().interrupt()
}

// judge replaces the outcome of an attempt whose caller, and not whose server, is the reason
// for the end of the answer.
func (a *attempt) judge(response *http.Response, result outcome) outcome {
	flow := a.flow.Load()
	ended := result.class == "" && !result.callerGone && result.abandoned == ""
	broken := result.class == balance.FailureAnswerLost && result.connectionBroken
	switch {
	case flow.hasStalled():
		return outcome{abandoned: abandonedStalled, err: result.err}
	case result.callerGone && errors.Is(context.Cause(a.ctx), errNoMemory):
		return outcome{abandoned: abandonedForMemory, err: errNoMemory}
	case (ended || broken) && flow.judge(broken, !isUnframed(response)) == backpressure.CutUnread:
		return outcome{abandoned: abandonedUnread, err: result.err}
	default:
		return result
	}
}

// abandon ends a request whose answer this host gives up. The work for it is cancelled, and
// an answer that has begun is broken off.
func (x *exchange) abandon(result outcome) {
	x.control.post(balance.CallerGone{RequestNumber: x.requestNumber})
	logevent.AnswerAbandoned.Emit(x.logger, log.Fields{
		"request": x.inbound.request.ID, "reason": string(result.abandoned), "error": errorText(result.err), "upstream": x.upstream,
		"route": x.inbound.route.Name, "pieces": x.eventsSent, "after_ms": (x.clock.Now() - x.inbound.arrivedAt).Milliseconds(),
	})
	x.metrics.Count("gateway_answers_abandoned_total", 1, "reason", string(result.abandoned))
	x.countEnded("failed")
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	x.writeFailure(balance.CodeUpstreamFailed)
}
