package lease

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config configures a Core.
type Config struct {
	// Holder names the candidate in the object, for operators.
	Holder string
	// Instance tells processes apart, also those of one name; it must be
	// drawn anew by every process.
	Instance string
	// Seed starts the generator behind the jitter.
	Seed uint64
	// Duration is how long a renewal lasts. Shorter gives a dead holder's
	// duties to another one sooner; longer rides out longer outages of the
	// object API.
	Duration time.Duration
	// Margin is how much earlier the holder stops and how much longer a
	// candidate waits. It must cover the drift of the monotonic clocks over
	// Duration; a larger one delays a change of holder.
	Margin time.Duration
	// RenewEvery is the time between two renewals. Shorter leaves more tries
	// before the lease ends and costs writes.
	RenewEvery time.Duration
	// RetryEvery is the holder's wait after a failed call, jittered.
	RetryEvery time.Duration
	// PollMin is the least mean time between two reads by a candidate.
	PollMin time.Duration
	// PollRate bounds the reads of all candidates together, in reads a
	// second. Higher finds a dead holder sooner and costs reads.
	PollRate float64
	// TickEvery is the longest time between two events.
	TickEvery time.Duration
}

// DefaultConfig returns a configuration for some dozen candidates.
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

// Validate returns every problem found.
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
