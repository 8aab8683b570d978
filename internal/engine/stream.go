package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Finish reasons of a Piece.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
	FinishError     = "error"
)

const (
	eventPrefix   = "event:"
	dataPrefix    = "data:"
	doneMark      = "[DONE]"
	streamBuffer  = 4 << 10
	maxEventBytes = 1 << 20
)

// DoneEvent ends the event stream of an answer.
const DoneEvent = "data: [DONE]\n\n"

// eventStream reads server-sent events.
type eventStream struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	lines    *bufio.Reader
	last     WorkID // of the newest piece
	finished bool
	closed   atomic.Bool
}

func newEventStream(body io.ReadCloser, cancel context.CancelFunc) *eventStream {
	return &eventStream{body: body, cancel: cancel, lines: bufio.NewReaderSize(body, streamBuffer)}
}

// Close ends a waiting Next and frees the connection.
func (s *eventStream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.cancel()
	return s.body.Close()
}

// Next implements Stream. A stream that ends without its last piece returns
// ErrUnknown.
func (s *eventStream) Next() (Piece, error) {
	if s.finished {
		return Piece{}, io.EOF
	}
	isError := false
	for {
		line, err := s.line()
		if err != nil {
			return Piece{}, fault{kinds: []error{ErrOutcomeUnknown}, text: "read stream", cause: err}
		}
		switch {
		case bytes.HasPrefix(line, []byte(eventPrefix)):
			isError = string(bytes.TrimSpace(line[len(eventPrefix):])) == FinishError
		case bytes.HasPrefix(line, []byte(dataPrefix)):
			return s.data(bytes.TrimSpace(line[len(dataPrefix):]), isError)
		}
	}
}

func (s *eventStream) data(data []byte, isError bool) (Piece, error) {
	if isError {
		return Piece{}, streamFault(data)
	}
	if string(data) == doneMark {
		return Piece{}, fault{kinds: []error{ErrOutcomeUnknown}, text: "read stream", cause: errors.New("stream ended before its last piece")}
	}
	p, err := parsePiece(data, s.last)
	if err != nil {
		return Piece{}, fault{kinds: []error{ErrOutcomeUnknown}, text: "read stream", cause: err}
	}
	s.last = p.Work
	if p.Finish != "" {
		s.finished = true
		s.drain()
	}
	return p, nil
}

// drainTimeout bounds the wait for what follows the last piece.
const drainTimeout = 20 * time.Millisecond

// drain reads what follows the last piece, which mostly came with it, so that
// the connection can be used again.
func (s *eventStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, s.lines)
}

func streamFault(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fault{kinds: []error{ErrOutcomeUnknown}, text: "read stream", cause: err}
	}
	return fault{kinds: kindsOf(body.Error.Code), text: "read stream", cause: errors.New(body.Error.Message)}
}

// line returns the next line, valid until the next call.
func (s *eventStream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxEventBytes {
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}
