package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// chunk is the document of one event of a stream.
type chunk struct {
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

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

// AppendPiece appends a piece as a server-sent event. The text must need no
// escapes in JSON.
func AppendPiece(dst []byte, p Piece) []byte {
	dst = append(dst, `data: {"id":`...)
	dst = strconv.AppendQuote(dst, p.Work.Request)
	dst = append(dst, `,"object":"chat.completion.chunk","attempt":`...)
	dst = strconv.AppendUint(dst, uint64(p.Work.Attempt), 10)
	dst = append(dst, `,"offset":`...)
	dst = strconv.AppendInt(dst, int64(p.Offset), 10)
	dst = append(dst, `,"tokens":`...)
	dst = strconv.AppendInt(dst, int64(p.Tokens), 10)
	dst = append(dst, `,"choices":[{"index":0,"delta":{"content":"`...)
	dst = append(dst, p.Text...)
	dst = append(dst, `"},"finish_reason":`...)
	if p.Finish == "" {
		dst = append(dst, `null`...)
	} else {
		dst = strconv.AppendQuote(dst, p.Finish)
	}
	return append(dst, "}]}\n\n"...)
}

// eventStream reads server-sent events.
type eventStream struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	lines    *bufio.Reader
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
	isError := false
	for {
		line, err := s.line()
		if err != nil {
			return Piece{}, fault{kinds: []error{ErrUnknown}, text: "read stream", cause: err}
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
		return Piece{}, s.end()
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Piece{}, fault{kinds: []error{ErrUnknown}, text: "read stream", cause: err}
	}
	if len(c.Choices) != 1 {
		return Piece{}, fault{kinds: []error{ErrUnknown}, text: "read stream", cause: errors.Errorf("piece with %d choices", len(c.Choices))}
	}
	p := Piece{
		Work: WorkID{Request: c.ID, Attempt: c.Attempt}, Offset: c.Offset,
		Tokens: c.Tokens, Text: c.Choices[0].Delta.Content,
	}
	if reason := c.Choices[0].FinishReason; reason != nil {
		p.Finish = *reason
		s.finished = true
	}
	return p, nil
}

// end reads up to the end of the body, so that the connection can be reused.
func (s *eventStream) end() error {
	if !s.finished {
		return fault{kinds: []error{ErrUnknown}, text: "read stream", cause: errors.New("stream ended before its last piece")}
	}
	_, _ = s.lines.ReadByte()
	return io.EOF
}

func streamFault(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fault{kinds: []error{ErrUnknown}, text: "read stream", cause: err}
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
