package batch

import (
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// smoothing is the weight of the newest step in an observed rate.
const smoothing = 0.1

// observed are rates as an engine sees them, smoothed over steps.
type observed struct {
	prefill float64 // tokens a second, of steps with a full chunk
	step    float64 // seconds, of steps that decode
	chunk   int
}

func newObserved(c Config) observed {
	full := c.stepTime(c.ChunkTokens)
	return observed{
		prefill: float64(c.ChunkTokens) / full.Seconds(),
		step:    c.BaseStep.Seconds(),
		chunk:   c.ChunkTokens,
	}
}

func (o *observed) observe(s step, decoded int) {
	seconds := s.duration.Seconds()
	if seconds <= 0 {
		return
	}
	if s.prefill == o.chunk {
		o.prefill += smoothing * (float64(s.prefill)/seconds - o.prefill)
	}
	if decoded > 0 {
		o.step += smoothing * (seconds - o.step)
	}
}

// Load returns the engine's report on itself; the owner adds the sequence and the models.
func (e *Engine) Load(now time.Duration) api.Load {
	e.advance(now)
	l := api.Load{
		Running:     e.inBatch,
		MemoryUsed:  e.counters.HeldTokens,
		MemoryTotal: e.config.MemoryTokens,
		PrefillRate: e.rates.prefill,
		DecodeStep:  e.rates.step,
	}
	for _, w := range e.queue {
		l.PrefillBacklog += w.left
		if !w.inBatch {
			l.Waiting++
		}
	}
	return l
}

// ObserverOf returns the observer of a work that goes on or can be resumed.
func (e *Engine) ObserverOf(now time.Duration, work api.WorkID) (Observer, bool) {
	e.advance(now)
	w := e.works[work]
	if w == nil || w.Observer == nil || w.IsMember {
		return nil, false
	}
	return w.Observer, true
}

// CachedBlocks returns how many leading blocks of the chain are in the cache.
func (e *Engine) CachedBlocks(now time.Duration, chain []uint64) int {
	e.advance(now)
	return e.cache.hits(chain)
}

// ImportBlocks puts blocks into the cache, as far as memory allows.
func (e *Engine) ImportBlocks(now time.Duration, chain []uint64) {
	e.advance(now)
	e.cache.add(chain, e.cacheLimit())
}
