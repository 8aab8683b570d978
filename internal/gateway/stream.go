package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event of a stream is too large")

// noID is the id of an event without one.
const noID = -1

// streamEvent is one event of a stream as it came, with its closing blank line.
type streamEvent struct {
	id  int64
	raw []byte
}

// readEvent reads one event. It returns io.EOF when the stream ends between
// events, and io.ErrUnexpectedEOF when it ends within one.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	e := streamEvent{id: noID}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return e, errors.Wrap(err, "read an event's id")
			}
			e.id = id
		}
	}
}

// stream passes the events of an answer on as they come. Events that the
// caller has from an earlier attempt are left out, and a part of an event is
// never passed on.
func (a *attempt) stream(response *http.Response) outcome {
	events := bufio.NewReader(response.Body)
	for {
		e, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return a.streamEnded(response)
		}
		if err != nil {
			return a.broken(err)
		}
		a.watch(a.send.PieceTimeout)
		if e.id != noID && e.id <= a.lastEvent {
			continue
		}
		if err := a.pass(response, e); err != nil {
			return outcome{class: balance.FailureAnswerLost, callerGone: true, err: err}
		}
	}
}

// streamEnded ends a stream whose last event was passed on.
func (a *attempt) streamEnded(response *http.Response) outcome {
	if !a.begun {
		a.begin(response)
	}
	return outcome{}
}

// begin gives the caller the head of the answer.
func (a *attempt) begin(response *http.Response) {
	platform.CopyResponseHeader(a.w.Header(), response.Header)
	a.w.Header().Del("Content-Length")
	a.w.WriteHeader(response.StatusCode)
	a.begun = true
	a.first = a.clock.Now() - a.in.arrived
}

// pass gives the caller one event.
func (a *attempt) pass(response *http.Response, e streamEvent) error {
	if a.pieces == 0 || !a.begun {
		a.control.post(balance.FirstPiece{RequestNumber: a.number, Attempt: a.send.Attempt})
	}
	if !a.begun {
		a.begin(response)
	}
	control := http.NewResponseController(a.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set the time limit of a write")
	}
	if _, err := a.w.Write(e.raw); err != nil {
		return errors.Wrap(err, "pass an event on")
	}
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "flush an event")
	}
	if e.id != noID {
		a.lastEvent = e.id
	}
	now := a.clock.Now()
	if a.pieces > 0 {
		a.pause = max(a.pause, now-a.lastPiece)
	}
	a.lastPiece = now
	a.pieces++
	return nil
}
