package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/route"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// balancerNoticeTime is how long the load balancer may go on sending new
	// connections to a host that is no longer ready: two checks of a second
	// each.
	balancerNoticeTime = 2500 * time.Millisecond
	// exitMargin is the time that is kept free between the end of the process
	// and the moment at which the platform would kill it.
	exitMargin = 300 * time.Millisecond
	// decodeTimePerToken is a cautious estimate of the time to decode one token
	// of an answer. It serves to predict whether the answer ends before the
	// process does.
	decodeTimePerToken = 2 * time.Millisecond
	// prefillTimePerToken is a cautious estimate of the time to prefill one
	// token of a prompt.
	prefillTimePerToken = 8 * time.Microsecond
)

// drainState records whether and since when the host is stopping.
type drainState struct {
	clock clock.Clock
	// grace is the time between the request to stop and the kill of the
	// process.
	grace time.Duration
	// startedAt is when the stop began, in nanoseconds of the clock; 0 before
	// it.
	startedAt atomic.Int64
}

// begin records the start of the stop; later calls change nothing.
func (d *drainState) begin() { d.startedAt.CompareAndSwap(0, max(1, int64(d.clock.Now()))) }

// stopping reports whether the stop has begun.
func (d *drainState) stopping() bool { return d.startedAt.Load() != 0 }

// timeLeft returns the time until the process must have ended.
func (d *drainState) timeLeft(now time.Duration) time.Duration {
	return time.Duration(d.startedAt.Load()) + d.grace - exitMargin - now
}

// checkRequest returns nil unless the host is stopping. Then it returns a
// refusal for a request that would probably not end before the process does.
func (d *drainState) checkRequest(r *route.Route, request platform.CallerRequest, now time.Duration) *refusal {
	if !d.stopping() || estimateDuration(r, request) < d.timeLeft(now) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "stopping", retryAfter: stoppingRetryAfter}
}

// estimateDuration returns a cautious estimate of how long a request takes. For
// a stream that is half of the latency objective plus the times for prefill and
// decoding, where a caller's estimate of the answer's length is doubled. For any
// other request it is the latency objective.
func estimateDuration(r *route.Route, request platform.CallerRequest) time.Duration {
	if r.Kind != route.Stream {
		return r.TargetLatency
	}
	tokens := request.MaxTokens
	if request.EstimatedTokens > 0 {
		tokens = min(tokens, 2*request.EstimatedTokens)
	}
	return r.TargetLatency/2 + time.Duration(tokens)*decodeTimePerToken + time.Duration(request.PromptTokens)*prefillTimePerToken
}
