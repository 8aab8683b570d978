package claim

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config configures a Claimer.
type Config struct {
	// Layout is stored if the store has no layout yet. Otherwise the stored
	// layout is used.
	Layout Layout
	// AcceptUndated accepts keys that carry no date. They are remembered for
	// the layout's retention time after their first use, by the hosts' clocks,
	// and may run again later. A dated key is refused for ever after its
	// retention time.
	AcceptUndated bool
	// MaxAhead is the longest time by which a key's date may lie ahead of this
	// host's clock. A longer time tolerates larger errors of the callers'
	// clocks, and shortens the retention time by as much.
	MaxAhead time.Duration
	// Patience is the longest wait for the answer to a claim; the caller's time
	// limit may shorten it. A longer wait survives longer delays of the store,
	// a shorter one refuses sooner.
	Patience time.Duration
	// Peers forwards claims to the one host that writes their object, which
	// makes large batches. With nil every host writes all objects. At most one
	// run of an action is ensured in both cases.
	Peers Peers
	// AvoidOwner is the time for which nothing is forwarded to an owner that
	// did not answer. A longer time saves callers the wait for a host that is
	// down, a shorter one keeps batches large.
	AvoidOwner time.Duration
	// Core is the configuration of the cores of all shard objects. The Claimer
	// sets the window and the retention time of each.
	Core shard.Config
}

// Layout determines which shard object holds a key. All hosts must use the same
// layout, so the first host stores its own and the others use the stored one.
type Layout struct {
	// Shards is the number of objects over which the keys of a window are
	// spread. More shards make smaller objects and more writes.
	Shards int `json:"shards"`
	// WindowSeconds is the length of a window in seconds. The keys dated in one
	// window are held in one set of objects. Shorter windows make smaller
	// objects, and more of them.
	WindowSeconds int64 `json:"window_seconds"`
	// Slots is the number of windows that are kept. The objects of a window are
	// used again Slots windows later, so a key is remembered for at least
	// Slots - 1 windows less MaxAhead.
	Slots uint64 `json:"slots"`
}

// Retention returns the time for which a dated key is remembered, counted from
// its date.
func (l Layout) Retention() time.Duration {
	return time.Duration(l.Slots-1) * time.Duration(l.WindowSeconds) * time.Second
}

// DefaultConfig returns a Config that remembers keys for a day in windows of a
// minute.
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

// Validate checks the configuration and returns all problems found.
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
	check(c.Layout.Slots < 2 || c.Layout.Retention() > 2*c.MaxAhead, "layout.slots", "must give a retention time of more than twice max ahead")
	check(c.MaxAhead >= 0, "max ahead", "must be 0 or more")
	check(c.AvoidOwner >= 0, "avoid owner", "must be 0 or more")
	check(c.Patience > 0, "patience", "must be more than 0")
	check(c.Core.MaxBytes > 0 && c.Core.MaxBytes < 1<<20, "core.max_bytes", "must be below the store's limit of 1 MB")
	check(c.Core.RetryMin > 0 && c.Core.RetryMin <= c.Core.RetryMax, "core.retry_min", "must be more than 0 and at most retry max")
	check(c.Core.MaxQueue > 0, "core.max_queue", "must be 1 or more")
	check(c.Core.Pace >= 0, "core.pace", "must be 0 or more")
	return findings
}
