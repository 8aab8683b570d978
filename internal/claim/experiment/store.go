package experiment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/platform"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// AnyBase makes a write unconditional. The platform has no such write; the
// naive engine of the differential tests uses it.
const AnyBase = ^uint64(0)

// store is the simulated store and the way to it.
type store struct {
	world   *Simulation
	objects *standin.Objects
	writes  bucket
	reads   bucket
	down    bool

	Reads, Writes, Conflicts, Throttled int
	BytesWritten, LargestBytes          int
}

// bucket is a token bucket in simulated time with a burst of a tenth of a second.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*(now-b.last).Seconds(), max(1, b.rate/10))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func objectName(ref objectRef) string {
	return fmt.Sprintf("claims/%05d/%03d", ref.slot, ref.shard)
}

// reply is what one call brought.
type reply struct {
	result shard.Result
	object platform.Object
}

// call sends one call through delays and losses. done is called exactly once;
// after a timeout the call may still take effect.
func (s *store) call(apply func() reply, done func(reply)) {
	w := s.world
	finished := false
	finish := func(r reply) {
		if !finished {
			finished = true
			done(r)
		}
	}
	w.after(w.config.Store.Timeout, func() { finish(reply{result: shard.Unknown}) })
	if w.chance(w.config.Faults.LoseRequest) {
		return
	}
	w.after(s.delay(), func() {
		r := apply()
		if w.chance(w.config.Faults.LoseAnswer) {
			return
		}
		w.after(s.delay(), func() { finish(r) })
	})
}

func (s *store) delay() time.Duration {
	w := s.world
	c := w.config.Store
	d := c.LatencyMin + w.upTo(c.LatencyMax-c.LatencyMin)
	if w.chance(w.config.Faults.Late) {
		d += w.upTo(w.config.Faults.LateTime)
	}
	return d
}

func (s *store) read(name string) reply {
	s.Reads++
	if r, refused := s.refuse(&s.reads); refused {
		return r
	}
	return outcome(s.objects.Get(name))
}

func (s *store) write(name string, e shard.Write) reply {
	s.Writes++
	if r, refused := s.refuse(&s.writes); refused {
		return r
	}
	base := e.Base
	if base == AnyBase {
		current, _ := s.objects.Get(name)
		base = current.Version
	}
	r := outcome(s.objects.Put(name, e.Value, base))
	if r.result == shard.Conflict {
		s.Conflicts++
	}
	if r.result == shard.OK {
		s.BytesWritten += len(e.Value)
		s.LargestBytes = max(s.LargestBytes, len(e.Value))
	}
	return r
}

func (s *store) refuse(b *bucket) (reply, bool) {
	if s.down {
		return reply{result: shard.Unavailable}, true
	}
	if !b.take(s.world.now) {
		s.Throttled++
		return reply{result: shard.Throttled}, true
	}
	return reply{}, false
}

func outcome(o platform.Object, err error) reply {
	switch {
	case err == nil:
		return reply{result: shard.OK, object: o}
	case errors.Is(err, platform.ErrNotFound):
		return reply{result: shard.NotFound}
	case errors.Is(err, platform.ErrConflict):
		return reply{result: shard.Conflict}
	}
	return reply{result: shard.Unknown}
}
