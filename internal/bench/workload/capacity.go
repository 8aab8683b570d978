package workload

import (
	"math"

	"github.com/pkg/errors"
)

// Engine holds the rates of one engine that bound what it can deliver.
type Engine struct {
	// BaseStepSeconds is the time of a step that only decodes, in seconds.
	BaseStepSeconds float64
	// PrefillRate is the speed of prompt processing in tokens a second, which
	// adds to a step's time.
	PrefillRate float64
	// ChunkTokens is the most prompt tokens processed in one step.
	ChunkTokens int
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// MaxBatch is the most sequences in one step.
	MaxBatch int
}

// Capacity is the highest rate of prompts a second that a fleet of engines can
// deliver at best, and what bounds it.
//
// It follows from the engines' rates and the mix alone. An engine that takes r
// prompts a second makes s steps a second, where a step lasts BaseStepSeconds
// plus its prompt tokens over PrefillRate; so s is (1 - r E[p] / PrefillRate)
// over BaseStepSeconds for a mean prompt of E[p] tokens. Three uses of the
// engine have to stay within it: prompt tokens per step within ChunkTokens;
// sequences at a time within MaxBatch; KV memory at a time within MemoryTokens.
// A sequence holds its prompt and answer for as long as its prefill at the
// full chunk rate and its answer's steps last; one that is larger than the
// memory is spread over the fewest engines that hold it, which prefill it side
// by side. The capacity is the greatest r with all three within bounds, times
// the number of engines. Waiting, prefix cache hits and unevenly filled
// engines are left out, so that the figure is a bound and no forecast.
type Capacity struct {
	// PromptsPerSecond is the rate over all engines.
	PromptsPerSecond float64
	// Bottleneck names what is used up first: "prefill", "batch" or "memory".
	Bottleneck string
	// MeanPromptTokens and MeanAnswerTokens are the mix's means.
	MeanPromptTokens, MeanAnswerTokens float64
}

// Uses of an engine, which bound its capacity.
const (
	usePrefill = "prefill"
	useBatch   = "batch"
	useMemory  = "memory"
)

// demand is what the mix asks of an engine per prompt.
type demand struct {
	prompt float64
	answer float64
	// prefillSeconds is the mean time that a prompt is processed.
	prefillSeconds float64
	// prefillMemory is the mean of tokens held times the seconds of prefill.
	prefillMemory float64
	// held is the mean of tokens held.
	held float64
}

// bisections is the number of halvings in the search for the capacity.
const bisections = 60

// EstimateCapacity returns the capacity of a number of equal engines for a mix.
func EstimateCapacity(engines int, e Engine, m Mix) (Capacity, error) {
	if engines < 1 || e.BaseStepSeconds <= 0 || e.PrefillRate <= 0 || e.ChunkTokens < 1 || e.MemoryTokens < 1 || e.MaxBatch < 1 {
		return Capacity{}, errors.Errorf("capacity of %d engines: every rate must be above 0, got %+v", engines, e)
	}
	d := e.demandOf(m)
	low, high := 0.0, e.PrefillRate/d.prompt
	bound := usePrefill
	for range bisections {
		middle := (low + high) / 2
		use, name := e.use(middle, d)
		if use <= 1 {
			low = middle
			continue
		}
		high, bound = middle, name
	}
	return Capacity{
		PromptsPerSecond: low * float64(engines),
		Bottleneck:       bound,
		MeanPromptTokens: d.prompt,
		MeanAnswerTokens: d.answer,
	}, nil
}

func (e Engine) demandOf(m Mix) demand {
	answer := m.MeanAnswerTokens()
	full := float64(e.ChunkTokens) / (e.BaseStepSeconds + float64(e.ChunkTokens)/e.PrefillRate)
	prefill := func(tokens float64) float64 {
		members := math.Ceil((tokens + answer) / float64(e.MemoryTokens))
		return tokens / members / full
	}
	mean := m.MeanPromptTokens()
	return demand{
		prompt:         mean,
		answer:         answer,
		prefillSeconds: m.MeanOverPrompts(prefill),
		prefillMemory:  m.MeanOverPrompts(func(tokens float64) float64 { return (tokens + answer) * prefill(tokens) }),
		held:           mean + answer,
	}
}

// use returns the greatest use of an engine at a rate of prompts, 1 being all of it.
func (e Engine) use(rate float64, d demand) (use float64, name string) {
	idle := 1 - rate*d.prompt/e.PrefillRate
	if idle <= 0 {
		return math.Inf(1), usePrefill
	}
	steps := idle / e.BaseStepSeconds
	decodeSeconds := d.answer / steps
	uses := []struct {
		name string
		use  float64
	}{
		{usePrefill, rate * d.prompt / steps / float64(e.ChunkTokens)},
		{useBatch, rate * (d.prefillSeconds + decodeSeconds) / float64(e.MaxBatch)},
		{useMemory, rate * (d.prefillMemory + d.held*decodeSeconds) / float64(e.MemoryTokens)},
	}
	for _, u := range uses {
		if u.use > use {
			use, name = u.use, u.name
		}
	}
	return use, name
}
