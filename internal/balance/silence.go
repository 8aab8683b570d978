package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// HasAlternative reports whether another upstream could take a request now whose current
// attempt is silent. Until then the attempt is better kept: a sound server may fall silent
// for a moment, and a request that is taken from it only to wait is lost to its answer. An
// attempt for which servers hold memory is given up in any case.
func (c *Core) HasAlternative(requestNumber uint64, attempt int, now time.Duration) bool {
	r := c.requestOfAttempt(requestNumber, attempt)
	if r == nil || r.forwardedTo != nil || len(r.reservations) > 0 {
		return true
	}
	if c.stopsBeforeAnswer(r, now) || !c.budgetOfService(r.Service).canSpend(now, &c.config, c.otherHosts+1) {
		return false
	}
	p := c.place(r, now)
	return p != nil && p.members[0] != r.members[0]
}

// firstPieceTimeout returns how long the first piece of an answer is waited for
// before another upstream is tried. For a safe request it depends only on the
// latency objective. Parts of other prompts may be prefilled ahead of a long
// prompt that is far from being late. The wait for a stream is therefore at
// least half of the delay that its caller tolerates: sending a long prompt again
// would repeat its prefill, which delays all other requests.
func firstPieceTimeout(r *route.Route, predicted time.Duration) time.Duration {
	if r.Kind == route.Safe {
		return safeAnswerFactor * r.TargetLatency
	}
	return max(minFirstPieceTimeout, firstPieceFactor*predicted+firstPieceSlack, time.Duration(firstPieceTimeoutShare*float64(toleratedDelay(r))))
}

// pieceTimeout returns the pause after which a stream is continued on another
// upstream.
func pieceTimeout(r *route.Route) time.Duration {
	return max(minPieceTimeout, time.Duration(pieceTimeoutShare*float64(toleratedDelay(r))))
}

// toleratedDelay returns how long callers wait for the first or the next event
// of a stream before they leave.
func toleratedDelay(r *route.Route) time.Duration {
	return max(minToleratedDelay, toleratedGapMultiple*r.TargetPieceGap, toleratedLatencyMultiple*r.TargetLatency)
}
