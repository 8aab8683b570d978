package claim

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config configures a Claimer. Layout is only used when the store has none yet.
type Config struct {
	Layout Layout
	// AcceptUndated takes keys that carry no date. They are remembered for the
	// layout's memory after their first use, by the hosts' clocks, and may run
	// again later; dated keys are refused instead for good.
	AcceptUndated bool
	// MaxAhead is how far a key's date may lie ahead of this host's clock.
	// Longer tolerates callers' clocks, and shortens the memory by as much.
	MaxAhead time.Duration
	// Patience bounds the wait for a claim, within the caller's time limit.
	// Longer rides out a slow store, shorter refuses sooner.
	Patience time.Duration
	// Peers sends claims to the one host that writes their object, which makes
	// large batches; nil lets every host write. It does not matter for safety.
	Peers Peers
	// AvoidOwner is how long an owner that did not answer is not asked again.
	// Longer spares callers a wait for a dead one, shorter keeps batches large.
	AvoidOwner time.Duration
	// Core is the template for all shard objects.
	Core shard.Config
}

// Layout maps keys to objects. All hosts must use the same one, so the first
// host stores it and the others follow.
type Layout struct {
	// Shards is the number of objects a window's keys are spread over. More
	// make smaller objects and more writes.
	Shards int `json:"shards"`
	// WindowSeconds is the time of keys that one set of objects holds. Shorter
	// makes smaller objects, and more of them.
	WindowSeconds int64 `json:"window_seconds"`
	// Slots is the number of windows kept. A key is remembered for at least
	// Slots - 1 windows less MaxAhead.
	Slots uint64 `json:"slots"`
}

// Memory is how long a dated key is remembered, counted from its date.
func (l Layout) Memory() time.Duration {
	return time.Duration(l.Slots-1) * time.Duration(l.WindowSeconds) * time.Second
}

// DefaultConfig remembers keys for a day in windows of a minute.
func DefaultConfig() Config {
	return Config{
		Layout:        Layout{Shards: 8, WindowSeconds: 60, Slots: 24*60 + 6},
		AcceptUndated: true,
		MaxAhead:      5 * time.Minute,
		Patience:      2 * time.Second,
		AvoidOwner:    5 * time.Second,
		Core:          shard.DefaultConfig(),
	}
}

// Validate returns every problem found.
func (c Config) Validate() finding.List {
	var findings finding.List
	check := func(ok bool, place, problem string) {
		if !ok {
			findings.Add(place, problem)
		}
	}
	check(c.Layout.Shards > 0, "layout.shards", "must be 1 or more")
	check(c.Layout.WindowSeconds > 0, "layout.window_seconds", "must be 1 or more")
	check(c.Layout.Slots > 1, "layout.slots", "must be 2 or more")
	check(c.Layout.Slots < 2 || c.Layout.Memory() > 2*c.MaxAhead, "layout.slots", "must give a memory of more than twice max ahead")
	check(c.MaxAhead >= 0, "max ahead", "must be 0 or more")
	check(c.AvoidOwner >= 0, "avoid owner", "must be 0 or more")
	check(c.Patience > 0, "patience", "must be more than 0")
	check(c.Core.MaxBytes > 0 && c.Core.MaxBytes < 1<<20, "core.max_bytes", "must be below the store's limit of 1 MB")
	check(c.Core.RetryMin > 0 && c.Core.RetryMin <= c.Core.RetryMax, "core.retry_min", "must be more than 0 and at most retry max")
	check(c.Core.MaxQueue > 0, "core.max_queue", "must be 1 or more")
	check(c.Core.Pace >= 0, "core.pace", "must be 0 or more")
	return findings
}
