package dispatch

import "time"

// cost is the predicted work of one request.
type cost struct {
	// uncachedTokens is the number of prompt tokens that the engine has to
	// process.
	uncachedTokens int
	// prefillTime is the time that one engine takes to process them when it
	// does nothing else.
	prefillTime time.Duration
	// decodeTime is the time to generate the answer.
	decodeTime time.Duration
	// engineTime is the request's use of an engine, as the time of one whole
	// engine. It is the larger of its uses of the two resources, prefill
	// capacity and memory: of prefillTime, and of the request's time on the
	// engine times its share of the engine's memory.
	engineTime time.Duration
}

// timeForTokens returns the time to process tokens at a rate in tokens a
// second.
func timeForTokens(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// fleetTotals sums what the usable engines of one model offer.
type fleetTotals struct {
	// The backlog is in prompt tokens, the rate in tokens a second, and the
	// memory in tokens. memoryFree leaves out the headroom.
	engines           int
	totalPrefillRate  float64
	totalMemory       int
	memoryFree        int
	backlog           int
	slowestDecodeStep time.Duration
}

// meanPrefillRate returns the mean prefill rate of an engine, in tokens a
// second.
func (f *fleetTotals) meanPrefillRate() float64 {
	return f.totalPrefillRate / float64(f.engines)
}

// meanMemory returns the mean memory of an engine, in tokens.
func (f *fleetTotals) meanMemory() int {
	return f.totalMemory / f.engines
}

// sumFleet sums up the engines that a model's requests may go to.
func (c *Core) sumFleet(now time.Duration, engines []*upstream) fleetTotals {
	var f fleetTotals
	for _, u := range engines {
		f.engines++
		f.totalPrefillRate += u.prefillRate(&c.cfg)
		f.totalMemory += u.memoryTotal(&c.cfg)
		f.memoryFree += max(0, u.memoryFree(&c.cfg))
		f.backlog += u.backlog(now)
		f.slowestDecodeStep = max(f.slowestDecodeStep, u.decodeStep(&c.cfg))
	}
	return f
}

// estimateCost predicts a request's work on the given fleet when cachedTokens
// tokens of its prompt need no processing.
func (c *Core) estimateCost(r *request, f *fleetTotals, cachedTokens int) cost {
	k := cost{uncachedTokens: max(1, r.PromptTokens-cachedTokens)}
	k.prefillTime = timeForTokens(k.uncachedTokens, f.meanPrefillRate())
	k.decodeTime = time.Duration(r.MaxTokens-r.deliveredTokens) * f.slowestDecodeStep
	occupancy := float64(r.totalTokens()) / float64(f.meanMemory())
	residencyTime := time.Duration(occupancy * float64(k.prefillTime+k.decodeTime))
	k.engineTime = max(k.prefillTime, residencyTime)
	return k
}

// groupSize returns the number of engines over which a prompt is spread:
// minSize is the number that its memory needs, and preferredSize may be larger
// to shorten a long prefill.
func (c *Core) groupSize(r *request, f *fleetTotals) (minSize, preferredSize int) {
	usableMemory := int(float64(f.meanMemory()) * (1 - c.cfg.MemoryHeadroom))
	minSize = max(1, ceilDiv(r.totalTokens(), max(1, usableMemory)))
	if minSize > 1 {
		// The leader holds the answer in addition to its part of the prompt.
		minSize = max(minSize, ceilDiv(r.PromptTokens, max(1, usableMemory-r.MaxTokens)))
	}
	spread := ceilDiv(r.cost.uncachedTokens, c.cfg.SpreadTokens)
	preferredSize = max(minSize, min(spread, c.cfg.MaxGroup, f.engines))
	return minSize, preferredSize
}

// waitCorrection corrects predicted waits by a moving average of the ratio of
// observed to predicted waits.
type waitCorrection struct {
	// meanRatio is that average; it is 0 before the first observation.
	meanRatio float64
}

// Limits of one observed ratio, the weight of a new observation in the moving
// average, and the shortest predicted wait that is observed.
const (
	minWaitRatio     = 0.5
	maxWaitRatio     = 4
	waitRatioWeight  = 0.02
	minCorrectedWait = 50 * time.Millisecond
)

// observe takes a predicted wait and the actual one into account.
func (w *waitCorrection) observe(predicted, actual time.Duration) {
	if predicted < minCorrectedWait {
		return
	}
	ratio := float64(actual) / float64(predicted)
	ratio = min(max(ratio, minWaitRatio), maxWaitRatio)
	w.meanRatio = w.factor()*(1-waitRatioWeight) + ratio*waitRatioWeight
}

// factor returns the number by which a predicted wait is multiplied.
func (w *waitCorrection) factor() float64 {
	if w.meanRatio == 0 {
		return 1
	}
	return w.meanRatio
}

// residencyEstimator observes how long requests stay in engine memory, weighted
// by their size in tokens.
type residencyEstimator struct {
	// tokenSeconds is the weighted sum of the products of residency and size,
	// and tokens the weighted sum of the sizes.
	tokenSeconds float64
	tokens       float64
}

// residencyDecay is the factor by which the weight of all earlier observations
// falls with each new one.
const residencyDecay = 0.995

// observe takes the residency of one finished request into account.
func (m *residencyEstimator) observe(residency time.Duration, tokens int) {
	m.tokenSeconds = m.tokenSeconds*residencyDecay + residency.Seconds()*float64(tokens)
	m.tokens = m.tokens*residencyDecay + float64(tokens)
}

// mean returns the weighted mean residency; it is 0 before the first
// observation.
func (m *residencyEstimator) mean() time.Duration {
	if m.tokens == 0 {
		return 0
	}
	return time.Duration(m.tokenSeconds / m.tokens * float64(time.Second))
}
