package order

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the settings of a Core. Validate names the fields in its
// findings.
type Config struct {
	// Seed seeds the generator of the random waits.
	Seed uint64
	// ReadRate is the number of status reads a second, over all engines
	// together, while the engines are idle. A higher rate detects sooner that
	// an engine died or lost its models and costs more messages.
	ReadRate float64
	// ReadMin is the lower bound of the mean time between two status reads of
	// one idle engine.
	ReadMin time.Duration
	// ActiveEvery is the mean time between two status reads of an engine that
	// is loading or that did not answer the last read.
	ActiveEvery time.Duration
	// StartRate is the number of engines a second whose status a new lease
	// holder reads for the first time.
	StartRate float64
	// StartSpread is the upper bound of the random delay before a new holder's
	// first loads. The delay keeps the data centres from all starting to load
	// at the same moment after an outage.
	StartSpread time.Duration
	// LoadsAtOnce is the largest number of engines of the data centre that may
	// load at the same time. It limits the rate at which engines read from the
	// weight store. A lower value reduces the pressure on that store, a higher
	// value finishes loads sooner.
	LoadsAtOnce int
	// RollingShare is the share of a model's engines, above 0 to 1, that may
	// change the model's version at the same time; at least one always may. A
	// lower share keeps more capacity in service during a version change.
	RollingShare float64
	// DeadAfter is the number of consecutive failed status reads after which an
	// engine counts as dead and its models are placed on other engines.
	DeadAfter int
	// LoadLimit is the longest time for which one load counts against
	// LoadsAtOnce, so that a load that never finishes does not block others.
	LoadLimit time.Duration
	// OrderTimeout is the time limit of one order, from the decision to the
	// answer.
	OrderTimeout time.Duration
	// TickEvery is the longest time that the caller may let pass between two
	// events.
	TickEvery time.Duration
}

// DefaultConfig returns a configuration for a data centre with a few hundred
// engines.
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

// Validate checks the configuration and returns one finding for each invalid
// field.
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
