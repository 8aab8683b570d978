// Package platform is a stand-in for the platform's object API and host list.
//
// Store is the whole behaviour in one process: limits, latency, faults and
// counts around Objects. Server puts the same Store behind HTTP, with control
// paths for faults, counts and the host list. Nothing is kept across restarts.
package platform

import "github.com/chestnutline/chestnutline/internal/finding"

// Config configures the stand-in.
type Config struct {
	// Listen is used by the program that serves Handler.
	Listen string `env:"CHESTNUT_PLATFORM_LISTEN" flag:"listen" default:"127.0.0.1:7000" help:"address of the object API (ip:port)"`
	// WritesPerSecond and ReadsPerSecond are the platform's limits; a watch is a read.
	WritesPerSecond int `env:"CHESTNUT_PLATFORM_WRITES" flag:"writes-per-second" default:"500" help:"most writes a second, 0 for no limit"`
	ReadsPerSecond  int `env:"CHESTNUT_PLATFORM_READS" flag:"reads-per-second" default:"2000" help:"most reads a second, 0 for no limit"`
	// LatencyMillis is spent half before and half after a call takes effect.
	LatencyMillis int `env:"CHESTNUT_PLATFORM_LATENCY_MS" flag:"latency-ms" default:"3" help:"time that one call takes, in milliseconds"`
	// HostsLagMillis delays a change of the host list for its readers.
	HostsLagMillis int `env:"CHESTNUT_PLATFORM_HOSTS_LAG_MS" flag:"hosts-lag-ms" default:"0" help:"time until a new host list is visible, in milliseconds"`
}

// DefaultConfig returns the platform's limits with a latency of 3 ms.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:7000", WritesPerSecond: 500, ReadsPerSecond: 2000, LatencyMillis: 3}
}

// Validate returns every problem found.
func (c Config) Validate() finding.List {
	var findings finding.List
	for _, f := range []struct {
		place string
		value int
	}{
		{"--writes-per-second", c.WritesPerSecond},
		{"--reads-per-second", c.ReadsPerSecond},
		{"--latency-ms", c.LatencyMillis},
		{"--hosts-lag-ms", c.HostsLagMillis},
	} {
		if f.value < 0 {
			findings.Add(f.place, "must be 0 or more")
		}
	}
	return findings
}
