package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// completionChunk is the part of a streamed chunk that is read.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
	errorEvent = []byte("error")
	doneData   = []byte("[DONE]")
)

// streamReader follows one answer's event stream.
type streamReader struct {
	outcome  *Outcome
	checker  *answer.Checker
	due      time.Time
	last     time.Duration
	isError  bool
	finished bool
	done     bool
}

// stream reads server-sent events until the answer's end.
func (o *Outcome) stream(body io.Reader, checker *answer.Checker, due time.Time) {
	s := streamReader{outcome: o, checker: checker, due: due}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for !s.done && lines.Scan() {
		s.line(lines.Bytes())
	}
	s.conclude(lines.Err())
}

func (s *streamReader) line(line []byte) {
	if event, ok := bytes.CutPrefix(line, eventField); ok {
		s.isError = bytes.Equal(bytes.TrimSpace(event), errorEvent)
		return
	}
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	switch {
	case s.isError:
		s.outcome.told(data)
		s.done = true
	case bytes.Equal(data, doneData):
		s.done = true
	default:
		s.chunk(data)
	}
}

func (s *streamReader) chunk(data []byte) {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		s.outcome.Detail = "a chunk that is no completion"
		return
	}
	choice := c.Choices[0]
	if choice.Delta.Content != "" {
		s.checker.Feed(choice.Delta.Content)
		s.mark()
	}
	if choice.FinishReason != nil && *choice.FinishReason != "" {
		s.finished = true
	}
}

// mark notes the time of a piece.
func (s *streamReader) mark() {
	now := time.Since(s.due)
	if s.outcome.FirstToken == 0 {
		s.outcome.FirstToken = now
	} else {
		s.outcome.Gaps = append(s.outcome.Gaps, now-s.last)
	}
	s.last = now
}

func (s *streamReader) conclude(err error) {
	o := s.outcome
	o.Tokens = s.checker.Tokens()
	if o.Tokens > 1 {
		o.TokenGap = (s.last - o.FirstToken) / time.Duration(o.Tokens-1)
	}
	if o.Result == "" && s.done && s.finished {
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
