package traffic

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
)

// These are the metrics of streams; their label is the class of the prompt
// length.
const (
	metricQueueTime      = "request_queue_seconds"
	metricFirstTokenTime = "request_first_token_seconds"
)

// These are the finish reasons of a complete answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// answerStream reads the answer of one attempt on one connection.
type answerStream struct {
	executor *Executor
	exchange *Exchange
	attempt  uint32
	ctx      context.Context
	// firstPieceTimeout bounds the wait for the first piece, silenceTimeout the
	// time between two pieces.
	firstPieceTimeout time.Duration
	silenceTimeout    time.Duration
	// resumed reports that the attempt was already running before this connection
	// was opened.
	resumed bool
}

// sendRequest starts an attempt on an engine and reads its answer.
func (e *Executor) sendRequest(effect dispatch.Send) {
	x := e.exchange(effect.ID)
	if x == nil {
		return
	}
	ctx, ok := x.beginAttempt(effect.Attempt)
	if !ok {
		return
	}
	e.cfg.Metrics.Observe(metricQueueTime, time.Since(x.createdAt), "class", x.promptLengthClass())
	s := answerStream{executor: e, exchange: x, attempt: effect.Attempt, ctx: ctx, firstPieceTimeout: effect.FirstTokenTimeout, silenceTimeout: e.cfg.SilenceTimeout}
	s.run(func(ctx context.Context) (engine.Stream, error) {
		return e.engines.Generate(ctx, effect.Group[0].Address, e.engineRequest(x, effect))
	})
}

// engineRequest returns the request of one attempt, which continues the answer
// after the tokens that the caller already has.
func (e *Executor) engineRequest(x *Exchange, effect dispatch.Send) engine.Request {
	r := *x.Request
	r.Work = engine.WorkID{Request: effect.ID, Attempt: effect.Attempt}
	r.Owner = *e.owner.Load()
	r.Model = effect.Model
	r.Priority = int(e.clock.ToWall(effect.Priority).UnixMilli())
	r.Deadline = x.Deadline
	r.Offset, r.DeliveredText = x.position()
	if len(effect.Group) > 1 {
		r.Group = make([]string, len(effect.Group))
		for i, m := range effect.Group {
			r.Group[i] = m.Address
		}
	}
	return r
}

// resumeStream continues to read an attempt's answer on a new connection.
func (e *Executor) resumeStream(effect dispatch.Resume) {
	x := e.exchange(effect.ID)
	if x == nil {
		return
	}
	ctx, ok := x.beginAttempt(effect.Attempt)
	if !ok {
		return
	}
	offset, _ := x.position()
	s := answerStream{executor: e, exchange: x, attempt: effect.Attempt, ctx: ctx, firstPieceTimeout: e.cfg.SilenceTimeout, silenceTimeout: e.cfg.SilenceTimeout, resumed: true}
	s.run(func(ctx context.Context) (engine.Stream, error) {
		return e.engines.Resume(ctx, effect.Address, engine.WorkID{Request: effect.ID, Attempt: effect.Attempt}, offset)
	})
}

// run opens the stream, delivers its pieces, and reports the end of the attempt,
// unless the attempt was dropped in the meantime.
func (s *answerStream) run(open func(context.Context) (engine.Stream, error)) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	watch := newWatchdog(s.firstPieceTimeout, cancel)
	defer watch.stop()
	source, err := open(ctx)
	if err == nil {
		defer source.Close()
		err = s.deliverPieces(source, watch)
	}
	s.reportEnd(err, watch)
}

// errGap means that pieces of the stream are missing.
var errGap = errors.New("stream has a gap")

// deliverPieces passes on the pieces of the stream up to the last one. It returns
// nil if the answer is complete.
func (s *answerStream) deliverPieces(source engine.Stream, watch *watchdog) error {
	firstReported := false
	for {
		p, err := source.Next()
		if errors.Is(err, io.EOF) {
			return errors.Wrap(engine.ErrOutcomeUnknown, "stream ended without a last piece")
		}
		if err != nil {
			return err
		}
		watch.reset(s.silenceTimeout)
		switch s.exchange.deliverPiece(s.attempt, p) {
		case pieceAfterGap:
			return errGap
		case pieceStale:
			continue
		case pieceAccepted:
		}
		if !firstReported && p.Tokens > 0 {
			firstReported = true
			s.reportFirstToken(p)
		}
		if p.Finish != "" {
			return errorOfFinish(p.Finish)
		}
	}
}

// reportFirstToken reports the first piece with tokens that was received on this
// connection. It records the time to first token if the piece begins the answer.
func (s *answerStream) reportFirstToken(p engine.Piece) {
	x := s.exchange
	if p.Offset == 0 {
		s.executor.cfg.Metrics.Observe(metricFirstTokenTime, time.Since(x.createdAt), "class", x.promptLengthClass())
	}
	s.executor.postEvent(dispatch.FirstToken{ID: x.ID, Attempt: s.attempt})
}

// errorOfFinish returns nil for the finish reasons of a complete answer, and an
// error for all others.
func errorOfFinish(finish string) error {
	if finish == finishStop || finish == finishLength {
		return nil
	}
	return errors.Wrapf(engine.ErrFailed, "engine ended the answer with %q", finish)
}

// reportEnd reports how the attempt ended: finished, stalled, or failed.
func (s *answerStream) reportEnd(err error, watch *watchdog) {
	if s.ctx.Err() != nil {
		// The attempt was dropped or its deadline passed. The dispatch core has
		// already completed it.
		return
	}
	tokens, _ := s.exchange.position()
	id := s.exchange.ID
	switch {
	case err == nil:
		s.executor.postEvent(dispatch.Finished{ID: id, Attempt: s.attempt, AnswerTokens: tokens})
	case watch.hasTimedOut() || errors.Is(err, errGap):
		s.executor.postEvent(dispatch.Stalled{ID: id, Attempt: s.attempt, DeliveredTokens: tokens})
	default:
		s.executor.postEvent(dispatch.AttemptFailed{ID: id, Attempt: s.attempt, FailureClass: s.failureClass(err), DeliveredTokens: tokens})
	}
}

// failureClass returns what an error proves about the attempt. If an engine
// refuses to resume an attempt, that proves nothing about what it ran before.
func (s *answerStream) failureClass(err error) dispatch.FailureClass {
	class := engineFailureClass(err)
	if s.resumed && (class == dispatch.FailureNotRun || class == dispatch.FailureNoMemory) {
		return dispatch.FailureOutcomeUnknown
	}
	return class
}
