package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Host is one run of a host's process.
type Host struct {
	Name       string
	DataCentre string
	// Address is where the host listens for other hosts, as ip:port.
	Address string
	// Incarnation is higher with every start, such as the wall clock in
	// milliseconds at the start.
	Incarnation uint64
}

// Config sets the trade-offs of a Core. Every host must run with the same
// values, except Self and Seed.
type Config struct {
	Self Host
	// Seed starts the generator for jitter and random choice of peers. Give
	// every host another one, or their timers stay in step.
	Seed uint64

	// BytesPerSecond is what a host may send on average in heartbeats; it
	// receives as much. Member tables may cost a quarter as much again while
	// members change. Less makes digests older, more costs traffic. 0 means no
	// limit: every heartbeat then goes out at the shortest interval.
	BytesPerSecond int
	// OverheadBytes is what each message costs beside its frame, such as the
	// headers of its segment and of the acknowledgement (TCPOverheadBytes). Counting it makes the intervals longer. 0 counts frames alone.
	OverheadBytes int
	// BurstBytes is what may be sent at once after quiet time, so that news
	// spreads fast; four times as much for member tables. More makes joins and
	// failures cost higher peaks, less makes them slower to be known.
	BurstBytes int

	// HeartbeatInterval is the shortest mean interval between two heartbeats
	// to a host of the same data centre; it grows with the number of members.
	HeartbeatInterval time.Duration
	// Watchers is how many hosts get this host's heartbeat at WatchInterval
	// and watch it. More find a death despite more failures at once and cost
	// one heartbeat per WatchInterval each. 0 makes everybody watch everybody
	// at the heartbeat interval.
	Watchers int
	// WatchInterval is the mean interval between two heartbeats to a watcher.
	WatchInterval time.Duration
	// SilenceIntervals is how many mean intervals a watched host may be silent
	// before it is probed. Fewer detect sooner and probe more needlessly.
	SilenceIntervals int
	// ProbeTimeout is how long an answer to a probe may take before the host
	// is suspected. It must exceed a round trip and a short pause.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may deny its death. Longer spares
	// paused hosts, shorter gives the memory held by dead hosts back sooner.
	SuspicionTimeout time.Duration

	// Bridges is how many hosts of a data centre exchange heartbeats with
	// another one. 0 makes all hosts exchange heartbeats with all others.
	Bridges int
	// BridgeInterval is the mean interval between two heartbeats to a host of
	// another data centre.
	BridgeInterval time.Duration
	// UnreachableAfter is how long nothing may be heard of a data centre
	// before its members are shown as suspect.
	UnreachableAfter time.Duration

	// DeadProbeInterval is the mean interval at which one dead or merely
	// listed host of the data centre is probed, so that a healed cut is found.
	// 0 means never.
	DeadProbeInterval time.Duration
	// SyncInterval is the least time between two requests for member tables
	// that differ.
	SyncInterval time.Duration
	// ForgetAfter is how long a dead member is remembered. It must exceed the
	// time that news takes to reach everybody, or the dead appear alive again.
	ForgetAfter time.Duration
	// PushDelay is the mean delay before news is pushed to a few peers. A
	// longer delay puts more news into one heartbeat.
	PushDelay time.Duration
	// MaxPause is the longest time between two calls that counts as normal. A
	// longer one means that this host was paused, and silence meanwhile is
	// not held against the others.
	MaxPause time.Duration

	// MaxNews is the most changed members in one heartbeat.
	MaxNews int
	// MinLoads and MaxLoads bound the upstream loads in one heartbeat; the
	// traffic limit decides between them. More loads make the interval longer.
	MinLoads int
	MaxLoads int
}

// DefaultConfig returns the settings for up to 30 hosts in each of 16 data
// centres at less than 3 KB/s sent and received per host.
func DefaultConfig() Config {
	return Config{
		BytesPerSecond:    1150,
		BurstBytes:        16 << 10,
		HeartbeatInterval: time.Second,
		Watchers:          3,
		WatchInterval:     time.Second,
		SilenceIntervals:  3,
		ProbeTimeout:      time.Second,
		SuspicionTimeout:  3 * time.Second,
		Bridges:           2,
		BridgeInterval:    2 * time.Second,
		UnreachableAfter:  12 * time.Second,
		DeadProbeInterval: 5 * time.Second,
		SyncInterval:      2 * time.Second,
		ForgetAfter:       10 * time.Minute,
		PushDelay:         300 * time.Millisecond,
		MaxPause:          2 * time.Second,
		MaxNews:           8,
		MinLoads:          3,
		MaxLoads:          48,
	}
}

// TCPOverheadBytes is what the headers of TCP and IPv4 add to one message and
// its acknowledgement.
const TCPOverheadBytes = 104

// HeadersCountedConfig returns settings for the same size that keep the
// traffic below 3 KB/s with the headers of TCP and IPv4 counted. A death is
// found some seconds later than with DefaultConfig.
func HeadersCountedConfig() Config {
	cfg := DefaultConfig()
	cfg.OverheadBytes = TCPOverheadBytes
	cfg.BytesPerSecond = 1500
	cfg.WatchInterval = 2 * time.Second
	cfg.BridgeInterval = 4 * time.Second
	cfg.UnreachableAfter = 25 * time.Second
	return cfg
}

// Validate returns every problem of the configuration.
func (c Config) Validate() finding.List {
	var findings finding.List
	require := func(ok bool, place, problem string) {
		if !ok {
			findings.Add(place, problem)
		}
	}
	require(c.Self.Name != "", "Self.Name", "must not be empty")
	require(c.Self.DataCentre != "", "Self.DataCentre", "must not be empty")
	require(c.Self.Address != "", "Self.Address", "must not be empty")
	require(c.Self.Incarnation > 0, "Self.Incarnation", "must be above 0")
	require(c.BytesPerSecond >= 0, "BytesPerSecond", "must not be negative")
	require(c.OverheadBytes >= 0, "OverheadBytes", "must not be negative")
	require(c.BurstBytes > 0, "BurstBytes", "must be above 0")
	require(c.HeartbeatInterval > 0, "HeartbeatInterval", "must be above 0")
	require(c.Watchers >= 0, "Watchers", "must not be negative")
	require(c.WatchInterval > 0, "WatchInterval", "must be above 0")
	require(c.SilenceIntervals >= 2, "SilenceIntervals", "must be at least 2, as an interval varies by half")
	require(c.ProbeTimeout > 0, "ProbeTimeout", "must be above 0")
	require(c.SuspicionTimeout > 0, "SuspicionTimeout", "must be above 0")
	require(c.Bridges >= 0, "Bridges", "must not be negative")
	require(c.BridgeInterval > 0, "BridgeInterval", "must be above 0")
	require(c.UnreachableAfter > 2*c.BridgeInterval, "UnreachableAfter", "must be above two bridge intervals")
	require(c.DeadProbeInterval >= 0, "DeadProbeInterval", "must not be negative")
	require(c.SyncInterval > 0, "SyncInterval", "must be above 0")
	require(c.ForgetAfter > c.UnreachableAfter, "ForgetAfter", "must be above UnreachableAfter")
	require(c.PushDelay > 0, "PushDelay", "must be above 0")
	require(c.MaxPause > 0, "MaxPause", "must be above 0")
	require(c.MaxNews > 0, "MaxNews", "must be above 0")
	require(c.MinLoads >= 0 && c.MinLoads <= c.MaxLoads, "MinLoads", "must be from 0 to MaxLoads")
	return findings
}
