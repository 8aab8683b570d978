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

// generate accepts a work item and streams its answer.
func (i *instance) generate(c echo.Context) error {
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
	f, err := i.submit(r)
	if err != nil {
		return err
	}
	return i.streamAnswer(c, f, r.Work, r.Offset)
}

// readBody reads a request body into one buffer, allocated with the announced
// length.
func readBody(r *http.Request) ([]byte, error) {
	var buf bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxBodyBytes {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r.Body)
	return buf.Bytes(), err
}

// checkRequest returns an error for the first part of the request that the
// protocol does not allow.
func checkRequest(r api.ChatRequest) error {
	switch {
	case !isRequestID(r.Work.Request):
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

// maxIDBytes is the greatest length of a request id in bytes.
const maxIDBytes = 128

func isRequestID(id string) bool {
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return id != "" && len(id) <= maxIDBytes
}

// submit hands the work item to the simulation, and starts the tasks of the
// leader if it is for a group.
func (i *instance) submit(r api.ChatRequest) (*progressFeed, error) {
	prompt := r.Messages[0].Content
	f := &progressFeed{promptHash: answer.PromptHash(prompt), firstToken: r.Offset}
	f.progress.Produced = r.Offset
	if r.Offset > 0 && r.Messages[1].Content != string(answer.AppendTokens(nil, f.promptHash, 0, r.Offset)) {
		i.engine.checkCounters.recordForeignText()
	}
	s := batch.Submission{
		Work: r.Work, Owner: r.Owner, Deadline: r.Deadline, Priority: r.Priority,
		PromptTokens: r.PromptTokens + r.Offset, MaxTokens: r.MaxTokens - r.Offset, Observer: f,
	}
	if len(r.Group) > 1 {
		s.IsLeader = true
		s.PromptTokens = ShareTokens(s.PromptTokens, len(r.Group))
	} else {
		s.PrefixChain = api.PrefixHashes(prompt, 0)
	}
	var err error
	i.withCore(func(core *batch.Engine, now time.Duration) {
		if !i.models.serves(now, r.Model) {
			err = errorAnswer{http.StatusConflict, api.CodeModelNotLoaded, "model is not loaded"}
			return
		}
		if err = core.Submit(now, s); err != nil {
			err = errorAnswerFor(err)
		}
	})
	if err != nil {
		return nil, err
	}
	i.engine.checkCounters.recordWork(r.Work.Request, i.engine.faults.LeavingSince())
	i.wakeStepLoop()
	if s.IsLeader {
		i.spawn(func() { i.runLeader(r, f) })
	}
	return f, nil
}

// resume continues the stream of a work item from a token offset.
func (i *instance) resume(c echo.Context) error {
	attempt, err := strconv.ParseUint(c.Param("attempt"), 10, 32)
	if err != nil {
		return badRequest("attempt: must be a number")
	}
	offset, err := strconv.Atoi(c.QueryParam("offset"))
	if err != nil || offset < 0 {
		return badRequest("offset: must be a number, 0 or more")
	}
	work := api.WorkID{Request: c.Param("request"), Attempt: uint32(attempt)}
	var f *progressFeed
	i.withCore(func(core *batch.Engine, now time.Duration) {
		if o, ok := core.ObserverOf(now, work); ok {
			f, _ = o.(*progressFeed)
		}
	})
	if f == nil {
		return errorAnswer{http.StatusNotFound, api.CodeNoWork, "no such work"}
	}
	if p := f.current(); offset < f.firstToken || (p.Finish != "" && offset > p.Produced) {
		return badRequest("offset: is not in this attempt's part of the answer")
	}
	return i.streamAnswer(c, f, work, offset)
}

// streamAnswer sends an answer, from the token offset until it ends. A broken
// connection does not end the work item.
func (i *instance) streamAnswer(c echo.Context, f *progressFeed, work api.WorkID, offset int) error {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	requestCtx := c.Request().Context()
	defer f.attach()()
	hasNewTokens := func(p batch.Progress) bool { return p.Produced > offset || p.Finish != "" }
	changed := f.subscribe()
	defer f.unsubscribe(changed)
	var buf, text []byte
	for {
		p, ok := f.await(changed, hasNewTokens, i.ctx, requestCtx)
		if !ok || !i.engine.faults.WaitWhileFrozen(requestCtx) {
			panic(http.ErrAbortHandler)
		}
		text = answer.AppendTokens(text[:0], f.promptHash, offset, p.Produced)
		piece := api.Piece{Work: work, Offset: offset, Tokens: p.Produced - offset, Text: string(text)}
		if p.Finish != api.FinishError {
			piece.Finish = p.Finish
		}
		buf = appendPieceOrEnd(buf[:0], piece, p.Finish)
		if _, err := w.Write(buf); err != nil || p.Finish != "" {
			return nil
		}
		w.Flush()
		offset = p.Produced
	}
}

// appendPieceOrEnd appends a piece and, if the answer is complete, the event
// that ends the stream.
func appendPieceOrEnd(dst []byte, piece api.Piece, finish string) []byte {
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

// failedEvent is the event that ends the stream of a failed work item.
const failedEvent = "event: error\ndata: {\"error\":{\"code\":\"" + api.CodeFailed + "\",\"message\":\"work failed\"}}\n\n"
