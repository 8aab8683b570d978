package balance

import (
	"math"
	"time"
)

// Fair shares of prompt lengths. The cost of placing a prompt grows faster with its length
// than its weight does, so that a limit on the cost alone would refuse by length.
const (
	// shareHalfLife is the time after which a request counts half in the shares and in the
	// harm budget. It covers a few changes of the mix of requests.
	shareHalfLife = 10 * time.Second
	// minBandTokens is the length from which prompts have shares, bandRatio the ratio of
	// the lengths at which a band of lengths ends and begins. Wider bands hide that their
	// longest prompts are refused; narrower ones hold too few prompts to compare.
	minBandTokens = 10000
	bandRatio     = 1.5
	// assumedRequests is the number of requests with which the share of a band begins,
	// placed as often as those of the other bands.
	assumedRequests = 2.0
	// deficitGain is how much more harm a prompt may do for each part by which its band is
	// placed less often than the others: 10 means twice the harm at nine tenths of their
	// share. maxHarmFactor bounds it.
	deficitGain   = 10.0
	maxHarmFactor = 6.0
	// harmBudgetShare is the harm that prompts above postponeCost may do together, as a
	// share of the weight of all requests. A larger one serves more of the longest prompts
	// and makes more short ones late.
	harmBudgetShare = 0.25
	// uncoordinatedBudgetShare is the same on hosts that choose for themselves. They can't
	// keep servers free of short streams, so that a long prompt harms more of them.
	uncoordinatedBudgetShare = 0.05
	// maxStreamStall is the longest prefill that a prompt above postponeCost may put before
	// the next event of a stream. With a longer one, streams reach minPieceTimeout.
	maxStreamStall = 1500 * time.Millisecond
	// maxRequestKinds is the largest number of kinds of requests whose shares are kept.
	maxRequestKinds = 256
)

// decayedSum is a sum whose parts count half after shareHalfLife.
type decayedSum struct {
	value     float64
	updatedAt time.Duration
}

// at returns the sum at the given time.
func (s *decayedSum) at(now time.Duration) float64 {
	return s.value * math.Exp2(-float64(now-s.updatedAt)/float64(shareHalfLife))
}

// add adds a part.
func (s *decayedSum) add(amount float64, now time.Duration) {
	s.value, s.updatedAt = s.at(now)+amount, now
}

// placedCount counts requests for which servers were looked for, and those that got some.
type placedCount struct{ requests, placed decayedSum }

// lengthShares compares, among the requests of one kind, how often prompts of different
// lengths get servers.
type lengthShares struct {
	all   placedCount
	bands map[int]*placedCount
}

// bandOf returns the number of the band that holds prompts of the given length.
func bandOf(tokens int) int {
	return int(math.Log(float64(tokens)/minBandTokens) / math.Log(bandRatio))
}

// record counts a request, or its placement.
func (s *lengthShares) record(tokens int, placed bool, now time.Duration) {
	b := s.bands[bandOf(tokens)]
	if b == nil {
		b = &placedCount{}
		s.bands[bandOf(tokens)] = b
	}
	for _, count := range []*placedCount{&s.all, b} {
		if placed {
			count.placed.add(1, now)
		} else {
			count.requests.add(1, now)
		}
	}
}

// harmFactor returns by how much the harm that a prompt of the given length may do exceeds
// postponeCost: it is 1 for a band that is placed as often as the others of its kind, and
// rises as the band falls behind.
func (s *lengthShares) harmFactor(tokens int, now time.Duration) float64 {
	b := s.bands[bandOf(tokens)]
	if b == nil {
		return 1
	}
	requests, placed := b.requests.at(now), b.placed.at(now)
	otherShare := (s.all.placed.at(now) - placed + assumedRequests) / (s.all.requests.at(now) - requests + assumedRequests)
	share := (placed + assumedRequests*otherShare) / (requests + assumedRequests)
	return min(maxHarmFactor, 1+deficitGain*max(0, 1-share/otherShare))
}

// requestKind identifies requests that are compared with each other: those of one service
// with the same objectives.
type requestKind struct {
	service                       string
	targetLatency, targetPieceGap time.Duration
}

// fairness keeps the shares of all kinds of requests, and what their prompts may cost other
// requests together. Its memory is bounded by maxRequestKinds.
type fairness struct {
	kinds map[requestKind]*lengthShares
	// weight is that of all requests for which servers were looked for, harm what prompts
	// did beyond postponeCost.
	weight, harm decayedSum
}

// newFairness returns an account without requests.
func newFairness() fairness { return fairness{kinds: make(map[requestKind]*lengthShares)} }

// sharesOf returns the shares of the kind of a request; nil if it has none.
func (f *fairness) sharesOf(r *request, now time.Duration) *lengthShares {
	if r.PromptTokens < minBandTokens {
		return nil
	}
	kind := requestKind{r.Service, r.Route.TargetLatency, r.Route.TargetPieceGap}
	if f.kinds[kind] == nil {
		if len(f.kinds) >= maxRequestKinds {
			f.forgetIdle(now)
		}
		if len(f.kinds) >= maxRequestKinds {
			return nil
		}
		f.kinds[kind] = &lengthShares{bands: make(map[int]*placedCount)}
	}
	return f.kinds[kind]
}

// forgetIdle drops the kinds that have had no request for long.
func (f *fairness) forgetIdle(now time.Duration) {
	const negligible = 0.01
	for kind, shares := range f.kinds {
		if shares.all.requests.at(now) < negligible {
			delete(f.kinds, kind)
		}
	}
}

// recordRequest counts a request when servers are first looked for.
func (f *fairness) recordRequest(r *request, now time.Duration) {
	if r.counted {
		return
	}
	r.counted = true
	f.weight.add(r.weight, now)
	if shares := f.sharesOf(r, now); shares != nil {
		shares.record(r.PromptTokens, false, now)
	}
}

// recordPlacement counts a request that gets servers.
func (f *fairness) recordPlacement(r *request, now time.Duration) {
	if r.countedPlaced {
		return
	}
	r.countedPlaced = true
	if shares := f.sharesOf(r, now); shares != nil {
		shares.record(r.PromptTokens, true, now)
	}
}

// harmLimit returns the harm that a request may do, as a multiple of its weight.
func (f *fairness) harmLimit(r *request, now time.Duration) float64 {
	if shares := f.sharesOf(r, now); shares != nil {
		return postponeCost * shares.harmFactor(r.PromptTokens, now)
	}
	return postponeCost
}

// budgetShare returns the harm budget of this host, as a share of the weight of all requests.
func (c *Core) budgetShare() float64 {
	if c.coordinates() {
		return harmBudgetShare
	}
	return uncoordinatedBudgetShare
}

// bears reports whether a request may be placed at the given cost to others. What exceeds
// postponeCost is taken from the harm budget, and must not break off streams.
func (f *fairness) bears(r *request, costToOthers float64, stallsStreams bool, budgetShare float64, now time.Duration) bool {
	if costToOthers <= postponeCost*r.weight {
		return true
	}
	if stallsStreams || costToOthers > f.harmLimit(r, now)*r.weight || f.harm.at(now)+costToOthers > budgetShare*f.weight.at(now) {
		return false
	}
	f.harm.add(costToOthers, now)
	return true
}
