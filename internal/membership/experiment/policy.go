package experiment

import "github.com/chestnutline/chestnutline/internal/membership"

// FixedIntervalConfig returns the configuration of a naive policy: every host
// sends a heartbeat to every other one at a fixed interval.
func FixedIntervalConfig() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.BytesPerSecond = 0
	cfg.Watchers = 0
	return cfg
}

// ScaledIntervalConfig returns the configuration of a policy in which the
// heartbeat interval grows with the number of members, as in RFC 3550, and every
// host watches every other one.
func ScaledIntervalConfig() membership.Config {
	cfg := membership.DefaultConfig()
	cfg.Watchers = 0
	return cfg
}

// HeaderOverheadConfig returns the configuration of the product for the case
// that the headers of TCP and IP count towards the same traffic limit.
func HeaderOverheadConfig() membership.Config {
	return membership.HeaderOverheadConfig()
}

// ProductConfig returns the configuration that the product uses by default.
func ProductConfig() membership.Config {
	return membership.DefaultConfig()
}
