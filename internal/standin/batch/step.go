package batch

import (
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// step is what one pass over the model does besides decoding.
type step struct {
	chunks   []chunk
	prefill  int
	duration time.Duration
}

// chunk is a part of one prompt.
type chunk struct {
	work   *entry
	tokens int
}

// Plan chooses the next step and returns its duration; false means that there
// is nothing to do.
func (e *Engine) Plan(now time.Duration) (time.Duration, bool) {
	e.advance(now)
	e.plan = step{chunks: e.plan.chunks[:0]}
	budget := e.config.ChunkTokens
	for _, w := range e.queue {
		if budget == 0 {
			break
		}
		if !e.admit(w) {
			continue
		}
		n := min(budget, w.left)
		budget -= n
		e.plan.chunks = append(e.plan.chunks, chunk{work: w, tokens: n})
	}
	e.plan.prefill = e.config.ChunkTokens - budget
	if e.plan.prefill == 0 && len(e.running) == 0 {
		return 0, false
	}
	e.plan.duration = e.config.stepTime(e.plan.prefill)
	return e.plan.duration, true
}

func (c Config) stepTime(prefill int) time.Duration {
	return c.BaseStep + time.Duration(float64(prefill)/c.PrefillRate*float64(time.Second))
}

// admit gives a queued work a place in the batch and looks its prompt up in
// the cache when it gets one. The last token is always processed.
func (e *Engine) admit(w *entry) bool {
	if w.inBatch {
		return true
	}
	if e.inBatch >= e.config.MaxBatch {
		return false
	}
	w.inBatch = true
	e.inBatch++
	cached := min(e.cache.hits(w.PrefixChain)*api.PrefixBlockTokens, w.left-1)
	w.left -= cached
	e.counters.CachedTokens += uint64(cached)
	return true
}

// Apply takes the effects of the step planned last.
func (e *Engine) Apply(now time.Duration) {
	e.advance(now)
	decoded := len(e.running)
	e.decode()
	for _, c := range e.plan.chunks {
		if c.work.state != queued {
			continue
		}
		c.work.left -= c.tokens
		e.counters.PrefilledTokens += uint64(c.tokens)
		if c.work.left == 0 {
			e.prefilled(c.work)
		}
	}
	e.rates.observe(e.plan, decoded)
	e.plan = step{chunks: e.plan.chunks[:0]}
}

// decode produces one token of every running work.
func (e *Engine) decode() {
	for i := len(e.running) - 1; i >= 0; i-- {
		e.produce(e.running[i])
	}
}

func (e *Engine) produce(w *entry) {
	w.produced++
	e.counters.DecodedTokens++
	if w.produced >= w.MaxTokens {
		e.counters.Finished++
		e.end(w, api.FinishLength)
		return
	}
	w.notify()
}

func (e *Engine) prefilled(w *entry) {
	e.queue = without(e.queue, w)
	e.cache.add(w.PrefixChain, e.cacheLimit())
	w.PrefixChain = nil
	switch {
	case w.IsMember:
		w.state = kept
		w.inBatch = false
		e.inBatch--
		w.notify()
	case w.IsLeader && !w.membersDone:
		w.state = joining
		w.notify()
	default:
		e.startDecoding(w)
	}
}

// startDecoding produces the first token, which the last part of the prompt yields.
func (e *Engine) startDecoding(w *entry) {
	w.state = decoding
	e.running = append(e.running, w)
	e.produce(w)
}
