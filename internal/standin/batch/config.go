// Package batch is the simulated core of a continuous-batching engine: KV
// memory, queue, chunked prefill, decoding, prefix cache and cancellation.
//
// An Engine reads no clock and starts nothing. Its owner calls Plan to learn
// how long the next step takes, waits so long, and calls Apply. Other methods
// may come in between. The owner serialises all calls.
package batch

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config describes a simulated engine.
type Config struct {
	// MaxBatch is the most sequences prefilled or decoded at a time. More
	// raises throughput, fewer bounds the step's cost.
	MaxBatch int
	// BaseStep is the time of a step that decodes one token of every running
	// sequence. Shorter is a faster engine.
	BaseStep time.Duration
	// PrefillRate is the speed of prompt processing in tokens a second.
	PrefillRate float64
	// ChunkTokens is the most prompt tokens processed in one step. Larger
	// finishes long prompts sooner, smaller keeps decoding smooth.
	ChunkTokens int
	// MemoryTokens is the KV memory in tokens, shared by works and the cache.
	MemoryTokens int
	// MaxWaiting is the most works whose prompt is not yet processed. More
	// queues in the engine, fewer refuses earlier.
	MaxWaiting int
	// KeepFinished is how long a finished answer can still be resumed. Longer
	// survives longer silences, shorter remembers fewer works.
	KeepFinished time.Duration
	// KeepCancelled is how many cancelled works are remembered, so that a
	// late start of them is refused.
	KeepCancelled int
	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// EventLoss is the share of cache events never published, from 0 to 1.
	EventLoss float64
	// KeepEvents is how many cache events can be asked for again.
	KeepEvents int
	// FirstSequence is the number of the first cache event. An engine that
	// starts anew must begin above all that it gave before.
	FirstSequence uint64
	// Seed drives the loss of events.
	Seed uint64
}

// DefaultConfig is an engine of four accelerators that serves a model of 8
// billion parameters in FP8. docs/ENGINES.md gives the reasons.
func DefaultConfig() Config {
	return Config{
		MaxBatch:      128,
		BaseStep:      18 * time.Millisecond,
		PrefillRate:   160_000,
		ChunkTokens:   4096,
		MemoryTokens:  400_000,
		MaxWaiting:    1024,
		KeepFinished:  10 * time.Second,
		KeepCancelled: 65_536,
		EventDelay:    500 * time.Millisecond,
		EventLoss:     0.01,
		KeepEvents:    16_384,
		FirstSequence: 1,
		Seed:          1,
	}
}

// Validate returns every field out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	positive := func(name string, ok bool) {
		if !ok {
			l.Add(name, "must be above 0")
		}
	}
	positive("MaxBatch", c.MaxBatch > 0)
	positive("BaseStep", c.BaseStep > 0)
	positive("PrefillRate", c.PrefillRate > 0)
	positive("ChunkTokens", c.ChunkTokens > 0)
	positive("MemoryTokens", c.MemoryTokens > 0)
	positive("MaxWaiting", c.MaxWaiting > 0)
	positive("KeepCancelled", c.KeepCancelled > 0)
	positive("KeepEvents", c.KeepEvents > 0)
	positive("FirstSequence", c.FirstSequence > 0)
	if c.EventLoss < 0 || c.EventLoss > 1 {
		l.Add("EventLoss", "must be from 0 to 1")
	}
	if c.KeepFinished < 0 {
		l.Add("KeepFinished", "must not be negative")
	}
	if c.EventDelay < 0 {
		l.Add("EventDelay", "must not be negative")
	}
	return l
}
