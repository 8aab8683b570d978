package callers

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// statusClientClosed is the status of a request whose caller disconnected. No
// caller ever receives it.
const statusClientClosed = 499

// choice is one choice of an answer: Delta in an event of a stream, Message in a
// whole answer.
type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// tokenUsage contains the numbers of tokens of a request and its answer.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chatCompletion is the document that contains a whole answer.
type chatCompletion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   tokenUsage `json:"usage"`
}

// awaitResult passes the pieces of the answer to deliver until the final result
// arrives or the caller disconnects. Since the exchange ends at its own time
// limit, the wait always ends.
func (s *Server) awaitResult(c echo.Context, x *traffic.Exchange, deliver func(engine.Piece) error) traffic.Result {
	callerGone := c.Request().Context().Done()
	for {
		select {
		case p := <-x.Pieces():
			if err := deliver(p); err != nil {
				s.cfg.Post(dispatch.CallerGone{ID: x.ID})
				return traffic.Result{Code: dispatch.CodeCallerGone, Outcome: dispatch.OutcomeUnknown}
			}
		case r := <-x.FinalResult():
			return s.deliverBuffered(x, r, deliver)
		case <-callerGone:
			s.cfg.Post(dispatch.CallerGone{ID: x.ID})
			return traffic.Result{Code: dispatch.CodeCallerGone, Outcome: dispatch.OutcomeUnknown}
		}
	}
}

// deliverBuffered delivers the pieces that were still buffered when the final
// result arrived.
func (s *Server) deliverBuffered(x *traffic.Exchange, r traffic.Result, deliver func(engine.Piece) error) traffic.Result {
	for {
		select {
		case p := <-x.Pieces():
			if err := deliver(p); err != nil {
				return r
			}
		default:
			return r
		}
	}
}

// streamAnswer writes an answer as server-sent events. A failure before the first
// event is written as a problem document with its status.
func (s *Server) streamAnswer(c echo.Context, x *traffic.Exchange, model string) error {
	w := &eventWriter{echoContext: c, responseController: http.NewResponseController(c.Response()), writeTimeout: s.cfg.Timeouts.Write}
	w.prepare(x.ID, model)
	r := s.awaitResult(c, x, w.writePiece)
	if r.Code == dispatch.CodeCallerGone {
		return nil
	}
	if r.Code != "" {
		p := newResultProblem(x.ID, r)
		if !w.headersSent {
			return p.write(c)
		}
		return w.writeProblem(p)
	}
	return w.writeEnd()
}

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	echoContext        echo.Context
	responseController *http.ResponseController
	// writeTimeout bounds the time of one write.
	writeTimeout time.Duration
	// eventHead is the start of each event, up to its text. It is the same in all
	// events of the answer.
	eventHead []byte
	// buffer holds the event that is being written; it is reused for the next one.
	buffer      []byte
	headersSent bool
	// finishReason is the one of the last piece; it is empty until that arrives.
	finishReason string
}

// These are the parts of an event after its text.
const (
	eventMiddle = `},"finish_reason":`
	eventTail   = "}]}\n\n"
)

// prepare builds the head that all events of the answer share.
func (w *eventWriter) prepare(id, model string) {
	quotedID, _ := json.Marshal(id)
	quotedModel, _ := json.Marshal(model)
	head := `data: {"id":` + string(quotedID) + `,"object":"chat.completion.chunk","model":` + string(quotedModel)
	w.eventHead = []byte(head + `,"choices":[{"index":0,"delta":{`)
}

// sendHeaders writes the status and the headers of the event stream, once.
func (w *eventWriter) sendHeaders() {
	if w.headersSent {
		return
	}
	w.headersSent = true
	h := w.echoContext.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.echoContext.Response().WriteHeader(http.StatusOK)
}

// writePiece writes one piece as an event and flushes it to the caller.
func (w *eventWriter) writePiece(p engine.Piece) error {
	w.sendHeaders()
	if p.Finish != "" {
		w.finishReason = p.Finish
	}
	text, err := json.Marshal(p.Text)
	if err != nil {
		return errors.Wrap(err, "encode piece")
	}
	w.buffer = append(w.buffer[:0], w.eventHead...)
	w.buffer = append(w.buffer, `"content":`...)
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer, eventMiddle+"null"+eventTail...)
	return w.flush()
}

// writeEnd writes the finish reason and the marker that ends the stream.
func (w *eventWriter) writeEnd() error {
	w.sendHeaders()
	finish := w.finishReason
	if finish == "" {
		finish = "stop"
	}
	w.buffer = append(w.buffer[:0], w.eventHead...)
	w.buffer = append(w.buffer, eventMiddle+`"`+finish+`"`+eventTail+"data: [DONE]\n\n"...)
	return w.flush()
}

// writeProblem writes a problem document as an event, which ends an answer that
// failed after its first event.
func (w *eventWriter) writeProblem(p Problem) error {
	text, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	w.buffer = append(w.buffer[:0], "event: error\ndata: "...)
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer, "\n\n"...)
	return w.flush()
}

// flush writes the buffer to the caller within the write timeout.
func (w *eventWriter) flush() error {
	_ = w.responseController.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	if _, err := w.echoContext.Response().Write(w.buffer); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(w.responseController.Flush(), "flush to caller")
}

// writeWholeAnswer writes an answer as one JSON document.
func (s *Server) writeWholeAnswer(c echo.Context, x *traffic.Exchange, model string) error {
	var text strings.Builder
	tokens := 0
	finish := "stop"
	r := s.awaitResult(c, x, func(p engine.Piece) error {
		text.WriteString(p.Text)
		tokens += p.Tokens
		if p.Finish != "" {
			finish = p.Finish
		}
		return nil
	})
	if r.Code != "" {
		return newResultProblem(x.ID, r).write(c)
	}
	return c.JSON(http.StatusOK, chatCompletion{
		ID:      x.ID,
		Object:  "chat.completion",
		Model:   model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &finish}},
		Usage: tokenUsage{
			PromptTokens:     x.Request.PromptTokens,
			CompletionTokens: tokens,
			TotalTokens:      x.Request.PromptTokens + tokens,
		},
	})
}
