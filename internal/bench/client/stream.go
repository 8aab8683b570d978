package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
)

// maxLineBytes limits the length of one line of an event stream.
const maxLineBytes = 1 << 20

// completionChunk holds the fields that the client reads from a streamed chunk of
// a completion.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Field names and values of the event stream that the client looks for.
var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
	errorEvent = []byte("error")
	doneData   = []byte("[DONE]")
)

// streamReader reads the event stream of one answer and records its outcome. A
// piece of the answer is the text of one chunk; a chunk without text is no piece.
type streamReader struct {
	outcome *Outcome
	checker *answer.Checker
	due     time.Time
	// lastPiece is the time of the last piece, measured from due.
	lastPiece time.Duration
	// inErrorEvent is set while the lines belong to an event of type error.
	inErrorEvent bool
	// hasFinishReason is set once a chunk stated why the answer is complete.
	hasFinishReason bool
	// ended is set after the stream's end marker or an error event.
	ended bool
}

// readStream reads server-sent events until the end of the answer and records the
// result.
func (o *Outcome) readStream(body io.Reader, checker *answer.Checker, due time.Time) {
	s := streamReader{outcome: o, checker: checker, due: due}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for !s.ended && lines.Scan() {
		s.readLine(lines.Bytes())
	}
	s.finish(lines.Err())
}

// readLine processes one line of the event stream.
func (s *streamReader) readLine(line []byte) {
	if event, ok := bytes.CutPrefix(line, eventField); ok {
		s.inErrorEvent = bytes.Equal(bytes.TrimSpace(event), errorEvent)
		return
	}
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	switch {
	case s.inErrorEvent:
		s.outcome.parseProblem(data)
		s.ended = true
	case bytes.Equal(data, doneData):
		s.ended = true
	default:
		s.readChunk(data)
	}
}

// readChunk checks the text of one chunk and records its arrival time.
func (s *streamReader) readChunk(data []byte) {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		s.outcome.Detail = "a chunk of the stream is not a completion"
		return
	}
	choice := c.Choices[0]
	if choice.Delta.Content != "" {
		s.checker.Feed(choice.Delta.Content)
		s.recordPieceTime()
	}
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		s.hasFinishReason = true
	}
}

// recordPieceTime records the arrival time of a piece: that of the first token,
// or the gap since the piece before.
func (s *streamReader) recordPieceTime() {
	now := time.Since(s.due)
	if s.outcome.FirstToken == 0 {
		s.outcome.FirstToken = now
	} else {
		s.outcome.Gaps = append(s.outcome.Gaps, now-s.lastPiece)
	}
	s.lastPiece = now
}

// finish sets the outcome's token counts, fault and result after the stream has
// ended; err is the error of the last read, if any. The result is still empty unless
// an error event has set it.
func (s *streamReader) finish(err error) {
	o := s.outcome
	o.Tokens = s.checker.Tokens()
	if o.Tokens > 1 {
		o.TokenGap = (s.lastPiece - o.FirstToken) / time.Duration(o.Tokens-1)
	}
	if o.Result == "" && s.ended && s.hasFinishReason {
		o.Result = Delivered
		o.Fault = s.checker.Finish(o.Request.AnswerTokens)
	} else {
		o.Fault = s.checker.Fault()
	}
	switch {
	case o.Fault != answer.None:
		o.Result = Wrong
	case o.Result == "":
		o.Result = Broken
		if err != nil {
			o.Detail = err.Error()
		}
	}
}
