package batch

import (
	"math/rand/v2"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// eventLog keeps the latest cache events. It publishes each one after a delay,
// and drops a random share of them.
type eventLog struct {
	maxKept         int
	delay           time.Duration
	lossProbability float64
	random          *rand.Rand
	lastSequence    uint64 // sequence number of the newest event, lost ones included
	events          []scheduledEvent
}

// scheduledEvent is a cache event with the time at which it is published.
type scheduledEvent struct {
	api.CacheEvent
	publishAt time.Duration
}

func newEventLog(c Config) *eventLog {
	return &eventLog{
		maxKept: c.KeepEvents, delay: c.EventDelay, lossProbability: c.EventLoss,
		lastSequence: c.FirstSequence - 1,
		random:       rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
}

func (l *eventLog) add(now time.Duration, prefix uint64, evicted bool) {
	l.lastSequence++
	if l.lossProbability > 0 && l.random.Float64() < l.lossProbability {
		return
	}
	if len(l.events) >= 2*l.maxKept {
		l.events = append(l.events[:0], l.events[len(l.events)-l.maxKept:]...)
	}
	l.events = append(l.events, scheduledEvent{
		CacheEvent: api.CacheEvent{Sequence: l.lastSequence, Prefix: prefix, Evicted: evicted},
		publishAt:  now + l.delay,
	})
}

// publishedSince returns at most limit published events whose sequence number is
// at least from. Next of the result is the number from which the following call
// has to ask.
func (l *eventLog) publishedSince(now time.Duration, from uint64, limit int) api.CacheEvents {
	out := api.CacheEvents{Next: max(from, 1)}
	for _, e := range l.events {
		if e.publishAt > now || len(out.Events) == limit {
			break
		}
		if e.Sequence >= from {
			out.Events = append(out.Events, e.CacheEvent)
		}
		out.Next = e.Sequence + 1
	}
	return out
}
