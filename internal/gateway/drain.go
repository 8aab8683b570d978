package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
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
	// lastAnswerTime is the time before the end of the process in which the requests that
	// are still in flight get their last answer.
	lastAnswerTime = 200 * time.Millisecond
)

// errHostStopping is the error of an attempt that was under way when its host stopped.
var errHostStopping = errors.New("host stopped before the answer was complete")

// drainState records whether and since when the host is stopping.
type drainState struct {
	clock clock.Clock
	// grace is the time between the request to stop and the kill of the
	// process.
	grace time.Duration
	// startedAt is when the stop began, in nanoseconds of the clock; 0 before
	// it.
	startedAt atomic.Int64
	// requestsEnded ends when the requests in flight must get their last answer.
	requestsEnded context.Context
	endRequests   context.CancelFunc
}

// newDrainState returns the state of a host that is not stopping.
func newDrainState(c clock.Clock, grace time.Duration) *drainState {
	d := &drainState{clock: c, grace: grace}
	d.requestsEnded, d.endRequests = context.WithCancel(context.Background())
	return d
}

// begin records the start of the stop; later calls change nothing.
func (d *drainState) begin() { d.startedAt.CompareAndSwap(0, max(1, int64(d.clock.Now()))) }

// stopping reports whether the stop has begun.
func (d *drainState) stopping() bool { return d.startedAt.Load() != 0 }

// processEndsAt returns the time at which the process ends, once the stop has begun.
func (d *drainState) processEndsAt() time.Duration {
	return time.Duration(d.startedAt.Load()) + d.grace - exitMargin
}

// requestsEndAt returns the time at which the requests that are in flight get their last
// answer, once the stop has begun.
func (d *drainState) requestsEndAt() time.Duration { return d.processEndsAt() - lastAnswerTime }

// checkRequest returns nil unless the host is stopping. Then it returns a
// refusal for a request that would probably not end before the process does.
func (d *drainState) checkRequest(r *route.Route, request platform.CallerRequest, now time.Duration) *refusal {
	if !d.stopping() || balance.CautiousDuration(r, request.PromptTokens, plannedAnswerTokens(request)) < d.requestsEndAt()-now {
		return nil
	}
	return refusalWhileStopping()
}

// refusalWhileStopping returns the refusal of a host that stops.
func refusalWhileStopping() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(balance.CodeStopping), retryAfter: balance.StoppingRetryAfter}
}
