package lease

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the settings of a Core. Validate names the fields in its
// findings.
type Config struct {
	// Holder is the candidate's name in the lease object, for operators.
	Holder string
	// Instance identifies the process, also among processes with the same
	// Holder name. Every process must draw a new one.
	Instance string
	// Seed seeds the generator of the random waits and nonces.
	Seed uint64
	// Duration is how long a lease lasts from the sending of its last renewal.
	// A shorter duration passes a dead holder's work to another candidate
	// sooner; a longer one survives longer outages of the object API.
	Duration time.Duration
	// Margin is how much earlier than Duration the holder stops and how much
	// longer a candidate waits. It must cover the drift between the monotonic
	// clocks of two hosts over Duration. A larger margin delays a change of
	// holder.
	Margin time.Duration
	// RenewEvery is the time between two renewals. A shorter time leaves room
	// for more attempts before the lease ends and costs more writes.
	RenewEvery time.Duration
	// RetryEvery is the mean time for which the holder waits after a failed
	// call before it tries again.
	RetryEvery time.Duration
	// PollMin is the lower bound of the mean time between two reads by a
	// candidate.
	PollMin time.Duration
	// PollRate is the upper bound of the reads by all candidates together, in
	// reads a second. A higher rate detects a dead holder sooner and costs more
	// reads.
	PollRate float64
	// TickEvery is the longest time that the caller may let pass between two
	// events.
	TickEvery time.Duration
}

// DefaultConfig returns a configuration for a few dozen candidates.
func DefaultConfig(holder, instance string, seed uint64) Config {
	return Config{
		Holder:     holder,
		Instance:   instance,
		Seed:       seed,
		Duration:   10 * time.Second,
		Margin:     time.Second,
		RenewEvery: 3 * time.Second,
		RetryEvery: 500 * time.Millisecond,
		PollMin:    time.Second,
		PollRate:   2,
		TickEvery:  100 * time.Millisecond,
	}
}

// Validate checks the configuration and returns one finding for each invalid
// field.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Holder == "" {
		l.Add("Holder", "must not be empty")
	}
	if c.Instance == "" {
		l.Add("Instance", "must not be empty")
	}
	if c.Duration <= 0 {
		l.Add("Duration", "must be above 0")
	}
	if c.Margin <= 0 || 4*c.Margin > c.Duration {
		l.Add("Margin", "must be above 0 and at most a quarter of Duration")
	}
	if c.RenewEvery <= 0 || 2*c.RenewEvery > c.Duration {
		l.Add("RenewEvery", "must be above 0 and at most half of Duration")
	}
	if c.RetryEvery <= 0 {
		l.Add("RetryEvery", "must be above 0")
	}
	if c.PollMin <= 0 {
		l.Add("PollMin", "must be above 0")
	}
	if c.PollRate <= 0 {
		l.Add("PollRate", "must be above 0")
	}
	if c.TickEvery <= 0 {
		l.Add("TickEvery", "must be above 0")
	}
	return l
}
