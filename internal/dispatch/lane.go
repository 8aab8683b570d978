package dispatch

import (
	"math"
	"time"
)

// lane is the size class by which requests share engines.
type lane int

const (
	laneShort lane = iota
	laneMedium
	laneLong
)

// lane classifies a request by the part of its prompt that is not cached.
func (c *Core) lane(r *request) lane {
	switch {
	case r.cost.uncached < c.cfg.ShortTokens:
		return laneShort
	case r.cost.uncached < c.cfg.LongTokens:
		return laneMedium
	default:
		return laneLong
	}
}

// mixHalfLife is the time after which an observation counts half.
const mixHalfLife = 60 * time.Second

// mix observes the demand of each size class at this host.
type mix struct {
	// span is the time observed, and short the service of short requests in it.
	span  time.Duration
	short time.Duration
	// light follows the memory held by requests that are not long, in tokens.
	light estimate
}

func (m *mix) observe(l lane, service time.Duration) {
	if l == laneShort {
		m.short += service
	}
}

func (m *mix) age(passed time.Duration, lightMemory int) {
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp2(-float64(passed)/float64(mixHalfLife))
	m.span = time.Duration(float64(m.span+passed) * (1 - weight))
	m.short = time.Duration(float64(m.short) * (1 - weight))
	m.light.observe(float64(lightMemory), weight)
}

// shortDemand is the number of engines that this host's short requests keep busy.
func (m *mix) shortDemand() float64 {
	if m.span <= 0 {
		return 0
	}
	return float64(m.short) / float64(m.span)
}

// estimate is an exponentially weighted mean and variance.
type estimate struct {
	mean     float64
	variance float64
}

func (e *estimate) observe(value, weight float64) {
	difference := value - e.mean
	e.mean += weight * difference
	e.variance = (1 - weight) * (e.variance + weight*difference*difference)
}

// Bounds of the engines for short requests, as a part of all and by number.
const (
	maxShortPart   = 0.5
	minLaneEngines = 3
)

// split divides a model's engines, in the order of their names, into those for
// short requests and the others. Every host of a data centre sees nearly the
// same demand, so they nearly agree; too few engines are not divided.
func (c *Core) split(engines []*upstream) (short, others []*upstream) {
	n := len(engines)
	if n < minLaneEngines {
		return engines, engines
	}
	demand := c.mix.shortDemand() * float64(c.sharers()) / c.cfg.ShortUse
	count := int(math.Ceil(demand))
	count = min(max(count, 1), int(float64(n)*maxShortPart))
	return engines[:count], engines[count:]
}

// reserve is the memory, in tokens, that a long prompt must leave free on the
// engines it shares: what the requests that are not long are likely to need
// beyond what they hold now.
func (c *Core) reserve() int {
	hosts := float64(c.sharers())
	deviation := math.Sqrt(c.mix.light.variance * hosts)
	likely := c.mix.light.mean*hosts + c.cfg.ReserveDeviations*deviation
	return max(0, int(likely-float64(c.lightMemory)*hosts))
}
