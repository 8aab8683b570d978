package experiment

import "github.com/chestnutline/chestnutline/internal/membership"

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

// Counted is the policy of the product with the headers of TCP and IP counted
// against the same limit.
func Counted() membership.Config {
	return membership.HeaderOverheadConfig()
}

// Chosen is the policy of the product.
func Chosen() membership.Config {
	return membership.DefaultConfig()
}
