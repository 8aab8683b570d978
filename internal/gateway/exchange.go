package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/platform"
)

// exchange is one request on its way through this host.
type exchange struct {
	*ingress
	in     *inbound
	w      http.ResponseWriter
	r      *http.Request
	number uint64

	// begun says that the caller has the head of an answer; lastEvent is the
	// id of the last event that it has, -1 for none.
	begun     bool
	lastEvent int64
	// failure is an upstream's own failure, kept as the answer of last resort.
	failure *kept
	// first is the time to the first byte of the answer.
	first time.Duration
	// pause is the longest time between two pieces, lastPiece when the last one
	// was passed on.
	pause     time.Duration
	lastPiece time.Duration
	pieces    int
	upstream  string
}

// run has the core decide and carries its effects out until the request ended.
func (x *exchange) run() {
	effects := x.control.join(x.number)
	defer x.control.leave(x.number)
	x.control.post(x.arrivedEvent())
	timeLimit := time.NewTimer(x.in.deadline - x.clock.Now())
	defer timeLimit.Stop()
	for {
		select {
		case <-x.r.Context().Done():
			x.callerLeft(x.r.Context().Err())
			return
		case <-timeLimit.C:
			x.control.post(balance.CallerGone{RequestNumber: x.number})
			x.giveUp(balance.CodeTimeLimit, false)
			return
		case effect := <-effects:
			if x.carryOut(effect) {
				return
			}
		}
	}
}

// carryOut returns true when the request has ended.
func (x *exchange) carryOut(effect balance.Effect) bool {
	switch e := effect.(type) {
	case balance.Send:
		return x.attempt(e)
	case balance.Refuse:
		x.refuseOrBreak(e)
		return true
	case balance.Fail:
		x.giveUp(e.Code, e.ForwardUpstreamError)
		return true
	default:
		return false
	}
}

// attempt runs one attempt and posts how it ended.
func (x *exchange) attempt(s balance.Send) bool {
	x.logSent(s)
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	a := &attempt{exchange: x, send: s, ctx: ctx, cancel: cancel}
	outcome := a.run()
	switch {
	case outcome.class == "":
		x.control.post(balance.Finished{RequestNumber: x.number, Attempt: s.Attempt})
		x.logDelivered(s)
		return true
	case outcome.callerGone:
		x.callerLeft(outcome.err)
		return true
	}
	logevent.RoutedAttemptFailed.Emit(x.logger, log.Fields{
		"request": x.in.ask.ID, "attempt": s.Attempt, "upstream": s.Members[0].Upstream, "class": string(outcome.class),
		"culprit": outcome.culprit, "status": outcome.status, "error": errorText(outcome.err),
		"after_ms": (x.clock.Now() - a.started).Milliseconds(), "pieces": x.pieces,
	})
	x.metrics.Count("gateway_attempts_failed_total", 1, "class", string(outcome.class))
	x.control.post(balance.AttemptFailed{
		RequestNumber: x.number, Attempt: s.Attempt, Class: outcome.class, FailedAddress: outcome.culprit, PartlyDelivered: x.begun,
	})
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// callerLeft ends a request whose caller is gone.
func (x *exchange) callerLeft(err error) {
	x.control.post(balance.CallerGone{RequestNumber: x.number})
	logevent.CallerLeft.Emit(x.logger, log.Fields{
		"request": x.in.ask.ID, "error": errorText(err), "upstream": x.upstream, "pieces": x.pieces,
		"after_ms": (x.clock.Now() - x.in.arrived).Milliseconds(),
	})
	x.metrics.Count("gateway_callers_left_total", 1)
	if x.begun {
		panic(http.ErrAbortHandler)
	}
}

// refuseOrBreak refuses a request that was not run.
func (x *exchange) refuseOrBreak(e balance.Refuse) {
	if x.begun {
		x.giveUp(e.Code, false)
		return
	}
	x.refuse(x.w, x.in, problem{status: http.StatusServiceUnavailable, code: string(e.Code), retryAfter: e.RetryAfter})
}

// giveUp ends a request that may have run: with the upstream's own failure, a
// gateway error, or by breaking off an answer that has begun.
func (x *exchange) giveUp(code balance.ErrorCode, lastAnswer bool) {
	logevent.RoutedFailed.Emit(x.logger, log.Fields{
		"request": x.in.ask.ID, "route": x.in.route.Name, "code": string(code), "upstream": x.upstream, "pieces": x.pieces,
		"own_answer": lastAnswer, "configuration": x.in.table.Version,
		"after_ms": (x.clock.Now() - x.in.arrived).Milliseconds(),
	})
	x.metrics.Count("gateway_failed_total", 1, "code", string(code))
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	if lastAnswer && x.failure != nil {
		x.failure.write(x)
		return
	}
	status := http.StatusBadGateway
	if code == balance.CodeTimeLimit {
		status = http.StatusGatewayTimeout
	}
	platform.SetLocalResponseHeader(x.w.Header(), x.in.ask.ID, 0)
	x.w.WriteHeader(status)
}

func (x *exchange) logSent(s balance.Send) {
	x.upstream = s.Members[0].Upstream
	logevent.RoutedSent.Emit(x.logger, log.Fields{
		"request": x.in.ask.ID, "route": x.in.route.Name, "attempt": s.Attempt, "upstream": x.upstream,
		"helpers": len(s.Members) - 1, "reserved": s.Members[0].ReservedTokens, "prompt": x.in.ask.PromptTokens,
		"configuration": x.in.table.Version, "configuration_age_ms": (x.clock.Now() - x.in.table.since).Milliseconds(),
		"predicted_ms": s.Choice.PredictedFirstPiece.Milliseconds(), "backlog_ms": s.Choice.Backlog.Milliseconds(),
		"requests_there": s.Choice.RequestsKnown, "from_peers": s.Choice.RequestsFromPeers, "oldest_peer_ms": s.Choice.OldestReportAge.Milliseconds(),
		"failure_share": s.Choice.FailureShare, "cost": s.Choice.Cost,
		"held_ms": (x.clock.Now() - x.in.arrived).Milliseconds(),
	})
	x.metrics.Count("gateway_sent_total", 1)
	if s.Attempt > 1 {
		x.metrics.Count("gateway_repeated_total", 1)
	}
	x.metrics.Observe("gateway_queue_seconds", x.clock.Now()-x.in.arrived)
}

func (x *exchange) logDelivered(s balance.Send) {
	whole := x.clock.Now() - x.in.arrived
	logevent.RoutedDelivered.Emit(x.logger, log.Fields{
		"request": x.in.ask.ID, "attempt": s.Attempt, "upstream": x.upstream,
		"first_ms": x.first.Milliseconds(), "whole_ms": whole.Milliseconds(), "pieces": x.pieces,
		"predicted_ms": s.Choice.PredictedFirstPiece.Milliseconds(), "target_ms": x.in.route.TargetLatency.Milliseconds(),
		"longest_pause_ms": x.pause.Milliseconds(), "pause_target_ms": x.in.route.TargetPieceGap.Milliseconds(),
	})
	x.metrics.Count("gateway_delivered_total", 1)
	x.metrics.Observe("gateway_first_piece_seconds", x.first, "class", lengthClass(x.in.ask.PromptTokens))
	x.metrics.Observe("gateway_answer_seconds", whole, "class", lengthClass(x.in.ask.PromptTokens))
}

// lengthClass names the length of a prompt.
func lengthClass(tokens int) string {
	const k = 1000
	switch {
	case tokens == 0:
		return "call"
	case tokens < 4*k:
		return "1k-4k"
	case tokens < 32*k:
		return "4k-32k"
	case tokens < 100*k:
		return "32k-100k"
	default:
		return "100k-1M"
	}
}
