package workload

import (
	"math"

	"github.com/pkg/errors"
)

// Engine holds the rates and sizes of one engine, which limit what it can
// deliver.
type Engine struct {
	// BaseStepSeconds is the duration, in seconds, of a step that only decodes.
	BaseStepSeconds float64
	// PrefillRate is the speed of prefill in prompt tokens per second. The time
	// that a step spends on prefill is added to BaseStepSeconds.
	PrefillRate float64
	// ChunkTokens is the largest number of prompt tokens that are processed in
	// one step.
	ChunkTokens int
	// MemoryTokens is the size of the KV memory in tokens.
	MemoryTokens int
	// MaxBatch is the largest number of sequences in one step.
	MaxBatch int
}

// Capacity is the highest rate of prompts per second that a fleet of engines can
// deliver at best, and the resource that limits it.
//
// It is calculated from the rates of the engines and the mix of lengths alone. An
// engine that takes r prompts a second makes s steps a second. A step lasts
// BaseStepSeconds plus its prompt tokens divided by PrefillRate; so s is (1 - r
// E[p] / PrefillRate) / BaseStepSeconds for a mean prompt of E[p] tokens. Three
// resources of the engine must not be exceeded: the prompt tokens per step must
// stay within ChunkTokens, the sequences at a time within MaxBatch, and the KV
// memory in use at a time within MemoryTokens. A sequence holds memory for its
// prompt and answer for as long as its prefill at the full chunk rate and the
// decode steps of its answer last. A sequence that is larger than the memory of
// one engine is spread over the fewest engines that can hold it, and these
// prefill it in parallel. The capacity is the greatest r that satisfies all three
// limits, times the number of engines. Waiting, prefix cache hits and unevenly
// loaded engines are left out, so the figure is an upper bound and not a
// forecast.
type Capacity struct {
	// PromptsPerSecond is the total rate of all engines.
	PromptsPerSecond float64
	// Bottleneck names the resource that is used up first: "prefill", "batch" or
	// "memory".
	Bottleneck string
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of the mix.
	MeanPromptTokens, MeanAnswerTokens float64
}

// The resources of an engine that can limit its capacity.
const (
	bottleneckPrefill = "prefill"
	bottleneckBatch   = "batch"
	bottleneckMemory  = "memory"
)

// promptDemand is the mean demand of the mix for the resources of an engine, per
// prompt.
type promptDemand struct {
	promptTokens float64
	answerTokens float64
	// prefillSeconds is the mean time for which a prompt is in prefill.
	prefillSeconds float64
	// prefillTokenSeconds is the mean of the tokens held times the seconds of
	// prefill.
	prefillTokenSeconds float64
	// heldTokens is the mean number of tokens held, of prompt and answer
	// together.
	heldTokens float64
}

// bisections is the number of halvings of the interval in the binary search for
// the capacity.
const bisections = 60

// EstimateCapacity returns the capacity of a number of equal engines for a mix.
// It returns an error unless the number of engines and every rate are positive.
func EstimateCapacity(engines int, e Engine, m Mix) (Capacity, error) {
	if engines < 1 || e.BaseStepSeconds <= 0 || e.PrefillRate <= 0 || e.ChunkTokens < 1 || e.MemoryTokens < 1 || e.MaxBatch < 1 {
		return Capacity{}, errors.Errorf("capacity of %d engines: every rate must be above 0, got %+v", engines, e)
	}
	d := e.meanDemand(m)
	low, high := 0.0, e.PrefillRate/d.promptTokens
	bound := bottleneckPrefill
	for range bisections {
		middle := (low + high) / 2
		use, name := e.utilisation(middle, d)
		if use <= 1 {
			low = middle
			continue
		}
		high, bound = middle, name
	}
	return Capacity{
		PromptsPerSecond: low * float64(engines),
		Bottleneck:       bound,
		MeanPromptTokens: d.promptTokens,
		MeanAnswerTokens: d.answerTokens,
	}, nil
}

// meanDemand returns the mean demand of the prompts of a mix on the engine.
func (e Engine) meanDemand(m Mix) promptDemand {
	answer := m.MeanAnswerTokens()
	fullChunkRate := float64(e.ChunkTokens) / (e.BaseStepSeconds + float64(e.ChunkTokens)/e.PrefillRate)
	prefill := func(tokens float64) float64 {
		engines := math.Ceil((tokens + answer) / float64(e.MemoryTokens))
		return tokens / engines / fullChunkRate
	}
	mean := m.MeanPromptTokens()
	return promptDemand{
		promptTokens:        mean,
		answerTokens:        answer,
		prefillSeconds:      m.MeanOverPrompts(prefill),
		prefillTokenSeconds: m.MeanOverPrompts(func(tokens float64) float64 { return (tokens + answer) * prefill(tokens) }),
		heldTokens:          mean + answer,
	}
}

// utilisation returns the highest utilisation of the three resources of an engine
// at a given rate of prompts, where 1 is full use, and the name of that resource.
func (e Engine) utilisation(rate float64, d promptDemand) (use float64, name string) {
	decodeShare := 1 - rate*d.promptTokens/e.PrefillRate
	if decodeShare <= 0 {
		return math.Inf(1), bottleneckPrefill
	}
	steps := decodeShare / e.BaseStepSeconds
	decodeSeconds := d.answerTokens / steps
	uses := []struct {
		name string
		use  float64
	}{
		{bottleneckPrefill, rate * d.promptTokens / steps / float64(e.ChunkTokens)},
		{bottleneckBatch, rate * (d.prefillSeconds + decodeSeconds) / float64(e.MaxBatch)},
		{bottleneckMemory, rate * (d.prefillTokenSeconds + d.heldTokens*decodeSeconds) / float64(e.MemoryTokens)},
	}
	for _, u := range uses {
		if u.use > use {
			use, name = u.use, u.name
		}
	}
	return use, name
}
