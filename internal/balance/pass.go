package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// readTime is how long an engine takes to read a part of a prompt: its own
// tokens and its share of the pairs of the whole prompt.
func readTime(e *route.Engine, prompt, parts int) time.Duration {
	const million = 1e6
	tokens := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / million / float64(parts)
	steps := 0.0
	if e.PrefillChunkTokens > 0 {
		steps = tokens / float64(e.PrefillChunkTokens)
	}
	return time.Duration(tokens*float64(e.PrefillTimePerToken) + pairs*float64(e.PrefillTimePerMillionPairs) + steps*float64(e.StepTime))
}

// passTime is the time of one pass in which the writers given write, without
// any reading.
func passTime(e *route.Engine, writers, contextTokens int) time.Duration {
	step := e.StepTime + time.Duration(writers)*e.StepTimePerSequence + time.Duration(float64(contextTokens)*float64(e.StepTimePerContextToken))
	return time.Duration(e.StepsPerPass) * step
}

// weight is how much an answer counts: longer prompts ask for more.
func weight(prompt int) float64 {
	return 1 + float64(prompt)/tokensPerWeight
}

// lateness is the part of an answer's worth that a predicted time risks
// against its objective.
func lateness(predicted, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(predicted) / float64(objective)
	switch {
	case x <= comfort:
		return 0
	case x <= 1:
		return lateLoss * (x - comfort) / (1 - comfort)
	default:
		return lateLoss + (1-lateLoss)*min(1, (x-1)/(abandonAt-1))
	}
}
