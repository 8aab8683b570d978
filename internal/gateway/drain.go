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
	// balancerNotices is how long the balancer goes on sending new connections
	// to a host that is no longer ready: two checks of a second each.
	balancerNotices = 2500 * time.Millisecond
	// exitMargin is the time before the process is killed by which it ends.
	exitMargin = 300 * time.Millisecond
	// timePerToken is a cautious pace of an answer, for the question whether it
	// ends before the process does.
	timePerToken = 2 * time.Millisecond
	// timePerPromptToken is a cautious pace of reading a prompt.
	timePerPromptToken = 8 * time.Microsecond
)

// drain is the state of a host that stops.
type drain struct {
	clock clock.Clock
	grace time.Duration
	// since is when the stop began, in nanoseconds of the clock; 0 before it.
	since atomic.Int64
}

func (d *drain) begin() { d.since.CompareAndSwap(0, max(1, int64(d.clock.Now()))) }

func (d *drain) stopping() bool { return d.since.Load() != 0 }

// left is the time until the process must have ended.
func (d *drain) left(now time.Duration) time.Duration {
	return time.Duration(d.since.Load()) + d.grace - exitMargin - now
}

// refusal is the answer to a request that a stopping host would cut off.
func (d *drain) refusal(r *route.Route, ask platform.CallerRequest, now time.Duration) *problem {
	if !d.stopping() || expected(r, ask) < d.left(now) {
		return nil
	}
	return &problem{status: http.StatusServiceUnavailable, code: "stopping", retryAfter: drainRetryAfter}
}

// expected is a cautious estimate of how long a request takes.
func expected(r *route.Route, ask platform.CallerRequest) time.Duration {
	if r.Kind != route.Stream {
		return r.TargetLatency
	}
	tokens := ask.MaxTokens
	if ask.EstimatedTokens > 0 {
		tokens = min(tokens, 2*ask.EstimatedTokens)
	}
	return r.TargetLatency/2 + time.Duration(tokens)*timePerToken + time.Duration(ask.PromptTokens)*timePerPromptToken
}
