package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Host identifies one run of a host's process.
type Host struct {
	// Name is the name of the host, unique on the platform.
	Name string
	// DataCentre is the name of the host's data centre.
	DataCentre string
	// Address is where the host listens for other hosts, as ip:port.
	Address string
	// Incarnation must be higher with every start of the host. An example is
	// the wall clock in milliseconds at the start.
	Incarnation uint64
}

// Config holds the settings of a Core. Every host must run with the same
// values, except for Self and Seed.
type Config struct {
	// Self identifies the host that the Core runs on.
	Self Host
	// Seed seeds the random generator that draws jitter and chooses peers. Give
	// every host a different seed, or their timers stay synchronised.
	Seed uint64

	// BytesPerSecond limits the bytes that a host sends in heartbeats, on
	// average; it receives about as many. The exchange of member tables may use
	// a quarter as much again while members change. A lower limit makes the
	// digests of other hosts older, a higher one costs traffic. 0 means no
	// limit: every heartbeat is then sent at the shortest interval.
	BytesPerSecond int
	// OverheadBytes is the number of bytes that each message costs in addition
	// to its frame, such as the headers of its segment and of the
	// acknowledgement (TCPOverheadBytes). Counting them makes the intervals
	// longer. With 0 only the frames count.
	OverheadBytes int
	// BurstBytes limits the bytes that a host may send at once after a quiet
	// time, so that updates spread fast; the limit for member tables is four
	// times as high. A higher value makes the traffic peaks of joins and
	// failures higher, a lower one delays the updates about them.
	BurstBytes int

	// HeartbeatInterval is the lower limit of the mean interval between two
	// heartbeats to a host of the same data centre. The actual interval grows
	// with the number of members.
	HeartbeatInterval time.Duration
	// Watchers is the number of hosts that receive this host's heartbeat at
	// WatchInterval and monitor it. With more watchers a death is detected even
	// when more hosts fail at once, and each watcher costs one heartbeat per
	// WatchInterval. With 0 every host watches every other one at the heartbeat
	// interval.
	Watchers int
	// WatchInterval is the mean interval between two heartbeats to a watcher.
	WatchInterval time.Duration
	// SilenceIntervals is the number of mean intervals for which a watched host
	// may be silent before it is probed. A lower number detects failures sooner
	// and causes more unnecessary probes.
	SilenceIntervals int
	// ProbeTimeout is the time within which a host must answer a probe; after
	// it the host is suspected. It must exceed a round trip and a short pause.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time within which a suspect may refute its death;
	// after it the suspect is declared dead. A longer time spares paused hosts,
	// a shorter one frees the memory that dead hosts hold sooner.
	SuspicionTimeout time.Duration

	// Bridges is the number of hosts of a data centre that exchange heartbeats
	// with another data centre. With 0 every host exchanges heartbeats with
	// every host of the other data centres.
	Bridges int
	// BridgeInterval is the mean interval between two heartbeats to a host of
	// another data centre.
	BridgeInterval time.Duration
	// UnreachableAfter is the time without any contact with a data centre after
	// which its members are shown as suspect.
	UnreachableAfter time.Duration

	// DeadProbeInterval is the mean interval at which one host of the data
	// centre that is dead, or only listed, is probed. These probes detect the
	// end of a network partition. With 0 none are sent while this host knows a
	// peer.
	DeadProbeInterval time.Duration
	// SyncInterval is the minimum time between two requests for member tables
	// that differ.
	SyncInterval time.Duration
	// ForgetAfter is the time for which a dead member stays in the table. It
	// must exceed the time that an update takes to reach every host, or dead
	// members appear alive again.
	ForgetAfter time.Duration
	// PushDelay is the mean delay before new updates are pushed to a few peers.
	// A longer delay puts more updates into one heartbeat.
	PushDelay time.Duration
	// MaxPause is the longest normal time between two calls of Tick. A longer
	// one means that this host itself was paused, so the silence of the others
	// in that time does not count as a failure.
	MaxPause time.Duration

	// MaxNews is the maximum number of gossiped updates in one heartbeat.
	MaxNews int
	// MinLoads and MaxLoads bound the number of upstream loads in one
	// heartbeat; the traffic limit decides between them. More loads make the
	// heartbeat interval longer.
	MinLoads int
	MaxLoads int
}

// DefaultConfig returns the settings for up to 30 hosts in each of 16 data
// centres. With them a host sends and receives less than 3 KB/s in all, the
// headers of TCP and IP not counted. The caller must set Self and Seed.
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

// TCPOverheadBytes is the number of bytes that the headers of TCP and IPv4 add
// to one message and its acknowledgement.
const TCPOverheadBytes = 104

// HeaderOverheadConfig returns settings for a platform of the same size that
// keep the traffic of a host below 3 KB/s with the headers of TCP and IPv4
// counted. A death is detected some seconds later than with DefaultConfig.
func HeaderOverheadConfig() Config {
	cfg := DefaultConfig()
	cfg.OverheadBytes = TCPOverheadBytes
	cfg.BytesPerSecond = 1500
	cfg.WatchInterval = 2 * time.Second
	cfg.BridgeInterval = 4 * time.Second
	cfg.UnreachableAfter = 25 * time.Second
	return cfg
}

// Validate checks every field and returns a finding for each problem. The list
// is empty if the configuration is valid.
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
