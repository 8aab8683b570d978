package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// maxKept bounds an answer that is read whole before it is passed on;
	// larger ones are passed on as they come.
	maxKept = 256 << 10
	// writeTimeout ends the wait for a caller that reads nothing.
	writeTimeout = 10 * time.Second
)

var (
	errNotConnected = errors.New("no connection in time")
	errSilent       = errors.New("nothing came in time")
	errForeign      = errors.New("answer to another request")
	errUnsigned     = errors.New("success without the server's signature")
)

// attempt is one sending of a request to an upstream.
type attempt struct {
	*exchange
	send    balance.Send
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Duration
	// watchdog cancels the attempt with why when nothing happens in time.
	watchdog *time.Timer
}

// outcome says how an attempt ended; class is empty for a delivered answer.
type outcome struct {
	class      balance.FailureClass
	callerGone bool
	culprit    string
	status     int
	err        error
}

// run sends the request and passes the answer on.
func (a *attempt) run() outcome {
	a.started = a.clock.Now()
	limit := time.AfterFunc(a.send.Deadline-a.started, func() { a.cancel(context.DeadlineExceeded) })
	defer limit.Stop()
	connected := time.AfterFunc(a.send.ConnectTimeout, func() { a.cancel(errNotConnected) })
	defer connected.Stop()
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Stop() },
	})
	a.watch(a.send.FirstPieceTimeout)
	defer a.stopWatch()
	response, err := a.calls.Do(ctx, a.call())
	if err != nil {
		return a.unanswered(err)
	}
	defer response.Body.Close()
	return a.answered(response)
}

func (a *attempt) call() httpcall.Call {
	send := platform.UpstreamRequest{
		UpstreamID: a.send.Members[0].Upstream, Organisation: a.in.organisation,
		TimeLeft: a.send.Deadline - a.started, Priority: a.send.Urgency, LastEventID: a.lastEvent,
	}
	for _, m := range a.send.Members[1:] {
		send.Helpers = append(send.Helpers, platform.Helper{Address: m.Address, ReservationID: m.Ticket})
	}
	if own := a.send.Members[0]; own.Ticket != "" {
		send.Helpers = append([]platform.Helper{{Address: own.Address, ReservationID: own.Ticket}}, send.Helpers...)
	}
	call := httpcall.Call{
		Method: a.r.Method, Address: a.send.Members[0].Address, Host: a.r.Host, Path: a.r.RequestURI,
		Header: send.Header(a.r.Header), NewConnection: true,
	}
	if len(a.in.body) > 0 || a.r.ContentLength != 0 {
		call.Body = bytes.NewReader(a.in.body)
		call.BodyLength = int64(len(a.in.body))
	}
	return call
}

// watch restarts the watchdog; 0 is no bound.
func (a *attempt) watch(within time.Duration) {
	a.stopWatch()
	if within > 0 {
		a.watchdog = time.AfterFunc(within, func() { a.cancel(errSilent) })
	}
}

func (a *attempt) stopWatch() {
	if a.watchdog != nil {
		a.watchdog.Stop()
	}
}

// unanswered classifies an attempt without an answer's head.
func (a *attempt) unanswered(err error) outcome {
	if a.r.Context().Err() != nil {
		return outcome{class: balance.FailureAnswerLost, callerGone: true, err: errCallerGone}
	}
	if errors.Is(err, httpcall.ErrNotSent) {
		return outcome{class: balance.FailureNotConnected, err: err}
	}
	return a.broken(err)
}

// broken classifies an answer that broke off, or never began though the
// request was sent.
func (a *attempt) broken(err error) outcome {
	if a.r.Context().Err() != nil {
		return outcome{class: balance.FailureAnswerLost, callerGone: true, err: errCallerGone}
	}
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errSilent) {
		return outcome{class: balance.FailureNoResponse, err: err}
	}
	return outcome{class: balance.FailureAnswerLost, err: err}
}

// answered judges the head of an answer and passes it on where it is one.
func (a *attempt) answered(response *http.Response) outcome {
	head := platform.DecodeUpstreamResponse(response, a.in.ask.ID)
	switch {
	case !head.MatchesRequest:
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errForeign}
	case head.ServerReplaced:
		return outcome{class: balance.FailureServerReplaced, status: head.Status}
	case head.NotExecuted:
		return outcome{class: balance.FailureNoCapacity, status: head.Status, culprit: head.FaultyHelper}
	case head.Status < http.StatusMultipleChoices && !platform.HasServerSignature(response.Header):
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errUnsigned}
	case head.Status >= http.StatusInternalServerError:
		return a.failed(response, head)
	case a.in.route.Kind == route.Stream && head.Status < http.StatusMultipleChoices:
		return a.stream(response)
	default:
		return a.whole(response)
	}
}

// failed keeps an upstream's failure, in case it becomes the answer.
func (a *attempt) failed(response *http.Response, head platform.UpstreamResponse) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKept))
	if err != nil {
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: err}
	}
	a.failure = &kept{status: response.StatusCode, header: response.Header, body: body}
	return outcome{class: balance.FailureUpstreamError, status: head.Status, culprit: head.FaultyHelper}
}

// whole reads an answer to its end before the caller gets any of it, so that
// one that breaks off can be repeated. Longer ones go out as they come.
func (a *attempt) whole(response *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKept))
	if err != nil {
		return a.broken(err)
	}
	a.control.post(balance.FirstPiece{RequestNumber: a.number, Attempt: a.send.Attempt})
	a.first = a.clock.Now() - a.in.arrived
	if len(body) < maxKept {
		answer := &kept{status: response.StatusCode, header: response.Header, body: body}
		if err := answer.write(a.exchange); err != nil {
			return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
		}
		return outcome{}
	}
	platform.CopyResponseHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
	a.begun = true
	if _, err := a.w.Write(body); err != nil {
		return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
	}
	if _, err := io.Copy(a.w, response.Body); err != nil {
		return a.broken(err)
	}
	return outcome{}
}

// kept is an upstream's answer that was read whole.
type kept struct {
	status int
	header http.Header
	body   []byte
}

func (k *kept) write(x *exchange) error {
	platform.CopyResponseHeader(x.w.Header(), k.header)
	x.w.WriteHeader(k.status)
	_, err := x.w.Write(k.body)
	return err
}
