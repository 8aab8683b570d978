// Package platform is a stand-in for the platform's object API and its list of
// hosts.
//
// Store implements the whole behaviour within one process: it adds rate limits,
// latency, faults and counts to the state in Objects. Server makes the same
// Store available over HTTP, with control paths for faults, counts and the list
// of hosts. Nothing is kept across restarts.
package platform

import "github.com/chestnutline/chestnutline/internal/finding"

// Config holds the settings of the stand-in.
type Config struct {
	// Listen is the address for the program that serves Handler; this package
	// does not use it.
	Listen string `env:"CHESTNUT_PLATFORM_LISTEN" flag:"listen" default:"127.0.0.1:7000" help:"address of the object API (ip:port)"`
	// WritesPerSecond and ReadsPerSecond are the platform's rate limits. A watch
	// counts as a read.
	WritesPerSecond int `env:"CHESTNUT_PLATFORM_WRITES" flag:"writes-per-second" default:"500" help:"most writes a second, 0 for no limit"`
	ReadsPerSecond  int `env:"CHESTNUT_PLATFORM_READS" flag:"reads-per-second" default:"2000" help:"most reads a second, 0 for no limit"`
	// LatencyMillis is the duration of a call in milliseconds: half of it passes
	// before the call takes effect and half after.
	LatencyMillis int `env:"CHESTNUT_PLATFORM_LATENCY_MS" flag:"latency-ms" default:"3" help:"time that one call takes, in milliseconds"`
	// HostsLagMillis is the time in milliseconds after which readers see a
	// change of the list of hosts.
	HostsLagMillis int `env:"CHESTNUT_PLATFORM_HOSTS_LAG_MS" flag:"hosts-lag-ms" default:"0" help:"time until a new host list is visible, in milliseconds"`
}

// DefaultConfig returns the platform's rate limits and a latency of 3 ms.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:7000", WritesPerSecond: 500, ReadsPerSecond: 2000, LatencyMillis: 3}
}

// Validate returns a finding for every invalid setting.
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
