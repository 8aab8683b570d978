package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// A host that is stopped goes on for its grace period. What it refuses then answers the load
// of hosts that are stopped in turn while prompts wait for servers: each of them would hold
// requests that other hosts could still answer.

// StoppingRetryAfter is the time after which a host that stops tells callers to come back;
// another host takes their connections at once.
const StoppingRetryAfter = 50 * time.Millisecond

const (
	// cautiousDecodeTime and cautiousPrefillTime are cautious estimates of the time per
	// token of an answer and of a prompt. They serve to predict whether an answer ends
	// before its host does.
	cautiousDecodeTime  = 2 * time.Millisecond
	cautiousPrefillTime = 8 * time.Microsecond
	// durationMargin multiplies the predicted time of an attempt that must end before its
	// host: prompts that arrive later are read between its steps.
	durationMargin = 2
	// toleratedSilence is for how long a sound server may fall silent within an answer.
	toleratedSilence = 1300 * time.Millisecond
)

// CautiousDuration returns a cautious estimate of how long a request takes from its sending
// to the end of its answer. For a stream that is half of the latency objective plus the
// times for prefill and decoding; for any other request it is the latency objective.
func CautiousDuration(r *route.Route, promptTokens, answerTokens int) time.Duration {
	if r.Kind != route.Stream {
		return r.TargetLatency
	}
	return r.TargetLatency/2 + time.Duration(answerTokens)*cautiousDecodeTime + time.Duration(promptTokens)*cautiousPrefillTime
}

// stopsBeforeAnswer reports whether this host stops before it could answer a request. A
// request that may have run is given up only if no answer at all can come in time, since
// its caller may not send it again.
func (c *Core) stopsBeforeAnswer(r *request, now time.Duration) bool {
	switch {
	case c.hostEndsAt == 0 || r.asker != nil:
		return false
	case r.possibleRuns > 0 || r.partlyDelivered:
		return c.hostEndsAt-now < c.minServiceTime(r)
	default:
		return c.hostEndsAt-now < CautiousDuration(r.Route, r.PromptTokens, r.AnswerTokens)
	}
}

// outlastsHost reports whether this host would stop before an attempt by a plan has ended,
// so that the attempt is not begun. Like stopsBeforeAnswer it lets a request be tried on
// that may have run.
func (c *Core) outlastsHost(r *request, p *plan, now time.Duration) bool {
	if c.hostEndsAt == 0 || r.possibleRuns > 0 || r.partlyDelivered || r.PromptTokens == 0 {
		return false
	}
	leader := p.members[0]
	if leader.engine == nil {
		return false
	}
	load := leader.load()
	passes := r.AnswerTokens/max(1, leader.engine.StepsPerPass) + 1
	decoding := time.Duration(passes) * passTime(leader.engine, load.leaders+1, load.contextTokens+r.PromptTokens)
	return now+durationMargin*(p.predictedFirstPiece+decoding)+toleratedSilence > c.hostEndsAt
}
