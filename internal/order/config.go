package order

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config configures a Core.
type Config struct {
	// Seed starts the generator behind the jitter.
	Seed uint64
	// ReadRate is how many statuses a second are read of all engines together
	// while they have nothing to do. Higher finds an engine that died or lost
	// its models sooner and costs messages.
	ReadRate float64
	// ReadMin is the least mean time between two reads of one engine that has
	// nothing to do.
	ReadMin time.Duration
	// ActiveEvery is the mean time between two reads of an engine that loads,
	// or that did not answer.
	ActiveEvery time.Duration
	// StartRate is how many engines a second a new holder begins with.
	StartRate float64
	// StartSpread delays a new holder's first loads by a random time up to
	// it, so that data centres do not begin together after an outage.
	StartSpread time.Duration
	// LoadsAtOnce bounds the engines of the data centre that load at the same
	// time, for the weight store's rate. Lower is gentler, higher is faster.
	LoadsAtOnce int
	// RollingShare bounds the part of a model's engines that change its
	// version at the same time; one always may. Lower keeps more capacity.
	RollingShare float64
	// DeadAfter is the number of failed reads in a row after which an
	// engine's duties go to another one.
	DeadAfter int
	// LoadLimit is how long a load counts against LoadsAtOnce.
	LoadLimit time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// TickEvery is the longest time between two events.
	TickEvery time.Duration
}

// DefaultConfig returns a configuration for some hundred engines.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed:         seed,
		ReadRate:     5,
		ReadMin:      time.Second,
		ActiveEvery:  500 * time.Millisecond,
		StartRate:    20,
		StartSpread:  3 * time.Second,
		LoadsAtOnce:  4,
		RollingShare: 0.25,
		DeadAfter:    3,
		LoadLimit:    10 * time.Minute,
		OrderTimeout: 2 * time.Second,
		TickEvery:    100 * time.Millisecond,
	}
}

// Validate returns every problem found.
func (c Config) Validate() finding.List {
	var l finding.List
	for _, f := range []struct {
		place string
		value float64
	}{
		{"ReadRate", c.ReadRate},
		{"ReadMin", float64(c.ReadMin)},
		{"ActiveEvery", float64(c.ActiveEvery)},
		{"StartRate", c.StartRate},
		{"LoadsAtOnce", float64(c.LoadsAtOnce)},
		{"RollingShare", c.RollingShare},
		{"DeadAfter", float64(c.DeadAfter)},
		{"LoadLimit", float64(c.LoadLimit)},
		{"OrderTimeout", float64(c.OrderTimeout)},
		{"TickEvery", float64(c.TickEvery)},
	} {
		if !(f.value > 0) {
			l.Add(f.place, "must be above 0")
		}
	}
	if c.StartSpread < 0 {
		l.Add("StartSpread", "must be 0 or more")
	}
	if c.RollingShare > 1 {
		l.Add("RollingShare", "must be at most 1")
	}
	return l
}
