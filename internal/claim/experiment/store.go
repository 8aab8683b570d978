package experiment

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/platform"
	standin "github.com/chestnutline/chestnutline/internal/standin/platform"
)

// AnyVersion as base version makes a write unconditional. The platform has no
// such write; the naive implementation in the tests uses it.
const AnyVersion = ^uint64(0)

// store is the simulated store with the network to it. It counts the calls that
// reached the store and the bytes of the writes that took effect.
type store struct {
	simulation *Simulation
	objects    *standin.Objects
	writes     tokenBucket
	reads      tokenBucket
	down       bool

	Reads, Writes, Conflicts, Throttled int
	BytesWritten, LargestBytes          int
}

// tokenBucket is a token bucket in simulated time that allows a burst of a tenth
// of a second, but at least one call. A rate of 0 means no limit.
type tokenBucket struct {
	rate   float64       // calls per second
	tokens float64       // calls allowed at the time last
	last   time.Duration // time of the last call of take
}

// take reports whether a call is allowed now, and counts it if so.
func (b *tokenBucket) take(now time.Duration) bool {
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

// objectName returns the name of a shard object in the store.
func objectName(ref objectRef) string {
	return fmt.Sprintf("claims/%05d/%03d", ref.slot, ref.shard)
}

// callResult is the result of one store call.
type callResult struct {
	result shard.Result
	object platform.Object
}

// call sends one call to the store; the request or the answer may be delayed or
// lost. done is called exactly once. After a timeout the call may still take
// effect.
func (s *store) call(apply func() callResult, done func(callResult)) {
	sim := s.simulation
	finished := false
	finish := func(r callResult) {
		if !finished {
			finished = true
			done(r)
		}
	}
	sim.scheduleAfter(sim.config.Store.Timeout, func() { finish(callResult{result: shard.Unknown}) })
	if sim.occurs(sim.config.Faults.LoseRequest) {
		return
	}
	sim.scheduleAfter(s.delay(), func() {
		r := apply()
		if sim.occurs(sim.config.Faults.LoseAnswer) {
			return
		}
		sim.scheduleAfter(s.delay(), func() { finish(r) })
	})
}

// delay returns a random latency for one direction of a call.
func (s *store) delay() time.Duration {
	sim := s.simulation
	c := sim.config.Store
	d := c.LatencyMin + sim.randomBelow(c.LatencyMax-c.LatencyMin)
	if sim.occurs(sim.config.Faults.Delay) {
		d += sim.randomBelow(sim.config.Faults.MaxDelay)
	}
	return d
}

// read carries out a read that has reached the store.
func (s *store) read(name string) callResult {
	s.Reads++
	if r, refused := s.checkLimits(&s.reads); refused {
		return r
	}
	return resultOf(s.objects.Get(name))
}

// write carries out a conditional write that has reached the store.
func (s *store) write(name string, e shard.Write) callResult {
	s.Writes++
	if r, refused := s.checkLimits(&s.writes); refused {
		return r
	}
	base := e.BaseVersion
	if base == AnyVersion {
		current, _ := s.objects.Get(name)
		base = current.Version
	}
	r := resultOf(s.objects.Put(name, e.Value, base))
	if r.result == shard.Conflict {
		s.Conflicts++
	}
	if r.result == shard.OK {
		s.BytesWritten += len(e.Value)
		s.LargestBytes = max(s.LargestBytes, len(e.Value))
	}
	return r
}

// checkLimits reports true, with the result to return, if the store refuses a
// call because it is down or because the rate limit is exceeded.
func (s *store) checkLimits(b *tokenBucket) (callResult, bool) {
	if s.down {
		return callResult{result: shard.Unavailable}, true
	}
	if !b.take(s.simulation.now) {
		s.Throttled++
		return callResult{result: shard.Throttled}, true
	}
	return callResult{}, false
}

// resultOf converts the result of the store's objects.
func resultOf(o platform.Object, err error) callResult {
	switch {
	case err == nil:
		return callResult{result: shard.OK, object: o}
	case errors.Is(err, platform.ErrNotFound):
		return callResult{result: shard.NotFound}
	case errors.Is(err, platform.ErrConflict):
		return callResult{result: shard.Conflict}
	}
	return callResult{result: shard.Unknown}
}
