// Package batch simulates the scheduler and the memory of a continuous-batching
// inference engine: KV memory, the queue, chunked prefill, decoding, the prefix
// cache and cancellation.
//
// An Engine reads no clock and starts no goroutine. The parameter now of its
// methods is the present time, as the duration since a fixed moment that the owner
// chooses. Its owner calls Plan to get
// the duration of the next step, waits for that long, and then calls Apply. The
// other methods may be called between the two. An Engine is not safe for
// concurrent use: the owner must serialise all calls.
package batch

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the parameters of a simulated engine.
type Config struct {
	// MaxBatch is the highest number of sequences that are prefilled or decoded
	// at the same time. A higher value raises the throughput; a lower one bounds
	// the time of a step.
	MaxBatch int
	// BaseStep is the duration of a step that produces one token of every sequence
	// that is decoding and prefills nothing. A shorter value simulates a faster
	// engine.
	BaseStep time.Duration
	// PrefillRate is the speed of prompt processing in tokens a second.
	PrefillRate float64
	// ChunkTokens is the highest number of prompt tokens that one step
	// processes. A larger value finishes long prompts sooner; a smaller one
	// keeps the gaps between decoded tokens even.
	ChunkTokens int
	// MemoryTokens is the size of the KV memory in tokens, which the work items
	// and the prefix cache share.
	MemoryTokens int
	// MaxWaiting is the highest number of work items whose prompt is not fully
	// processed. A higher value lets more requests queue in the engine; a lower
	// one makes the engine refuse them earlier.
	MaxWaiting int
	// KeepFinished is the time for which a finished answer can still be resumed.
	// A longer value tolerates longer losses of the connection; a shorter one
	// keeps fewer work items in memory.
	KeepFinished time.Duration
	// KeepCancelled is the number of cancelled work items that the engine
	// remembers, so that it refuses them if their start arrives after the
	// cancel.
	KeepCancelled int
	// EventDelay is the time between a change of the cache and the publication
	// of its event.
	EventDelay time.Duration
	// EventLoss is the share of cache events that are never published, from 0 to
	// 1.
	EventLoss float64
	// KeepEvents is the number of newest cache events that a client can still
	// request.
	KeepEvents int
	// FirstSequence is the sequence number of the first cache event. An engine
	// that restarts must begin above every number that it used before.
	FirstSequence uint64
	// Seed initialises the random generator that selects the lost cache events.
	Seed uint64
}

// DefaultConfig returns the parameters of an engine with four accelerators that
// serves a model of 8 billion parameters in FP8. docs/ENGINES.md gives the
// reasons for the values.
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

// Validate returns a finding for every field that is out of range.
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
