package batch

import (
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// smoothingWeight is the weight of the latest step in the moving average of an
// observed rate.
const smoothingWeight = 0.1

// observedRates holds the rates that an engine measures of itself, as
// exponential moving averages over its steps.
type observedRates struct {
	prefillRate       float64 // tokens a second, from steps with a full chunk
	decodeStepSeconds float64 // seconds, from steps that decode
	chunkTokens       int
}

func newObservedRates(c Config) observedRates {
	full := c.stepTime(c.ChunkTokens)
	return observedRates{
		prefillRate:       float64(c.ChunkTokens) / full.Seconds(),
		decodeStepSeconds: c.BaseStep.Seconds(),
		chunkTokens:       c.ChunkTokens,
	}
}

// observe adds the measurements of one step to the averages. Only steps with a
// full chunk count for the prefill rate, and only steps that decode count for
// the step time.
func (o *observedRates) observe(s step, decoded int) {
	seconds := s.duration.Seconds()
	if seconds <= 0 {
		return
	}
	if s.prefillTokens == o.chunkTokens {
		o.prefillRate += smoothingWeight * (float64(s.prefillTokens)/seconds - o.prefillRate)
	}
	if decoded > 0 {
		o.decodeStepSeconds += smoothingWeight * (seconds - o.decodeStepSeconds)
	}
}

// Load returns the engine's load report. The owner fills in the sequence number
// and the models.
func (e *Engine) Load(now time.Duration) api.LoadReport {
	e.advanceClock(now)
	l := api.LoadReport{
		Running:     e.batchCount,
		MemoryUsed:  e.counters.HeldTokens,
		MemoryTotal: e.config.MemoryTokens,
		PrefillRate: e.rates.prefillRate,
		DecodeStep:  e.rates.decodeStepSeconds,
	}
	for _, w := range e.queue {
		l.PrefillBacklog += w.remainingPrompt
		if !w.inBatch {
			l.Waiting++
		}
	}
	return l
}

// ObserverOf returns the observer of a work item that is in progress or can
// still be resumed. It returns false for unknown work items and for members'
// shares.
func (e *Engine) ObserverOf(now time.Duration, work api.WorkID) (Observer, bool) {
	e.advanceClock(now)
	w := e.workByID[work]
	if w == nil || w.Observer == nil || w.IsMember {
		return nil, false
	}
	return w.Observer, true
}

// CachedBlocks returns how many leading blocks of the chain are in the prefix
// cache, and marks them as used.
func (e *Engine) CachedBlocks(now time.Duration, chain []uint64) int {
	e.advanceClock(now)
	return e.cache.lookUp(chain)
}

// ImportBlocks adds the leading blocks of the chain to the prefix cache, as many
// as the free memory allows.
func (e *Engine) ImportBlocks(now time.Duration, chain []uint64) {
	e.advanceClock(now)
	e.cache.add(chain, e.cacheLimitBlocks())
}
