package dispatch

import (
	"math"
	"time"
)

// sizeClass is the class of a request by the length of the part of its prompt
// that is not cached. It determines which engines the request may use.
type sizeClass int

// Size classes. A short request has fewer than Config.ShortTokens uncached
// tokens, a long one at least Config.LongTokens, and a medium one a number in
// between.
const (
	sizeShort sizeClass = iota
	sizeMedium
	sizeLong
)

// sizeClass returns the size class of a request.
func (c *Core) sizeClass(r *request) sizeClass {
	switch {
	case r.cost.uncachedTokens < c.cfg.ShortTokens:
		return sizeShort
	case r.cost.uncachedTokens < c.cfg.LongTokens:
		return sizeMedium
	default:
		return sizeLong
	}
}

// demandHalfLife is the time after which the weight of an observation has
// fallen to half.
const demandHalfLife = 60 * time.Second

// demandEstimator observes the demand of short requests and the memory held by
// requests that are not long, both at this host.
type demandEstimator struct {
	// observedTime is the time observed, and shortEngineTime the engine time of
	// the short requests admitted in it. Both lose weight with time.
	observedTime    time.Duration
	shortEngineTime time.Duration
	// nonLongStats follows the memory, in tokens, that requests of the other
	// size classes than sizeLong hold.
	nonLongStats movingStats
}

// observe adds the engine time of an admitted request to the demand.
func (m *demandEstimator) observe(class sizeClass, engineTime time.Duration) {
	if class == sizeShort {
		m.shortEngineTime += engineTime
	}
}

// age lowers the weight of earlier observations by the time elapsed, and takes
// the memory that is held now into account.
func (m *demandEstimator) age(elapsed time.Duration, nonLongMemory int) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp2(-float64(elapsed)/float64(demandHalfLife))
	m.observedTime = time.Duration(float64(m.observedTime+elapsed) * (1 - weight))
	m.shortEngineTime = time.Duration(float64(m.shortEngineTime) * (1 - weight))
	m.nonLongStats.observe(float64(nonLongMemory), weight)
}

// shortDemand returns the number of engines that this host's short requests
// keep busy.
func (m *demandEstimator) shortDemand() float64 {
	if m.observedTime <= 0 {
		return 0
	}
	return float64(m.shortEngineTime) / float64(m.observedTime)
}

// movingStats is an exponentially weighted moving mean and variance.
type movingStats struct {
	mean     float64
	variance float64
}

// observe takes a value with the given weight, from 0 to 1, into account.
func (s *movingStats) observe(value, weight float64) {
	difference := value - s.mean
	s.mean += weight * difference
	s.variance = (1 - weight) * (s.variance + weight*difference*difference)
}

// maxShortShare is the largest part of a model's engines that is set apart for
// short requests; fewer than minEnginesToSplit engines are not divided.
const (
	maxShortShare     = 0.5
	minEnginesToSplit = 3
)

// splitEngines divides a model's engines, in the order of their names, into
// those for short requests and the others. All hosts of a data centre observe
// nearly the same demand, so they arrive at nearly the same division. If there
// are too few engines to divide, both results hold all of them.
func (c *Core) splitEngines(engines []*upstream) (short, others []*upstream) {
	n := len(engines)
	if n < minEnginesToSplit {
		return engines, engines
	}
	demand := c.demand.shortDemand() * float64(c.sharingHosts()) / c.cfg.ShortUse
	shortCount := int(math.Ceil(demand))
	shortCount = min(max(shortCount, 1), int(float64(n)*maxShortShare))
	return engines[:shortCount], engines[shortCount:]
}

// memoryReserve returns the memory, in tokens, that a long prompt must leave
// free on the engines that it shares: what the requests that are not long are
// likely to need beyond what they hold now.
func (c *Core) memoryReserve() int {
	hosts := float64(c.sharingHosts())
	deviation := math.Sqrt(c.demand.nonLongStats.variance * hosts)
	expectedNeed := c.demand.nonLongStats.mean*hosts + c.cfg.ReserveDeviations*deviation
	return max(0, int(expectedNeed-float64(c.nonLongMemory)*hosts))
}
