package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// prefillTime returns how long an engine takes to prefill one of the given
// number of equal parts of a prompt: the tokens of the part, and its share of
// the token pairs of the whole prompt.
func prefillTime(e *route.Engine, promptTokens, parts int) time.Duration {
	const million = 1e6
	tokens := float64(promptTokens) / float64(parts)
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / million / float64(parts)
	steps := 0.0
	if e.PrefillChunkTokens > 0 {
		steps = tokens / float64(e.PrefillChunkTokens)
	}
	return time.Duration(tokens*float64(e.PrefillTimePerToken) + pairs*float64(e.PrefillTimePerMillionPairs) + steps*float64(e.StepTime))
}

// passTime returns the time of one pass in which the given number of requests
// decode, without any prefill. contextTokens is the sum of their contexts.
func passTime(e *route.Engine, decoders, contextTokens int) time.Duration {
	stepTime := e.StepTime + time.Duration(decoders)*e.StepTimePerSequence + time.Duration(float64(contextTokens)*float64(e.StepTimePerContextToken))
	return time.Duration(e.StepsPerPass) * stepTime
}

// requestWeight returns how much the answer to a prompt of the given length
// counts when costs are compared. Longer prompts count more, because they ask
// for more.
func requestWeight(promptTokens int) float64 {
	return 1 + float64(promptTokens)/tokensPerWeight
}

// latenessCost returns the share of an answer's worth, from 0 to 1, that is
// expected to be lost with a predicted time and an objective for it. It is 0 up
// to costFreeShare of the objective, and rises from there.
func latenessCost(predicted, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	ratio := float64(predicted) / float64(objective)
	switch {
	case ratio <= costFreeShare:
		return 0
	case ratio <= 1:
		return lateAnswerLoss * (ratio - costFreeShare) / (1 - costFreeShare)
	default:
		return lateAnswerLoss + (1-lateAnswerLoss)*min(1, (ratio-1)/(abandonMultiple-1))
	}
}
