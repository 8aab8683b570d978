package balance

import (
	"math"
	"time"
)

const (
	// startCountHalfLife is the time after which a start that another host
	// reported counts half.
	startCountHalfLife = time.Second
	// goodUpstreamFactor is the assumed rate at which other hosts choose an
	// upstream that this host prefers, as a multiple of the rate of an average
	// upstream. An upstream that this host prefers is preferred by the other
	// hosts as well.
	goodUpstreamFactor = 3.0
)

// startRate estimates how often other hosts start requests of one service.
type startRate struct {
	// decayedCount is the number of starts, weighted by their age, at the time
	// updatedAt, when it last changed.
	decayedCount float64
	updatedAt    time.Duration
}

// recordStart counts one start.
func (s *startRate) recordStart(now time.Duration) {
	s.decayedCount = s.countAt(now) + 1
	s.updatedAt = now
}

// countAt returns the weighted number of starts at the given time.
func (s *startRate) countAt(now time.Duration) float64 {
	return s.decayedCount * math.Exp2(-float64(now-s.updatedAt)/float64(startCountHalfLife))
}

// perSecond returns the rate of starts per second.
func (s *startRate) perSecond(now time.Duration) float64 {
	return s.countAt(now) * math.Ln2 / startCountHalfLife.Seconds()
}

// expectedUnreportedStarts returns the expected number of requests that other
// hosts have already sent to a preferred upstream of the service while their
// reports have not reached this host yet.
func (c *Core) expectedUnreportedStarts(pool *servicePool, now time.Duration) float64 {
	if pool == nil || len(pool.upstreams) == 0 {
		return 0
	}
	return goodUpstreamFactor * pool.perSecond(now) * c.reportDelay.Seconds() / float64(max(1, pool.open))
}

// overCapacityProbability returns the probability that more unreported requests
// have been sent to an upstream than it has free slots. Their number is taken
// to follow a Poisson distribution with the mean expectedStarts.
func overCapacityProbability(freeSlots int, expectedStarts float64) float64 {
	if expectedStarts <= 0 {
		return 0
	}
	if freeSlots < 0 {
		return 1
	}
	probability := math.Exp(-expectedStarts)
	probabilityWithinFree := probability
	for k := 1; k <= freeSlots; k++ {
		probability *= expectedStarts / float64(k)
		probabilityWithinFree += probability
	}
	return max(0, 1-probabilityWithinFree)
}
