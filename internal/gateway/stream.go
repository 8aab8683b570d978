package gateway

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform"
)

var errNoEvents = errors.New("connection closed before the first event of a stream")

// forwardStream forwards the events of an answer as they arrive. It leaves out
// the events that the caller has got from an earlier attempt, and never
// forwards a part of an event.
func (a *attempt) forwardStream(response *http.Response) outcome {
	events := newEventReader(response.Body)
	events.grow = a.memory.grow
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return a.finishStream(response, events.lastID != noEventID)
		}
		if err != nil {
			return a.classifyInterrupted(err)
		}
		if e.id != noEventID {
			// A server that has stalled may go on sending comments.
			a.restartWatchdog(a.send.PieceTimeout)
		}
		if e.id != noEventID && e.id <= a.lastEventID {
			continue
		}
		if err := a.forwardEvent(response, e); err != nil {
			return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
		}
		if a.flow.Load().lastWriteBlocked() {
			a.restartWatchdog(a.send.PieceTimeout)
		}
	}
}

// finishStream completes a stream after its last event. If the caller has got
// no event, it now gets the header. An answer without events that ends with its
// connection was broken off: its end can't be told from that of its server. Only a
// caller that resumes a stream itself may have had the last event already.
func (a *attempt) finishStream(response *http.Response, hasEvents bool) outcome {
	resumedByCaller := a.inbound.request.LastEventID != noEventID && !a.responseStarted
	if !hasEvents && isUnframed(response) && !resumedByCaller {
		return outcome{class: balance.FailureAnswerLost, status: response.StatusCode, connectionBroken: true, err: errNoEvents}
	}
	if !a.responseStarted {
		a.startStream(response)
	}
	return outcome{status: response.StatusCode}
}

// isUnframed reports whether a response has neither a length nor chunks, so that the
// close of its connection is its only end.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// startStream sends the header of a stream to the caller.
func (a *attempt) startStream(response *http.Response) {
	response.Header.Del("Content-Length")
	a.startResponse(response)
	a.firstByteTime = a.clock.Now() - a.inbound.arrivedAt
}

// startResponse sends the header of the answer to the caller.
func (a *attempt) startResponse(response *http.Response) {
	if a.ignoreHostStop != nil {
		a.ignoreHostStop()
	}
	platform.CopyResponseHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
	a.responseStarted, a.responseStatus = true, response.StatusCode
}

// forwardEvent sends one event to the caller.
func (a *attempt) forwardEvent(response *http.Response, e streamEvent) error {
	if a.eventsSent == 0 || !a.responseStarted {
		a.control.post(balance.FirstPiece{RequestNumber: a.requestNumber, Attempt: a.send.Attempt})
	}
	if !a.responseStarted {
		a.startStream(response)
	}
	if err := a.flow.Load().write(e.raw, true); err != nil {
		return errors.Wrap(err, "write an event to the caller")
	}
	if e.id != noEventID {
		a.lastEventID = e.id
	}
	now := a.clock.Now()
	if a.eventsSent > 0 {
		a.longestGap = max(a.longestGap, now-a.lastEventAt)
	}
	a.lastEventAt = now
	a.eventsSent++
	return nil
}
