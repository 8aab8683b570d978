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

// These are the finish reasons of a Piece.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
	FinishError     = "error"
)

// These are the parts of the event-stream format, the size of the read buffer,
// and the length from which a line that is not complete is an error.
const (
	eventPrefix       = "event:"
	dataPrefix        = "data:"
	doneMarker        = "[DONE]"
	streamBufferBytes = 4 << 10
	maxEventBytes     = 1 << 20
)

// DoneEvent is the event that ends the stream of an answer.
const DoneEvent = "data: [DONE]\n\n"

// eventStream is a Stream that reads server-sent events.
type eventStream struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	reader   *bufio.Reader
	lastWork WorkID // work of the newest piece
	finished bool
	closed   atomic.Bool
}

func newEventStream(body io.ReadCloser, cancel context.CancelFunc) *eventStream {
	return &eventStream{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, streamBufferBytes)}
}

// Close makes a waiting Next return and frees the connection.
func (s *eventStream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.cancel()
	return s.body.Close()
}

// Next implements Stream. It returns ErrOutcomeUnknown if the stream ends before
// its last piece.
func (s *eventStream) Next() (Piece, error) {
	if s.finished {
		return Piece{}, io.EOF
	}
	isError := false
	for {
		line, err := s.readLine()
		if err != nil {
			return Piece{}, clientError{kinds: []error{ErrOutcomeUnknown}, operation: "read stream", cause: err}
		}
		switch {
		case bytes.HasPrefix(line, []byte(eventPrefix)):
			isError = string(bytes.TrimSpace(line[len(eventPrefix):])) == FinishError
		case bytes.HasPrefix(line, []byte(dataPrefix)):
			return s.parseData(bytes.TrimSpace(line[len(dataPrefix):]), isError)
		}
	}
}

// parseData parses the data of one event, which is a piece, an error document or
// the marker at the end.
func (s *eventStream) parseData(data []byte, isError bool) (Piece, error) {
	if isError {
		return Piece{}, streamError(data)
	}
	if string(data) == doneMarker {
		return Piece{}, clientError{kinds: []error{ErrOutcomeUnknown}, operation: "read stream", cause: errors.New("stream ended before its last piece")}
	}
	p, err := parsePiece(data, s.lastWork)
	if err != nil {
		return Piece{}, clientError{kinds: []error{ErrOutcomeUnknown}, operation: "read stream", cause: err}
	}
	s.lastWork = p.Work
	if p.Finish != "" {
		s.finished = true
		s.discardRemainder()
	}
	return p, nil
}

// drainTimeout bounds the wait for the data after the last piece.
const drainTimeout = 20 * time.Millisecond

// discardRemainder reads the data after the last piece, most of which usually
// arrived with it, so that the connection can be reused.
func (s *eventStream) discardRemainder() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, s.reader)
}

// streamError converts the error document of an error event.
func streamError(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return clientError{kinds: []error{ErrOutcomeUnknown}, operation: "read stream", cause: err}
	}
	return clientError{kinds: errorsOfCode(body.Error.Code), operation: "read stream", cause: errors.New(body.Error.Message)}
}

// readLine returns the next line, which is valid until the next call. It returns
// an error if maxEventBytes were read and the line has not ended.
func (s *eventStream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxEventBytes {
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}
