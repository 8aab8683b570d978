package experiment

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
)

// Fixed is the naive policy: every host sends to every other at a fixed interval.
func Fixed() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.BytesPerSecond = 0
	cfg.Watchers = 0
	return cfg
}

// Scaled lets the interval to every other host grow with the members, as RFC
// 3550 does, and has everybody watch everybody.
func Scaled() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.Watchers = 0
	return cfg
}

// tcpOverhead is what TCP and IPv4 add to a message and its acknowledgement.
const tcpOverhead = 104

// Counted is the policy of the product with the headers of TCP and IP counted
// against the same limit.
func Counted() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.OverheadBytes = tcpOverhead
	cfg.BytesPerSecond = 1500
	cfg.UnreachableAfter = 25 * time.Second
	cfg.WatchInterval = 2 * time.Second
	cfg.BridgeInterval = 4 * time.Second
	return cfg
}

// Chosen is the policy of the product.
func Chosen() membership.Config {
	return membership.DefaultConfig()
}
