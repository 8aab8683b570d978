package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform"
)

// bufferFailure keeps the upstream's error response, which becomes the answer
// if no attempt succeeds. One that reaches maxBufferedBytes, or finds no memory, is
// dropped, since a part of it would look complete.
func (a *attempt) bufferFailure(response *http.Response, head platform.UpstreamResponse) outcome {
	a.failureMemory.release()
	var gaveWay atomic.Bool
	a.failureMemory = &heldMemory{open: a.openAnswer, giveWay: func() {
		gaveWay.Store(true)
		a.lastFailure.Store(nil)
	}}
	body, err := readBuffered(response.Body, maxBufferedBytes, a.failureMemory)
	if err != nil {
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: err}
	}
	if !body.whole {
		a.failureMemory.release()
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errFailureTooLarge}
	}
	a.lastFailure.Store(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
	if gaveWay.Load() {
		a.lastFailure.Store(nil)
	}
	return outcome{class: balance.FailureUpstreamError, status: head.Status, failedAddress: head.FaultyHelper}
}

// forwardBuffered reads an answer to its end before the caller gets any of it,
// so that the request can be repeated if the answer breaks off. An answer that
// reaches maxBufferedBytes, or finds no memory, is forwarded while the rest of it is read.
func (a *attempt) forwardBuffered(response *http.Response) outcome {
	body, err := readBuffered(response.Body, maxBufferedBytes, a.memory)
	if err != nil {
		return a.classifyInterrupted(err)
	}
	a.control.post(balance.FirstPiece{RequestNumber: a.requestNumber, Attempt: a.send.Attempt})
	a.firstByteTime = a.clock.Now() - a.inbound.arrivedAt
	if !body.whole {
		// The answer can't come from another server any more, however long this one pauses.
		a.stopWatchdog()
	}
	a.startResponse(response)
	for i, piece := range body.pieces {
		if err := a.flow.Load().write(piece, false); err != nil {
			return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
		}
		body.pieces[i] = nil
	}
	a.memory.release()
	if body.whole {
		return outcome{status: response.StatusCode}
	}
	return a.forwardRest(response)
}

// forwardRest forwards the rest of an answer while it is read.
func (a *attempt) forwardRest(response *http.Response) outcome {
	piece := make([]byte, bufferPieceBytes)
	for {
		n, err := response.Body.Read(piece)
		if n > 0 {
			if err := a.flow.Load().write(piece[:n], false); err != nil {
				return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return outcome{status: response.StatusCode}
		case err != nil:
			return a.classifyInterrupted(err)
		}
	}
}

// bufferedResponse is a response of an upstream that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   bufferedBody
}

// writeTo sends the response to the caller of an exchange.
func (b *bufferedResponse) writeTo(x *exchange) error {
	platform.CopyResponseHeader(x.w.Header(), b.header)
	x.w.WriteHeader(b.status)
	x.responseStarted = true
	// The response is in memory, so nothing is read while the caller is slow.
	flow := newAnswerFlow(http.NoBody, x.w, x.limits, &heldMemory{})
	defer flow.end()
	for _, piece := range b.body.pieces {
		if err := flow.write(piece, false); err != nil {
			return err
		}
	}
	return nil
}
