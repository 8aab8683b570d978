package batch

import (
	"math/rand/v2"
	"time"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// eventLog keeps the newest cache events and publishes them late, some never.
type eventLog struct {
	keep   int
	delay  time.Duration
	loss   float64
	random *rand.Rand
	last   uint64 // sequence of the newest event, lost ones included
	events []datedEvent
}

type datedEvent struct {
	api.CacheEvent
	due time.Duration
}

func newEventLog(c Config) *eventLog {
	return &eventLog{
		keep: c.KeepEvents, delay: c.EventDelay, loss: c.EventLoss,
		last:   c.FirstSequence - 1,
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
}

func (l *eventLog) add(now time.Duration, prefix uint64, evicted bool) {
	l.last++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	if len(l.events) >= 2*l.keep {
		l.events = append(l.events[:0], l.events[len(l.events)-l.keep:]...)
	}
	l.events = append(l.events, datedEvent{
		CacheEvent: api.CacheEvent{Sequence: l.last, Prefix: prefix, Evicted: evicted},
		due:        now + l.delay,
	})
}

// since returns at most limit events from the sequence given that are due.
func (l *eventLog) since(now time.Duration, from uint64, limit int) api.CacheEvents {
	out := api.CacheEvents{Next: max(from, 1)}
	for _, e := range l.events {
		if e.due > now || len(out.Events) == limit {
			break
		}
		if e.Sequence >= from {
			out.Events = append(out.Events, e.CacheEvent)
		}
		out.Next = e.Sequence + 1
	}
	return out
}
