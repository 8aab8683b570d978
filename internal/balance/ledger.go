package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// requestKey identifies a request among the requests of all hosts. The host is
// empty for a request of this host.
type requestKey struct {
	host          string
	requestNumber uint64
}

// workItem is the part of one request's load that falls on one upstream.
type workItem struct {
	key requestKey
	// isLeader is set when this upstream answers the request. Every other
	// member of the request's group is a helper: it prefills a part of the
	// prompt, and holds a part of the KV memory if memoryTokens is not 0.
	isLeader bool
	// prefillTime is the time that the prefill takes on this upstream, and
	// prefillEnd the time at which it is expected to be done.
	prefillTime time.Duration
	prefillEnd  time.Duration
	// decoding is set once the prompt is prefilled and the answer has begun.
	decoding bool
	// memoryTokens is the KV memory in use on this upstream, in tokens.
	// contextTokens is the number of tokens that each decode step attends to
	// here.
	memoryTokens  int
	contextTokens int
	// weight is how much the request counts when costs are compared; see
	// requestWeight.
	weight float64
	// targetLatency and targetPieceGap are the objectives of the request's
	// route. arrivedAt is the time at which the request arrived at its host.
	targetLatency  time.Duration
	targetPieceGap time.Duration
	arrivedAt      time.Duration
	// expires is the time from which on a peer's work counts as ended even if
	// no report has said so.
	expires time.Duration
	// reportedAt is when a peer's report last named the work; 0 for own work.
	reportedAt time.Duration
	// granted is set while the work is known only from this host's choice for a peer, and
	// no report of that peer has named it yet.
	granted bool
}

// ledger lists the work that is known on one upstream.
type ledger struct {
	items []*workItem
	// sum is the sum over all items.
	sum loadSummary
	// prefillDone is the time at which all known prefill is expected to be
	// done.
	prefillDone time.Duration
}

// find returns the work of a request, or nil if there is none.
func (l *ledger) find(key requestKey) *workItem {
	for _, w := range l.items {
		if w.key == key {
			return w
		}
	}
	return nil
}

// add enters work at the given time. A helper's part is prefilled ahead of the
// other prompts, so that it delays those that are still waiting for their
// prefill. A leader's prefill comes after all prefill that is already known.
func (l *ledger) add(w *workItem, now time.Duration) {
	l.sum.count(w, 1)
	if w.isLeader {
		w.prefillEnd = max(l.prefillDone, now) + w.prefillTime
		l.prefillDone = w.prefillEnd
		l.items = append(l.items, w)
		return
	}
	for _, other := range l.items {
		if !other.decoding && other.prefillEnd > now {
			other.prefillEnd += w.prefillTime
		}
	}
	w.prefillEnd = now + w.prefillTime
	l.prefillDone = max(l.prefillDone, now) + w.prefillTime
	l.items = append(l.items, w)
}

// completePrefill records that a prompt has been prefilled. If that was earlier
// than expected, the prompts behind it are expected earlier too.
func (l *ledger) completePrefill(w *workItem, now time.Duration) {
	if w.decoding {
		return
	}
	remaining := min(w.prefillTime, w.prefillEnd-now)
	w.decoding = true
	if remaining <= 0 {
		return
	}
	for _, other := range l.items {
		if !other.decoding && other.prefillEnd > w.prefillEnd {
			other.prefillEnd -= remaining
		}
	}
	l.prefillDone -= remaining
}

// remove deletes the work of a request and reports whether there was any.
func (l *ledger) remove(key requestKey, now time.Duration) bool {
	for i, w := range l.items {
		if w.key == key {
			l.completePrefill(w, now)
			l.items = append(l.items[:i], l.items[i+1:]...)
			l.sum.count(w, -1)
			return true
		}
	}
	return false
}

// backlog returns the prefill time that is still to be done.
func (l *ledger) backlog(now time.Duration) time.Duration {
	return max(0, l.prefillDone-now)
}

// loadSummary sums up the work in a ledger.
type loadSummary struct {
	// leaders is the number of requests that the upstream answers. helperParts
	// is the number of other requests of which it prefills or holds a part.
	leaders     int
	helperParts int
	// contextTokens is the sum over the requests answered here, memoryTokens
	// the sum over all work.
	contextTokens int
	memoryTokens  int
}

// count adds an item to the sums, or takes it out if times is -1.
func (s *loadSummary) count(w *workItem, times int) {
	s.memoryTokens += times * w.memoryTokens
	if w.isLeader {
		s.leaders += times
		s.contextTokens += times * w.contextTokens
	} else {
		s.helperParts += times
	}
}

// load returns the sums over all work in the ledger.
func (l *ledger) load() loadSummary { return l.sum }

// predictPause predicts the longest pause in the streams that this upstream
// decodes, if the given prefill time, decoding requests and context tokens were
// added to its work.
func (l *ledger) predictPause(e *route.Engine, now, morePrefill time.Duration, moreDecoders, moreContextTokens int) time.Duration {
	current := l.load()
	return passTime(e, current.leaders+moreDecoders, current.contextTokens+moreContextTokens) + l.backlog(now) + morePrefill
}

// addedLatenessCost returns what more prefill on this upstream costs the
// requests that are already there: how much later they are expected, compared
// with their objectives. A request whose prompt is being prefilled waits for the last of
// its parts, so that the part that a helper prefills counts too. pauseBefore is the
// predicted pause without the new
// work and pauseAfter the one with it.
func (l *ledger) addedLatenessCost(now, pauseBefore, pauseAfter time.Duration) float64 {
	cost := 0.0
	addedDelay := pauseAfter - pauseBefore
	for _, w := range l.items {
		switch {
		case w.decoding && !w.isLeader:
			continue
		case w.decoding:
			cost += w.weight * (latenessCost(pauseAfter, w.targetPieceGap) - latenessCost(pauseBefore, w.targetPieceGap))
		default:
			firstPieceDelay := max(w.prefillEnd, now) - w.arrivedAt
			delayCost := latenessCost(firstPieceDelay+addedDelay, w.targetLatency) - latenessCost(firstPieceDelay, w.targetLatency)
			if !w.isLeader {
				delayCost *= helperDelayShare
			}
			cost += w.weight * delayCost
		}
	}
	return cost
}
