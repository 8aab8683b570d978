// Package experiment measures how a configuration spreads over a fleet. It runs
// one Tracker per host in a simulation with a virtual clock, an in-memory
// network that delays and loses messages, and an in-memory object API that
// counts calls.
package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// Follower is the part of a configuration.Tracker that the simulation drives.
// Other implementations serve as counter-examples.
type Follower interface {
	// Step has the meaning of Tracker.Step, and Snapshot that of
	// Tracker.Snapshot.
	Step(now time.Duration, e configuration.Event) []configuration.Effect
	Snapshot() configuration.Snapshot
}

// Options describes one run.
type Options struct {
	// Hosts, DataCentres and Organisations are the size of the fleet and of its
	// configuration.
	Hosts         int
	DataCentres   int
	Organisations int
	// Seed initialises the random generator; equal options give equal results.
	Seed uint64
	// Duration is the virtual length of the run. WarmUp is the time at its
	// start that the means leave out. Changes is the number of changes accepted
	// during the run, spread evenly from WarmUp until 10 s before the end.
	Duration time.Duration
	WarmUp   time.Duration
	Changes  int
	// ReplacedHosts is the number of hosts whose process ends without warning
	// and is started again during the run.
	ReplacedHosts int
	// NearDelay and FarDelay are the one-way delays of messages within a data
	// centre and between data centres. StoreDelay is the delay of a call to the
	// object API. Each message and call takes a random time between the delay
	// and twice the delay.
	NearDelay  time.Duration
	FarDelay   time.Duration
	StoreDelay time.Duration
	// MessageLoss is the share of messages between hosts that are lost, and
	// SilentWatchShare the share of watches that never end; both are from 0 to
	// 1.
	MessageLoss      float64
	SilentWatchShare float64
	// DigestInterval is the mean time between two reports of a host's version
	// to one random member.
	DigestInterval time.Duration
	// MembershipLag is the time after which the other hosts learn that a
	// process ended or started.
	MembershipLag time.Duration
	// OutageFrom and OutageTo bound an outage of the object API. There is none
	// if they are equal.
	OutageFrom time.Duration
	OutageTo   time.Duration
	// SilentFrom and SilentTo bound a period in which every watch that is
	// started stays silent forever, while watches started later work. There is
	// no such period if they are equal.
	SilentFrom time.Duration
	SilentTo   time.Duration
	// CutDataCentres is the number of data centres that cannot reach the object
	// API after WarmUp.
	CutDataCentres int
	// NewFollower creates the Follower of one host's process.
	NewFollower func(c configuration.Config) Follower
}

// Data centres and organisations of a fleet of a given number of hosts.
const (
	minDataCentres     = 3
	maxDataCentres     = 16
	hostsPerDataCentre = 30
	// organisationsPerHost gives about 4,200 organisations to a fleet of 470
	// hosts.
	organisationsPerHost = 9
)

// DefaultOptions returns the options for a number of hosts: three data centres
// for small fleets and up to sixteen for large ones, and one host in three is
// replaced.
func DefaultOptions(hosts int, seed uint64) Options {
	return Options{
		Hosts:            hosts,
		DataCentres:      min(maxDataCentres, max(minDataCentres, (hosts+hostsPerDataCentre-1)/hostsPerDataCentre)),
		Organisations:    organisationsPerHost * hosts,
		Seed:             seed,
		Duration:         60 * time.Second,
		WarmUp:           10 * time.Second,
		Changes:          10,
		ReplacedHosts:    hosts / 3,
		NearDelay:        300 * time.Microsecond,
		FarDelay:         5 * time.Millisecond,
		StoreDelay:       3 * time.Millisecond,
		MessageLoss:      0.02,
		SilentWatchShare: 0.05,
		DigestInterval:   time.Second,
		MembershipLag:    2 * time.Second,
		NewFollower:      func(c configuration.Config) Follower { return configuration.New(c) },
	}
}

// Result holds the measurements of one run.
type Result struct {
	Hosts       int    `json:"hosts"`
	DataCentres int    `json:"data_centres"`
	Seed        uint64 `json:"seed"`
	// Changes is the number of changes accepted during the run.
	Changes int `json:"changes"`
	// InForceSeconds is the longest time, in seconds, from the acceptance of a
	// change until no ready host had an older version in force.
	// InForceMedianSeconds is the median of these times.
	InForceSeconds       float64 `json:"in_force_seconds"`
	InForceMedianSeconds float64 `json:"in_force_median_seconds"`
	// NotInForce is the number of changes that were not in force on all ready
	// hosts at the end.
	NotInForce int `json:"not_in_force"`
	// ReadySeconds is the longest time, in seconds, from the start of a host's
	// process until it had a configuration in force.
	ReadySeconds float64 `json:"ready_seconds"`
	// NotReady is the number of live hosts without a configuration at the end.
	NotReady int `json:"not_ready"`
	// Reversions counts the times that a host put a version in force that was
	// older than one it had in force before, also before its last restart.
	Reversions int `json:"reversions"`
	// StoreCallsPerSecond is the mean number of calls to the object API per
	// second after WarmUp, StoreCallsPeak the largest number in one second
	// after WarmUp, and StoreCallsAtStart the number of calls before the end of
	// WarmUp.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	StoreCallsPeak      int     `json:"store_calls_peak"`
	StoreCallsAtStart   int     `json:"store_calls_at_start"`
	// BytesPerSecond is the mean number of bytes per second that a host sends
	// to other hosts after WarmUp.
	BytesPerSecond float64 `json:"bytes_per_second_per_host"`
	// StoredBytes is the size of the manifest and the parts in the object API.
	StoredBytes int `json:"stored_bytes"`
	// Applied is the number of versions that all hosts together put in force
	// after WarmUp.
	Applied int `json:"applied"`
}

// String formats the result as one row of a table.
func (r Result) String() string {
	return fmt.Sprintf("hosts=%d data_centres=%d in_force_max=%.2fs in_force_median=%.2fs ready_max=%.2fs reversions=%d store_calls=%.2f/s store_peak=%d/s bytes=%.0f/s",
		r.Hosts, r.DataCentres, r.InForceSeconds, r.InForceMedianSeconds, r.ReadySeconds, r.Reversions,
		r.StoreCallsPerSecond, r.StoreCallsPeak, r.BytesPerSecond)
}

// Measure carries out one run and returns its measurements. Equal options give
// equal results.
func Measure(o Options) (Result, error) {
	s, err := newSimulation(o)
	if err != nil {
		return Result{}, err
	}
	s.schedule()
	if err := s.run(); err != nil {
		return Result{}, err
	}
	return s.result(), nil
}
