// Package experiment measures how a configuration spreads: it drives one
// Tracker per host with a virtual clock, an in-memory network that delays and
// loses messages, and an in-memory object API that counts calls.
package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// Follower is what the experiment drives; a configuration.Tracker is one.
type Follower interface {
	Step(now time.Duration, e configuration.Event) []configuration.Effect
	Snapshot() configuration.Snapshot
}

// Options describe one run.
type Options struct {
	Hosts         int
	DataCentres   int
	Organisations int
	Seed          uint64
	// Length is the virtual time of the run, Changes the number of accepted
	// changes in it, spread evenly after Settle.
	Length  time.Duration
	Settle  time.Duration
	Changes int
	// Replaced is how many hosts die and start again during the run.
	Replaced int
	// NearDelay and FarDelay are one way, within and between data centres;
	// each message takes up to twice as long. StoreDelay is that of a call.
	NearDelay  time.Duration
	FarDelay   time.Duration
	StoreDelay time.Duration
	// Loss is the share of messages between hosts that vanish, SilentWatches
	// the share of watches that never end.
	Loss          float64
	SilentWatches float64
	// DigestEvery is how often a host tells one random member its version.
	DigestEvery time.Duration
	// MembershipLag is how much later a death or start is known.
	MembershipLag time.Duration
	// OutageFrom and OutageTo bound an outage of the object API; none if equal.
	OutageFrom time.Duration
	OutageTo   time.Duration
	// SilentFrom and SilentTo bound a time in which every watch that starts is
	// silent for good, while later ones work; none if equal.
	SilentFrom time.Duration
	SilentTo   time.Duration
	// CutDataCentres is how many data centres cannot reach the object API
	// after Settle.
	CutDataCentres int
	// New makes the follower of one host.
	New func(c configuration.Config) Follower
}

// Shape of a fleet by its size.
const (
	minDataCentres     = 3
	maxDataCentres     = 16
	hostsPerDataCentre = 30
	// organisationsPerHost gives 4,200 organisations to 470 hosts.
	organisationsPerHost = 9
)

// DefaultOptions returns the options for a number of hosts: three data centres for
// small fleets and up to sixteen, one host in three replaced.
func DefaultOptions(hosts int, seed uint64) Options {
	return Options{
		Hosts:         hosts,
		DataCentres:   min(maxDataCentres, max(minDataCentres, (hosts+hostsPerDataCentre-1)/hostsPerDataCentre)),
		Organisations: organisationsPerHost * hosts,
		Seed:          seed,
		Length:        60 * time.Second,
		Settle:        10 * time.Second,
		Changes:       10,
		Replaced:      hosts / 3,
		NearDelay:     300 * time.Microsecond,
		FarDelay:      5 * time.Millisecond,
		StoreDelay:    3 * time.Millisecond,
		Loss:          0.02,
		SilentWatches: 0.05,
		DigestEvery:   time.Second,
		MembershipLag: 2 * time.Second,
		New:           func(c configuration.Config) Follower { return configuration.New(c) },
	}
}

// Result is what one run showed.
type Result struct {
	Hosts       int    `json:"hosts"`
	DataCentres int    `json:"data_centres"`
	Seed        uint64 `json:"seed"`
	Changes     int    `json:"changes"`
	// InForceSeconds is the longest time from an acceptance until no ready
	// host had an older version in force; InForceMedianSeconds the median.
	InForceSeconds       float64 `json:"in_force_seconds"`
	InForceMedianSeconds float64 `json:"in_force_median_seconds"`
	// NotInForce counts changes that were not in force everywhere at the end.
	NotInForce int `json:"not_in_force"`
	// ReadySeconds is the longest time from a host's start until it was ready.
	ReadySeconds float64 `json:"ready_seconds"`
	// NotReady counts live hosts that were not ready at the end.
	NotReady int `json:"not_ready"`
	// Reversions counts versions put in force below one that the host had in
	// force before, also before its last restart.
	Reversions int `json:"reversions"`
	// StoreCallsPerSecond is the mean after Settle, StoreCallsPeak the most
	// in one second, StoreCallsAtStart the calls before Settle.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	StoreCallsPeak      int     `json:"store_calls_peak"`
	StoreCallsAtStart   int     `json:"store_calls_at_start"`
	// BytesPerSecond is the mean that a host sends after Settle.
	BytesPerSecond float64 `json:"bytes_per_second_per_host"`
	// StoredBytes is the size of the configuration in the object API.
	StoredBytes int `json:"stored_bytes"`
	// Applied is the number of versions put in force after Settle by all hosts.
	Applied int `json:"applied"`
}

// String formats the result as one row of a table.
func (r Result) String() string {
	return fmt.Sprintf("hosts=%d data_centres=%d in_force_max=%.2fs in_force_median=%.2fs ready_max=%.2fs reversions=%d store_calls=%.2f/s store_peak=%d/s bytes=%.0f/s",
		r.Hosts, r.DataCentres, r.InForceSeconds, r.InForceMedianSeconds, r.ReadySeconds, r.Reversions,
		r.StoreCallsPerSecond, r.StoreCallsPeak, r.BytesPerSecond)
}

// Measure carries out one run. Equal options give equal results.
func Measure(o Options) (Result, error) {
	w, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	w.plan()
	if err := w.run(); err != nil {
		return Result{}, err
	}
	return w.result(), nil
}
