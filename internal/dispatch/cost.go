package dispatch

import "time"

// cost is the predicted work of a request.
type cost struct {
	// uncached is the number of prompt tokens to process.
	uncached int
	// prefill is the time to process them alone on one engine.
	prefill time.Duration
	// decode is the time to generate the answer.
	decode time.Duration
	// service is the engine time the request takes of the scarcest resource.
	service time.Duration
}

func tokensTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// fleetModel sums what the usable engines of one model offer.
type fleetModel struct {
	engines    int
	rate       float64
	memory     int
	memoryFree int
	backlog    int
	step       time.Duration
}

func (f *fleetModel) meanRate() float64 {
	return f.rate / float64(f.engines)
}

func (f *fleetModel) meanMemory() int {
	return f.memory / f.engines
}

// fleet sums up the engines that a model's requests may go to.
func (c *Core) fleet(now time.Duration, engines []*upstream) fleetModel {
	var f fleetModel
	for _, u := range engines {
		f.engines++
		f.rate += u.prefillRate(&c.cfg)
		f.memory += u.memoryTotal(&c.cfg)
		f.memoryFree += max(0, u.memoryFree(&c.cfg))
		f.backlog += u.backlog(now)
		f.step = max(f.step, u.decodeStep(&c.cfg))
	}
	return f
}

// estimate predicts a request's work on the fleet given.
func (c *Core) estimate(r *request, f *fleetModel, cached int) cost {
	k := cost{uncached: max(1, r.PromptTokens-cached)}
	k.prefill = tokensTime(k.uncached, f.meanRate())
	k.decode = time.Duration(r.MaxTokens-r.delivered) * f.step
	occupancy := float64(r.totalTokens()) / float64(f.meanMemory())
	resident := time.Duration(occupancy * float64(k.prefill+k.decode))
	k.service = max(k.prefill, resident)
	return k
}

// groupSize is the number of engines over which a prompt is spread: as many
// as its memory needs, and more for a long prefill.
func (c *Core) groupSize(r *request, f *fleetModel) (least, wanted int) {
	usable := int(float64(f.meanMemory()) * (1 - c.cfg.MemoryHeadroom))
	least = max(1, divideUp(r.totalTokens(), max(1, usable)))
	if least > 1 {
		// The leader holds the answer besides its part of the prompt.
		least = max(least, divideUp(r.PromptTokens, max(1, usable-r.MaxTokens)))
	}
	spread := divideUp(r.cost.uncached, c.cfg.SpreadTokens)
	wanted = max(least, min(spread, c.cfg.MaxGroup, f.engines))
	return least, wanted
}

// waitModel corrects predicted waits by observed ones.
type waitModel struct {
	bias float64
}

// Bounds and weight of the correction.
const (
	waitBiasMin    = 0.5
	waitBiasMax    = 4
	waitBiasWeight = 0.02
	waitBiasFloor  = 50 * time.Millisecond
)

func (w *waitModel) observe(predicted, actual time.Duration) {
	if predicted < waitBiasFloor {
		return
	}
	ratio := float64(actual) / float64(predicted)
	ratio = min(max(ratio, waitBiasMin), waitBiasMax)
	w.bias = w.factor()*(1-waitBiasWeight) + ratio*waitBiasWeight
}

func (w *waitModel) factor() float64 {
	if w.bias == 0 {
		return 1
	}
	return w.bias
}

// residencyModel observes how long work stays in memory, weighted by tokens.
type residencyModel struct {
	seconds float64
	tokens  float64
}

// residencyDecay weighs earlier observations down with each new one.
const residencyDecay = 0.995

func (m *residencyModel) observe(stay time.Duration, tokens int) {
	m.seconds = m.seconds*residencyDecay + stay.Seconds()*float64(tokens)
	m.tokens = m.tokens*residencyDecay + float64(tokens)
}

func (m *residencyModel) mean() time.Duration {
	if m.tokens == 0 {
		return 0
	}
	return time.Duration(m.seconds / m.tokens * float64(time.Second))
}
