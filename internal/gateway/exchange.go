package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

// exchange is one request and the state of its answer while this host handles
// it.
type exchange struct {
	*ingress
	inbound       *inboundRequest
	w             http.ResponseWriter
	r             *http.Request
	requestNumber uint64
	// contentName returns the name of the request's content.
	contentName func() string

	// responseStarted is true once the caller has got the header of an answer, with
	// responseStatus.
	// lastEventID is the id of the last event of a stream that the caller has,
	// -1 for none.
	responseStarted bool
	responseStatus  int
	lastEventID     int64
	// lastFailure is an upstream's own error response, which is forwarded if no
	// attempt succeeds.
	lastFailure atomic.Pointer[bufferedResponse]
	// failureMemory is charged with lastFailure.
	failureMemory *heldMemory
	// firstByteTime is the time from the arrival of the request to the first
	// byte of the answer.
	firstByteTime time.Duration
	// longestGap is the longest time between two events of a stream, and
	// lastEventAt is when the last one was forwarded. eventsSent counts the
	// events that were forwarded.
	longestGap  time.Duration
	lastEventAt time.Duration
	eventsSent  int
	// returned is set for a request that came back as it was told.
	returned bool
	// upstream is the id of the server that leads the latest attempt; empty
	// before the first one.
	upstream string
}

// decisionTimeout is how long the core's last word on a request whose time is over is
// waited for.
const decisionTimeout = 500 * time.Millisecond

// run answers the request.
func (x *exchange) run() {
	effects := x.control.subscribe(x.requestNumber)
	defer x.control.unsubscribe(x.requestNumber)
	defer func() { x.failureMemory.release() }()
	defer func() {
		if reason := recover(); reason != nil {
			x.endPanicked(reason)
			panic(reason)
		}
	}()
	x.executeEffects(effects)
}

// endPanicked ends a request whose goroutine has panicked. The core would count it as running
// at its server for as long as the process lives.
func (x *exchange) endPanicked(reason any) {
	if reason == http.ErrAbortHandler {
		// The answer was broken off on purpose, after the request had ended.
		return
	}
	x.control.post(balance.CallerGone{RequestNumber: x.requestNumber})
	logevent.RoutedPanicked.Emit(x.logger, log.Fields{"request": x.inbound.request.ID, "upstream": x.upstream, "error": fmt.Sprint(reason)})
	x.metrics.Count("gateway_panics_total", 1)
	x.countEnded("failed")
}

// executeEffects posts the request to the core and executes the core's effects until the
// request has ended.
func (x *exchange) executeEffects(effects <-chan balance.Effect) {
	x.control.post(x.arrivedEvent())
	deadlineTimer := time.NewTimer(x.inbound.deadline - x.clock.Now())
	defer deadlineTimer.Stop()
	expired := false
	hostStops := x.drain.requestsEnded.Done()
	for {
		select {
		case <-hostStops:
			hostStops = nil
			x.control.post(balance.DeadlinePassed{RequestNumber: x.requestNumber})
		case <-x.r.Context().Done():
			x.handleCallerLeft(x.r.Context().Err())
			return
		case <-deadlineTimer.C:
			if !expired {
				expired = true
				x.control.post(balance.DeadlinePassed{RequestNumber: x.requestNumber})
				deadlineTimer.Reset(decisionTimeout)
				continue
			}
			x.control.post(balance.CallerGone{RequestNumber: x.requestNumber})
			x.failRequest(balance.CodeTimeLimit, false)
			return
		case effect := <-effects:
			if x.execute(effect) {
				return
			}
		}
	}
}

// execute carries out one effect. It returns true when the request has ended.
func (x *exchange) execute(effect balance.Effect) bool {
	switch e := effect.(type) {
	case balance.Send:
		return x.runAttempt(e)
	case balance.Refuse:
		x.refuseOrAbort(e)
		return true
	case balance.Fail:
		x.failRequest(e.Code, e.ForwardUpstreamError)
		return true
	default:
		return false
	}
}

// runAttempt runs one attempt and posts how it ended. It returns true when the
// request has ended.
func (x *exchange) runAttempt(send balance.Send) bool {
	x.logSent(send)
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	a := &attempt{exchange: x, send: send, ctx: ctx, cancel: cancel}
	outcome := a.run()
	switch {
	case outcome.abandoned != "":
		x.abandon(outcome)
		return true
	case outcome.class == "":
		x.control.post(balance.Finished{RequestNumber: x.requestNumber, Attempt: send.Attempt, Success: outcome.status < http.StatusMultipleChoices})
		x.logDelivered(send)
		return true
	case outcome.callerGone:
		x.handleCallerLeft(outcome.err)
		return true
	}
	fields := log.Fields{
		"request": x.inbound.request.ID, "attempt": send.Attempt, "upstream": send.Members[0].Upstream, "class": string(outcome.class),
		"culprit": outcome.failedAddress, "status": outcome.status, "error": errorText(outcome.err),
		"after_ms": (x.clock.Now() - a.startedAt).Milliseconds(), "pieces": x.eventsSent,
	}
	if outcome.connectionBroken {
		fields["content"] = x.contentName()
	}
	if outcome.restTime > 0 {
		fields["rest_ms"] = outcome.restTime.Milliseconds()
	}
	logevent.RoutedAttemptFailed.Emit(x.logger, fields)
	x.metrics.Count("gateway_attempts_failed_total", 1, "class", string(outcome.class))
	x.control.post(balance.AttemptFailed{
		RequestNumber: x.requestNumber, Attempt: send.Attempt, Class: outcome.class, FailedAddress: outcome.failedAddress, PartlyDelivered: x.responseStarted,
		ConnectionBroken: outcome.connectionBroken, AnswerBegun: outcome.answerBegun, RefusedCode: outcome.refusedCode, RetryAfter: outcome.retryAfter,
		Final: outcome.finalCode != "", FinalCode: outcome.finalCode,
	})
	return false
}

// errorText returns the text of an error, which is empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// handleCallerLeft ends a request whose caller has closed the connection. The panic makes the
// HTTP server close the connection: without an answer it would write an empty success, which
// a caller that has closed only its own side reads.
func (x *exchange) handleCallerLeft(err error) {
	x.control.post(balance.CallerGone{RequestNumber: x.requestNumber})
	logevent.CallerLeft.Emit(x.logger, log.Fields{
		"request": x.inbound.request.ID, "error": errorText(err), "upstream": x.upstream, "pieces": x.eventsSent,
		"route": x.inbound.route.Name, "prompt": x.inbound.request.PromptTokens,
		"after_ms": (x.clock.Now() - x.inbound.arrivedAt).Milliseconds(),
	})
	x.metrics.Count("gateway_callers_left_total", 1)
	x.countEnded("left")
	panic(http.ErrAbortHandler)
}

// refuseOrAbort refuses a request that was not run. If an answer has begun in
// an earlier attempt, the answer is broken off instead.
func (x *exchange) refuseOrAbort(e balance.Refuse) {
	if x.responseStarted {
		x.failRequest(e.Code, false)
		return
	}
	if e.Returned {
		x.metrics.Count("gateway_returned_total", 1, "outcome", "refused")
	}
	x.refuse(x.w, x.inbound, refusal{
		status: http.StatusServiceUnavailable, code: string(e.Code), retryAfter: e.RetryAfter, quarantinedPart: e.QuarantinedPart,
		shortage: e.Shortage, harm: e.Harm, harmLimit: e.HarmLimit, excluded: e.Excluded, returned: e.Returned,
	})
}

// failRequest ends a request that may have run. It forwards the upstream's own
// error response, sends a gateway error, or breaks off an answer that has
// begun.
func (x *exchange) failRequest(code balance.ErrorCode, forwardUpstreamError bool) {
	logevent.RoutedFailed.Emit(x.logger, log.Fields{
		"request": x.inbound.request.ID, "route": x.inbound.route.Name, "code": string(code), "upstream": x.upstream, "pieces": x.eventsSent,
		"own_answer": forwardUpstreamError, "configuration": x.inbound.configuration.Version, "prompt": x.inbound.request.PromptTokens,
		"after_ms": (x.clock.Now() - x.inbound.arrivedAt).Milliseconds(),
	})
	x.metrics.Count("gateway_failed_total", 1, "code", string(code))
	x.countEnded("failed")
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	if failure := x.lastFailure.Load(); forwardUpstreamError && failure != nil {
		if err := failure.writeTo(x); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	x.writeFailure(code)
}

// writeFailure sends a gateway error.
func (x *exchange) writeFailure(code balance.ErrorCode) {
	status := http.StatusBadGateway
	if code == balance.CodeTimeLimit {
		status = http.StatusGatewayTimeout
	}
	platform.SetLocalResponseHeader(x.w.Header(), x.inbound.request.ID, 0)
	if x.inbound.forwarded {
		x.w.Header().Set(headerFailed, string(code))
	}
	x.w.WriteHeader(status)
}

// logSent logs and counts the sending of an attempt, with the inputs of the
// core's choice.
func (x *exchange) logSent(send balance.Send) {
	x.upstream = send.Members[0].Upstream
	if send.ToHost {
		logevent.RoutedForwarded.Emit(x.logger, log.Fields{
			"request": x.inbound.request.ID, "route": x.inbound.route.Name, "attempt": send.Attempt, "host": x.upstream,
			"prior_runs": send.PriorRuns, "held_ms": (x.clock.Now() - x.inbound.arrivedAt).Milliseconds(),
		})
		x.metrics.Count("gateway_forwarded_total", 1, "direction", "out")
		return
	}
	logevent.RoutedSent.Emit(x.logger, log.Fields{
		"request": x.inbound.request.ID, "route": x.inbound.route.Name, "attempt": send.Attempt, "upstream": x.upstream,
		"parts": strings.Join(x.inbound.request.SharedParts, ","), "helpers": helperNames(send), "reserved": send.Members[0].ReservedTokens, "prompt": x.inbound.request.PromptTokens,
		"configuration": x.inbound.configuration.Version, "configuration_age_ms": (x.clock.Now() - x.inbound.configuration.activeSince).Milliseconds(),
		"predicted_ms": send.Choice.PredictedFirstPiece.Milliseconds(), "backlog_ms": send.Choice.Backlog.Milliseconds(),
		"requests_there": send.Choice.RequestsKnown, "from_peers": send.Choice.RequestsFromPeers, "oldest_peer_ms": send.Choice.OldestReportAge.Milliseconds(),
		"failure_share": send.Choice.FailureShare, "cost": send.Choice.Cost, "chosen_by": send.Choice.Coordinator, "returned": send.Returned,
		"held_ms": (x.clock.Now() - x.inbound.arrivedAt).Milliseconds(),
	})
	x.metrics.Count("gateway_sent_total", 1)
	x.returned = send.Returned
	if send.Attempt > 1 {
		x.metrics.Count("gateway_repeated_total", 1)
	}
	x.metrics.Observe("gateway_queue_seconds", x.clock.Now()-x.inbound.arrivedAt)
}

// helperNames returns the ids of the servers that help with an attempt, for logs.
func helperNames(send balance.Send) string {
	names := make([]string, 0, len(send.Members))
	for _, m := range send.Members[1:] {
		names = append(names, m.Upstream)
	}
	return strings.Join(names, ",")
}

// logDelivered logs and counts an answer that was delivered whole.
func (x *exchange) logDelivered(send balance.Send) {
	total := x.clock.Now() - x.inbound.arrivedAt
	logevent.RoutedDelivered.Emit(x.logger, log.Fields{
		"request": x.inbound.request.ID, "attempt": send.Attempt, "upstream": x.upstream,
		"route": x.inbound.route.Name, "prompt": x.inbound.request.PromptTokens,
		"first_ms": x.firstByteTime.Milliseconds(), "whole_ms": total.Milliseconds(), "pieces": x.eventsSent,
		"predicted_ms": send.Choice.PredictedFirstPiece.Milliseconds(), "target_ms": x.inbound.route.TargetLatency.Milliseconds(),
		"longest_pause_ms": x.longestGap.Milliseconds(), "pause_target_ms": x.inbound.route.TargetPieceGap.Milliseconds(),
	})
	x.metrics.Count("gateway_delivered_total", 1)
	x.countEnded("delivered")
	x.metrics.Observe("gateway_first_piece_seconds", x.firstByteTime, "class", promptLengthClass(x.inbound.request.PromptTokens))
	x.metrics.Observe("gateway_answer_seconds", total, "class", promptLengthClass(x.inbound.request.PromptTokens))
}

// countEnded counts the end of a request by the length of its prompt, so that the share
// that is served can be compared between lengths.
func (x *exchange) countEnded(outcome string) {
	x.metrics.Count("gateway_ended_total", 1, "class", promptLengthClass(x.inbound.request.PromptTokens), "outcome", outcome)
	if x.returned {
		x.metrics.Count("gateway_returned_total", 1, "outcome", outcome)
	}
}

// promptLengthClass returns the class of a prompt's length for metrics; "call"
// stands for a request without a prompt.
func promptLengthClass(tokens int) string {
	const k = 1000
	switch {
	case tokens == 0:
		return "call"
	case tokens < 4*k:
		return "1k-4k"
	case tokens < 32*k:
		return "4k-32k"
	case tokens < 100*k:
		return "32k-100k"
	case tokens < 200*k:
		return "100k-200k"
	case tokens < 350*k:
		return "200k-350k"
	default:
		return "350k-1M"
	}
}
