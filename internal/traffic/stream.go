package traffic

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
)

// Metrics of streams, by class of prompt length.
const (
	metricQueue      = "request_queue_seconds"
	metricFirstToken = "request_first_token_seconds"
)

// Reasons with which an engine ends a stream.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// stream is the traffic of one attempt on one connection.
type stream struct {
	executor *Executor
	exchange *Exchange
	attempt  uint32
	ctx      context.Context
	// first is the timeout for the first piece, silence that between pieces.
	first   time.Duration
	silence time.Duration
	// resumed says that the attempt was already running before this connection.
	resumed bool
}

// send starts an attempt and reads its answer.
func (e *Executor) send(f dispatch.Send) {
	x := e.exchange(f.ID)
	if x == nil {
		return
	}
	ctx, ok := x.begin(f.Attempt)
	if !ok {
		return
	}
	e.cfg.Metrics.Observe(metricQueue, time.Since(x.opened), "class", x.class())
	s := stream{executor: e, exchange: x, attempt: f.Attempt, ctx: ctx, first: f.FirstTokenTimeout, silence: e.cfg.SilenceTimeout}
	s.run(func(ctx context.Context) (engine.Stream, error) {
		return e.engines.Generate(ctx, f.Group[0].Address, e.request(x, f))
	})
}

func (e *Executor) request(x *Exchange, f dispatch.Send) engine.Request {
	r := *x.Request
	r.Work = engine.WorkID{Request: f.ID, Attempt: f.Attempt}
	r.Owner = *e.owner.Load()
	r.Model = f.Model
	r.Priority = int(e.clock.ToWall(f.Priority).UnixMilli())
	r.Deadline = x.Deadline
	r.Offset, r.DeliveredText = x.position()
	if len(f.Group) > 1 {
		r.Group = make([]string, len(f.Group))
		for i, m := range f.Group {
			r.Group[i] = m.Address
		}
	}
	return r
}

// resume continues an attempt's answer on a new connection.
func (e *Executor) resume(f dispatch.Resume) {
	x := e.exchange(f.ID)
	if x == nil {
		return
	}
	ctx, ok := x.begin(f.Attempt)
	if !ok {
		return
	}
	offset, _ := x.position()
	s := stream{executor: e, exchange: x, attempt: f.Attempt, ctx: ctx, first: e.cfg.SilenceTimeout, silence: e.cfg.SilenceTimeout, resumed: true}
	s.run(func(ctx context.Context) (engine.Stream, error) {
		return e.engines.Resume(ctx, f.Address, engine.WorkID{Request: f.ID, Attempt: f.Attempt}, offset)
	})
}

// run opens the stream, delivers its pieces, and reports the attempt's end
// unless the attempt was dropped meanwhile.
func (s *stream) run(open func(context.Context) (engine.Stream, error)) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	watch := newWatchdog(s.first, cancel)
	defer watch.stop()
	source, err := open(ctx)
	if err == nil {
		defer source.Close()
		err = s.deliver(source, watch)
	}
	s.conclude(err, watch)
}

// errGap says that pieces of the stream are missing.
var errGap = errors.New("stream has a gap")

// deliver passes pieces on until the last one; nil means the answer is whole.
func (s *stream) deliver(source engine.Stream, watch *watchdog) error {
	begun := false
	for {
		p, err := source.Next()
		if errors.Is(err, io.EOF) {
			return errors.Wrap(engine.ErrOutcomeUnknown, "stream ended without a last piece")
		}
		if err != nil {
			return err
		}
		watch.reset(s.silence)
		switch s.exchange.accept(s.attempt, p) {
		case gap:
			return errGap
		case stale:
			continue
		case accepted:
		}
		if !begun && p.Tokens > 0 {
			begun = true
			s.started(p)
		}
		if p.Finish != "" {
			return finishError(p.Finish)
		}
	}
}

// started reports the first piece that came on this connection.
func (s *stream) started(p engine.Piece) {
	x := s.exchange
	if p.Offset == 0 {
		s.executor.cfg.Metrics.Observe(metricFirstToken, time.Since(x.opened), "class", x.class())
	}
	s.executor.report(dispatch.FirstToken{ID: x.ID, Attempt: s.attempt})
}

func finishError(finish string) error {
	if finish == finishStop || finish == finishLength {
		return nil
	}
	return errors.Wrapf(engine.ErrFailed, "engine ended the answer with %q", finish)
}

// conclude reports how the attempt ended.
func (s *stream) conclude(err error, watch *watchdog) {
	if s.ctx.Err() != nil {
		// Dropped, or past its time limit: the core has settled it.
		return
	}
	tokens, _ := s.exchange.position()
	id := s.exchange.ID
	switch {
	case err == nil:
		s.executor.report(dispatch.Finished{ID: id, Attempt: s.attempt, AnswerTokens: tokens})
	case watch.barked() || errors.Is(err, errGap):
		s.executor.report(dispatch.Stalled{ID: id, Attempt: s.attempt, DeliveredTokens: tokens})
	default:
		s.executor.report(dispatch.AttemptFailed{ID: id, Attempt: s.attempt, FailureClass: s.class(err), DeliveredTokens: tokens})
	}
}

// class is what an error proves of the attempt. That an engine refused to
// resume says nothing of what it ran before.
func (s *stream) class(err error) dispatch.FailureClass {
	class := engineClass(err)
	if s.resumed && (class == dispatch.FailureNotRun || class == dispatch.FailureNoMemory) {
		return dispatch.FailureOutcomeUnknown
	}
	return class
}
