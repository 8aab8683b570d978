package batch

import (
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// step describes the prefill of one pass over the model; decoding needs no
// description, since it always covers all work items that are decoding.
type step struct {
	chunks        []chunk
	prefillTokens int
	duration      time.Duration
}

// chunk is the part of one work item's prompt that a step processes.
type chunk struct {
	work   *entry
	tokens int
}

// Plan selects the prompt chunks of the next step and returns the duration of
// the step. It returns false if there is nothing to prefill or decode.
func (e *Engine) Plan(now time.Duration) (time.Duration, bool) {
	e.advanceClock(now)
	e.plannedStep = step{chunks: e.plannedStep.chunks[:0]}
	budget := e.config.ChunkTokens
	for _, w := range e.queue {
		if budget == 0 {
			break
		}
		if !e.admit(w) {
			continue
		}
		n := min(budget, w.remainingPrompt)
		budget -= n
		e.plannedStep.chunks = append(e.plannedStep.chunks, chunk{work: w, tokens: n})
	}
	e.plannedStep.prefillTokens = e.config.ChunkTokens - budget
	if e.plannedStep.prefillTokens == 0 && len(e.decodingWork) == 0 {
		return 0, false
	}
	e.plannedStep.duration = e.config.stepTime(e.plannedStep.prefillTokens)
	return e.plannedStep.duration, true
}

// stepTime returns the duration of a step that prefills the given number of
// tokens.
func (c Config) stepTime(prefill int) time.Duration {
	return c.BaseStep + time.Duration(float64(prefill)/c.PrefillRate*float64(time.Second))
}

// admit gives a queued work item a place in the batch if one is free, and then
// looks its prompt up in the prefix cache. At least the last prompt token is
// always processed. It reports whether the work item has a place.
func (e *Engine) admit(w *entry) bool {
	if w.inBatch {
		return true
	}
	if e.batchCount >= e.config.MaxBatch {
		return false
	}
	w.inBatch = true
	e.batchCount++
	cached := min(e.cache.lookUp(w.PrefixChain)*api.PrefixBlockTokens, w.remainingPrompt-1)
	w.remainingPrompt -= cached
	e.counters.CachedTokens += uint64(cached)
	return true
}

// Apply carries out the effects of the step that Plan returned last. Chunks of
// work items that were ended in the meantime are skipped.
func (e *Engine) Apply(now time.Duration) {
	e.advanceClock(now)
	decoded := len(e.decodingWork)
	e.decode()
	for _, c := range e.plannedStep.chunks {
		if c.work.state != queued {
			continue
		}
		c.work.remainingPrompt -= c.tokens
		e.counters.PrefilledTokens += uint64(c.tokens)
		if c.work.remainingPrompt == 0 {
			e.finishPrefill(c.work)
		}
	}
	e.rates.observe(e.plannedStep, decoded)
	e.plannedStep = step{chunks: e.plannedStep.chunks[:0]}
}

// decode produces one token for every work item that is decoding.
func (e *Engine) decode() {
	for i := len(e.decodingWork) - 1; i >= 0; i-- {
		e.decodeToken(e.decodingWork[i])
	}
}

// decodeToken produces one token of a work item and ends it at its last token.
func (e *Engine) decodeToken(w *entry) {
	w.producedTokens++
	e.counters.DecodedTokens++
	if w.producedTokens >= w.MaxTokens {
		e.counters.Finished++
		e.endWork(w, api.FinishLength)
		return
	}
	w.notify()
}

// finishPrefill moves a work item whose prompt is processed to its next state: a
// member's share keeps its memory, a leader may have to wait for its members,
// and any other work item starts decoding.
func (e *Engine) finishPrefill(w *entry) {
	e.queue = removeEntry(e.queue, w)
	e.cache.add(w.PrefixChain, e.cacheLimitBlocks())
	w.PrefixChain = nil
	switch {
	case w.IsMember:
		w.state = sharePrefilled
		w.inBatch = false
		e.batchCount--
		w.notify()
	case w.IsLeader && !w.membersPrefilled:
		w.state = awaitingMembers
		w.notify()
	default:
		e.startDecoding(w)
	}
}

// startDecoding produces the first token, which results from the last part of
// the prompt.
func (e *Engine) startDecoding(w *entry) {
	w.state = decoding
	e.decodingWork = append(e.decodingWork, w)
	e.decodeToken(w)
}
