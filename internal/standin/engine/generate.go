package engine

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// generate accepts a work and streams its answer.
func (l *life) generate(c echo.Context) error {
	body, err := readBody(c.Request())
	if err != nil {
		return badRequest("body: " + err.Error())
	}
	r, err := api.DecodeRequest(body)
	if err != nil {
		return badRequest("body: " + err.Error())
	}
	if err := checkRequest(r); err != nil {
		return err
	}
	f, err := l.accept(r)
	if err != nil {
		return err
	}
	return l.deliver(c, f, r.Work, r.Offset)
}

// readBody reads a body into one buffer of its announced length.
func readBody(r *http.Request) ([]byte, error) {
	var buf bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxBodyBytes {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r.Body)
	return buf.Bytes(), err
}

func checkRequest(r api.ChatRequest) error {
	switch {
	case !isID(r.Work.Request):
		return badRequest("work.request: must be 1 to 128 letters, digits, '-', '_' or '.'")
	case !r.Stream:
		return badRequest("stream: must be true")
	case len(r.Messages) == 0 || r.Messages[0].Content == "":
		return badRequest("messages: must begin with one that has content")
	case len(r.Messages) != 1 && (len(r.Messages) != 2 || r.Offset == 0):
		return badRequest("messages: must be one, or two with an offset")
	case r.Offset < 0 || r.Offset > 0 && len(r.Messages) != 2:
		return badRequest("offset: needs the text up to it as second message")
	case r.PromptTokens <= 0 || r.MaxTokens <= r.Offset:
		return badRequest("prompt_tokens: must be above 0, max_tokens above offset")
	}
	return nil
}

// maxIDBytes bounds a request id.
const maxIDBytes = 128

func isID(id string) bool {
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return id != "" && len(id) <= maxIDBytes
}

// accept submits the work, and starts the leader's duties for a group.
func (l *life) accept(r api.ChatRequest) (*feed, error) {
	prompt := r.Messages[0].Content
	f := &feed{promptHash: answer.PromptHash(prompt), base: r.Offset}
	f.progress.Produced = r.Offset
	if r.Offset > 0 && r.Messages[1].Content != string(answer.AppendTokens(nil, f.promptHash, 0, r.Offset)) {
		l.engine.ledger.foreign()
	}
	s := batch.Submission{
		Work: r.Work, Owner: r.Owner, Deadline: r.Deadline, Priority: r.Priority,
		PromptTokens: r.PromptTokens + r.Offset, MaxTokens: r.MaxTokens - r.Offset, Observer: f,
	}
	if len(r.Group) > 1 {
		s.IsLeader = true
		s.PromptTokens = ShareTokens(s.PromptTokens, len(r.Group))
	} else {
		s.PrefixChain = api.PrefixChain(prompt, 0)
	}
	var err error
	l.withCore(func(core *batch.Engine, now time.Duration) {
		if !l.models.serves(now, r.Model) {
			err = refusal{http.StatusConflict, api.CodeNoModel, "model is not loaded"}
			return
		}
		if err = core.Submit(now, s); err != nil {
			err = refusalOf(err)
		}
	})
	if err != nil {
		return nil, err
	}
	l.engine.ledger.run(r.Work.Request, l.engine.faults.LeavingSince())
	l.poke()
	if s.IsLeader {
		l.spawn(func() { l.lead(r, f) })
	}
	return f, nil
}

// resume continues a stream at an offset.
func (l *life) resume(c echo.Context) error {
	attempt, err := strconv.ParseUint(c.Param("attempt"), 10, 32)
	if err != nil {
		return badRequest("attempt: must be a number")
	}
	offset, err := strconv.Atoi(c.QueryParam("offset"))
	if err != nil || offset < 0 {
		return badRequest("offset: must be a number, 0 or more")
	}
	work := api.WorkID{Request: c.Param("request"), Attempt: uint32(attempt)}
	var f *feed
	l.withCore(func(core *batch.Engine, now time.Duration) {
		if o, ok := core.ObserverOf(now, work); ok {
			f, _ = o.(*feed)
		}
	})
	if f == nil {
		return refusal{http.StatusNotFound, api.CodeNoWork, "no such work"}
	}
	if p := f.now(); offset < f.base || (p.Finish != "" && offset > p.Produced) {
		return badRequest("offset: is not in this attempt's part of the answer")
	}
	return l.deliver(c, f, work, offset)
}

// deliver streams an answer from the token offset until it ends. A broken
// connection does not end the work.
func (l *life) deliver(c echo.Context, f *feed, work api.WorkID, offset int) error {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	request := c.Request().Context()
	defer f.attach()()
	news := func(p batch.Progress) bool { return p.Produced > offset || p.Finish != "" }
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	var buf, text []byte
	for {
		p, ok := f.await(changed, news, l.ctx, request)
		if !ok || !l.engine.faults.WaitWhileFrozen(request) {
			panic(http.ErrAbortHandler)
		}
		text = answer.AppendTokens(text[:0], f.promptHash, offset, p.Produced)
		piece := api.Piece{Work: work, Offset: offset, Tokens: p.Produced - offset, Text: string(text)}
		if p.Finish != api.FinishError {
			piece.Finish = p.Finish
		}
		buf = appendPart(buf[:0], piece, p.Finish)
		if _, err := w.Write(buf); err != nil || p.Finish != "" {
			return nil
		}
		w.Flush()
		offset = p.Produced
	}
}

// appendPart appends a piece and, when the answer is over, its end.
func appendPart(dst []byte, piece api.Piece, finish string) []byte {
	if piece.Tokens > 0 || piece.Finish != "" {
		dst = api.AppendPiece(dst, piece)
	}
	switch finish {
	case "":
		return dst
	case api.FinishError:
		return append(dst, failedEvent...)
	default:
		return append(dst, api.DoneEvent...)
	}
}

// failedEvent ends the stream of a work that failed.
const failedEvent = "event: error\ndata: {\"error\":{\"code\":\"" + api.CodeFailed + "\",\"message\":\"work failed\"}}\n\n"
