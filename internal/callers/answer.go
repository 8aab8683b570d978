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

const statusClientClosed = 499

// choice is one choice of an answer.
type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage counts tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// document is a whole answer.
type document struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// await passes pieces on until the final result. The exchange's own time limit
// ends the wait also when nothing else does.
func (s *Server) await(c echo.Context, x *traffic.Exchange, deliver func(engine.Piece) error) traffic.Result {
	gone := c.Request().Context().Done()
	for {
		select {
		case p := <-x.Pieces():
			if err := deliver(p); err != nil {
				s.cfg.Post(dispatch.CallerGone{ID: x.ID})
				return traffic.Result{Code: dispatch.CodeCallerGone, Outcome: dispatch.OutcomeUnknown}
			}
		case r := <-x.FinalResult():
			return s.rest(x, r, deliver)
		case <-gone:
			s.cfg.Post(dispatch.CallerGone{ID: x.ID})
			return traffic.Result{Code: dispatch.CodeCallerGone, Outcome: dispatch.OutcomeUnknown}
		}
	}
}

// rest delivers what was still buffered when the result came.
func (s *Server) rest(x *traffic.Exchange, r traffic.Result, deliver func(engine.Piece) error) traffic.Result {
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

// stream writes an answer as server-sent events.
func (s *Server) stream(c echo.Context, x *traffic.Exchange, model string) error {
	w := &eventWriter{c: c, controller: http.NewResponseController(c.Response()), writeTimeout: s.cfg.Timeouts.Write}
	w.prepare(x.ID, model)
	r := s.await(c, x, w.piece)
	if r.Code == dispatch.CodeCallerGone {
		return nil
	}
	if r.Code != "" {
		p := resultProblem(x.ID, r)
		if !w.begun {
			return p.write(c)
		}
		return w.problem(p)
	}
	return w.end()
}

// eventWriter writes server-sent events.
type eventWriter struct {
	c          echo.Context
	controller *http.ResponseController
	// writeTimeout bounds one write.
	writeTimeout time.Duration
	head         []byte
	buffer       []byte
	begun        bool
	finish       string
}

const (
	eventMiddle = `},"finish_reason":`
	eventTail   = "}]}\n\n"
)

func (w *eventWriter) prepare(id, model string) {
	quotedID, _ := json.Marshal(id)
	quotedModel, _ := json.Marshal(model)
	head := `data: {"id":` + string(quotedID) + `,"object":"chat.completion.chunk","model":` + string(quotedModel)
	w.head = []byte(head + `,"choices":[{"index":0,"delta":{`)
}

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.c.Response().WriteHeader(http.StatusOK)
}

// piece writes one piece and sends it off.
func (w *eventWriter) piece(p engine.Piece) error {
	w.begin()
	if p.Finish != "" {
		w.finish = p.Finish
	}
	text, err := json.Marshal(p.Text)
	if err != nil {
		return errors.Wrap(err, "encode piece")
	}
	w.buffer = append(w.buffer[:0], w.head...)
	w.buffer = append(w.buffer, `"content":`...)
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer, eventMiddle+"null"+eventTail...)
	return w.flush()
}

// end writes the finish reason and the end mark.
func (w *eventWriter) end() error {
	w.begin()
	finish := w.finish
	if finish == "" {
		finish = "stop"
	}
	w.buffer = append(w.buffer[:0], w.head...)
	w.buffer = append(w.buffer, eventMiddle+`"`+finish+`"`+eventTail+"data: [DONE]\n\n"...)
	return w.flush()
}

// problem ends an answer that failed after it began.
func (w *eventWriter) problem(p Problem) error {
	text, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	w.buffer = append(w.buffer[:0], "event: error\ndata: "...)
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer, "\n\n"...)
	return w.flush()
}

func (w *eventWriter) flush() error {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	if _, err := w.c.Response().Write(w.buffer); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(w.controller.Flush(), "flush to caller")
}

// whole writes an answer as one document.
func (s *Server) whole(c echo.Context, x *traffic.Exchange, model string) error {
	var text strings.Builder
	tokens := 0
	finish := "stop"
	r := s.await(c, x, func(p engine.Piece) error {
		text.WriteString(p.Text)
		tokens += p.Tokens
		if p.Finish != "" {
			finish = p.Finish
		}
		return nil
	})
	if r.Code != "" {
		return resultProblem(x.ID, r).write(c)
	}
	return c.JSON(http.StatusOK, document{
		ID:      x.ID,
		Object:  "chat.completion",
		Model:   model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &finish}},
		Usage: usage{
			PromptTokens:     x.Request.PromptTokens,
			CompletionTokens: tokens,
			TotalTokens:      x.Request.PromptTokens + tokens,
		},
	})
}
