package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// maxBufferedBytes limits the size of an answer that is read whole before
	// it is forwarded; a larger one is forwarded while it is read.
	maxBufferedBytes = 256 << 10
)

// Reasons for which this host ends an attempt or does not accept its response.
var (
	errNotConnected    = errors.New("no connection in time")
	errNoData          = errors.New("no data in time")
	errOtherRequest    = errors.New("answer to another request")
	errUnsigned        = errors.New("success without the server's signature")
	errUnprovenRefusal = errors.New("refusal without proof that the request was not run")
	errNotResumed      = errors.New("answer does not go on with the stream")
	errFailureTooLarge = errors.New("error response of a server is too large")
)

// attempt is one try to have an upstream answer a request.
type attempt struct {
	*exchange
	send      balance.Send
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Duration
	// watchdog cancels the attempt with errNoData when the upstream sends
	// nothing in time.
	watchdog *watchdog
	// flow carries the answer to the caller; nil before it has begun. memory is charged with
	// what is held of it besides.
	flow   atomic.Pointer[answerFlow]
	memory *heldMemory
	// yielding is charged with the request while it gives way to others; see yield.
	yielding *memory.Holding
	// ignoreHostStop lets the attempt go on when the last answers are due before the
	// process ends; nil if it does anyway.
	ignoreHostStop func() bool
}

// outcome describes how an attempt ended. The class is empty if the answer was
// delivered; failedAddress is the address of the helper that was at fault,
// empty if none was named.
type outcome struct {
	class      balance.FailureClass
	callerGone bool
	// abandoned is why this host gives the answer up, though neither its server nor its
	// caller has; empty if it does not.
	abandoned     abandonReason
	failedAddress string
	// connectionBroken is true if the upstream closed or reset the connection before
	// its answer was complete.
	connectionBroken bool
	// answerBegun is true once the upstream has sent the header of its answer.
	answerBegun bool
	// refusedCode and retryAfter are what another host told that refused the request,
	// finalCode the reason for which it gave up on a request that may have run.
	refusedCode, finalCode balance.ErrorCode
	retryAfter             time.Duration
	// restTime is how long the upstream wants no more requests, with a refusal.
	restTime time.Duration
	status   int
	err      error
}

// run sends the request to the upstream and forwards its answer to the caller.
func (a *attempt) run() outcome {
	a.startedAt = a.clock.Now()
	deadlineTimer := time.AfterFunc(a.send.Deadline-a.startedAt, func() { a.cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	if !a.responseStarted {
		// An answer that has begun may still end while the process does.
		a.ignoreHostStop = context.AfterFunc(a.drain.requestsEnded, func() { a.cancel(errHostStopping) })
		defer a.ignoreHostStop()
	}
	connectTimer := time.AfterFunc(a.send.ConnectTimeout, func() { a.cancel(errNotConnected) })
	defer connectTimer.Stop()
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connectTimer.Stop() },
	})
	a.restartWatchdog(a.send.FirstPieceTimeout)
	defer a.stopWatchdog()
	build, handle := a.buildCall, a.handleResponse
	if a.send.ToHost {
		build, handle = a.buildForward, a.handleForwardResponse
	}
	response, err := a.httpClient.Do(ctx, build())
	if err != nil {
		return a.classifyFailedCall(err)
	}
	defer response.Body.Close()
	a.beginFlow(response)
	defer a.memory.release()
	defer a.flow.Load().end()
	result := handle(response)
	result.answerBegun = true
	return a.judge(response, result)
}

// buildCall returns the request to the upstream. The first member of the
// attempt gets the request, and the other members are named in it as helpers.
// The first member is named as well if it holds a memory reservation.
func (a *attempt) buildCall() httpcall.Call {
	upstreamRequest := platform.UpstreamRequest{
		UpstreamID: a.send.Members[0].Upstream, Organisation: a.inbound.organisation,
		TimeLeft: a.send.Deadline - a.startedAt, Priority: a.send.Urgency, LastEventID: a.lastEventID,
	}
	for _, m := range a.send.Members[1:] {
		upstreamRequest.Helpers = append(upstreamRequest.Helpers, platform.Helper{Address: m.Address, ReservationID: m.ReservationID})
	}
	if leader := a.send.Members[0]; leader.ReservationID != "" {
		upstreamRequest.Helpers = append([]platform.Helper{{Address: leader.Address, ReservationID: leader.ReservationID}}, upstreamRequest.Helpers...)
	}
	return a.withBody(httpcall.Call{
		Method: a.r.Method, Address: a.send.Members[0].Address, Host: a.r.Host, Path: a.r.RequestURI,
		Header: upstreamRequest.Header(a.r.Header), NewConnection: true,
	})
}

// withBody returns a call with the body of the caller's request.
func (a *attempt) withBody(call httpcall.Call) httpcall.Call {
	if a.inbound.body.size > 0 || a.r.ContentLength != 0 {
		call.Body = a.inbound.body.reader()
		call.BodyLength = a.inbound.body.size
	}
	return call
}

// restartWatchdog gives the upstream a new time limit for the next data that it
// sends; 0 means no limit.
func (a *attempt) restartWatchdog(timeout time.Duration) {
	a.stopWatchdog()
	if timeout > 0 {
		a.watchdog = startWatchdog(timeout, a.endIfSilent)
	}
}

// stopWatchdog removes the time limit.
func (a *attempt) stopWatchdog() {
	if a.watchdog != nil {
		a.watchdog.stop()
	}
}

// endIfSilent ends an attempt whose time limit is over if another upstream can take the
// request. It reports whether it did.
func (a *attempt) endIfSilent() bool {
	if flow := a.flow.Load(); flow != nil && flow.isWriting() {
		// The caller keeps this host from reading what the upstream sends.
		return false
	}
	if !a.control.hasAlternative(a.ctx, a.requestNumber, a.send.Attempt) {
		return false
	}
	a.cancel(errNoData)
	return true
}

// classifyFailedCall classifies an attempt that failed before the header of an
// answer arrived.
func (a *attempt) classifyFailedCall(err error) outcome {
	if a.r.Context().Err() != nil {
		return outcome{class: balance.FailureAnswerLost, callerGone: true, err: errCallerGone}
	}
	if errors.Is(err, httpcall.ErrNotSent) {
		return outcome{class: balance.FailureNotConnected, err: err}
	}
	return a.classifyInterrupted(err)
}

// classifyInterrupted classifies an attempt whose answer broke off, or never
// began although the request was sent.
func (a *attempt) classifyInterrupted(err error) outcome {
	if a.r.Context().Err() != nil {
		return outcome{class: balance.FailureAnswerLost, callerGone: true, err: errCallerGone}
	}
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errNoMemory) {
		return outcome{abandoned: abandonedForMemory, err: err}
	}
	if errors.Is(err, errNoData) {
		return outcome{class: balance.FailureNoResponse, err: err}
	}
	return outcome{class: balance.FailureAnswerLost, connectionBroken: isConnectionBroken(err), err: err}
}

// isConnectionBroken reports whether an error means that the other end closed or
// reset the connection.
func isConnectionBroken(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// handleResponse checks the header of a response and forwards the response if
// it is an answer to the request.
func (a *attempt) handleResponse(response *http.Response) outcome {
	removeHostHeaders(response.Header)
	head := platform.DecodeUpstreamResponse(response, a.inbound.request.ID)
	if head.MatchesRequest && !head.ServerReplaced {
		a.reportLimit(head)
		a.notices.read(response, a.requestNumber, a.send.Attempt, a.send.Members[0].Upstream)
	}
	switch {
	case !head.MatchesRequest:
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errOtherRequest}
	case head.ServerReplaced:
		return outcome{class: balance.FailureServerReplaced, status: head.Status}
	case head.NotExecuted:
		return outcome{class: balance.FailureNoCapacity, status: head.Status, failedAddress: head.FaultyHelper, restTime: restTime(response)}
	case a.isUnprovenRefusal(head):
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errUnprovenRefusal}
	case head.Status >= http.StatusInternalServerError:
		return a.bufferFailure(response, head)
	default:
		return a.forwardAnswer(response, head)
	}
}

// isUnprovenRefusal reports whether the caller would take a response for the promise that
// its request was not run, which its server does not give. The caller of a request that may
// run only once would send it again.
func (a *attempt) isUnprovenRefusal(head platform.UpstreamResponse) bool {
	return !head.NotExecuted && platform.PromisesNotRun(head.Status) && !a.inbound.route.Repeatable()
}

// restTime returns the rest that a server asks for in a refusal, for logs.
func restTime(response *http.Response) time.Duration {
	rest, _ := platform.DecodeRestTime(response) // noticeReader logs the error
	return rest
}

// forwardAnswer forwards a response to the caller if it is an answer to the request.
func (a *attempt) forwardAnswer(response *http.Response, head platform.UpstreamResponse) outcome {
	switch {
	case !head.MatchesRequest:
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errOtherRequest}
	case head.Status < http.StatusMultipleChoices && !platform.HasServerSignature(response.Header):
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errUnsigned}
	case a.responseStarted && head.Status != a.responseStatus:
		// The caller has a part of a stream, and would take any other answer for the rest.
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errNotResumed}
	case a.inbound.route.Kind == route.Stream && head.Status < http.StatusMultipleChoices:
		return a.forwardStream(response)
	default:
		return a.forwardBuffered(response)
	}
}

// reportLimit posts the limit that the upstream names, or that it names none any
// more.
func (a *attempt) reportLimit(head platform.UpstreamResponse) {
	if head.InvalidRequestLimit {
		a.metrics.Count("gateway_invalid_upstream_headers_total", 1, "header", "request_limit")
		return
	}
	if head.RequestLimit > 0 || a.send.LeaderLimited {
		a.control.post(balance.LimitObserved{Upstream: a.send.Members[0].Upstream, PerSecond: head.RequestLimit})
	}
}
