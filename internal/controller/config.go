package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// TickEvery is the longest time between two events.
const TickEvery = 100 * time.Millisecond

// Config configures a Core.
type Config struct {
	DataCentre string
	Lease      lease.Config
	Order      order.Config
	// WatchWait is how long the holder's watch on the configuration's manifest
	// waits. Longer costs fewer calls and finds a silent watch later.
	WatchWait time.Duration
	// RetryEvery is the mean wait after a failed read of the configuration.
	RetryEvery time.Duration
	// HostsEvery is the least mean time between two reads of the list of hosts.
	HostsEvery time.Duration
	// HolderEntries and CandidateEntries bound the entries a second that the
	// holder and a candidate read of that list, which names all data centres.
	// Higher finds new engines, and counts the candidates, sooner.
	HolderEntries, CandidateEntries float64
	// CandidateReads bounds the reads of the list by the candidates of a data
	// centre together, in reads a second.
	CandidateReads float64
	// FreshFor is how long after a read of the configuration was sent the
	// holder gives orders by it. It must ride out a failed read, and bounds
	// how long orders go on in an outage.
	FreshFor time.Duration
}

// DefaultConfig returns a configuration for a candidate.
func DefaultConfig(dataCentre, host, instance string, seed uint64) Config {
	return Config{
		DataCentre:       dataCentre,
		Lease:            lease.DefaultConfig(host, instance, seed),
		Order:            order.DefaultConfig(seed),
		WatchWait:        2 * time.Second,
		RetryEvery:       time.Second,
		HostsEvery:       2 * time.Second,
		HolderEntries:    20,
		CandidateEntries: 5,
		CandidateReads:   0.2,
		FreshFor:         8 * time.Second,
	}
}

// Validate returns every problem found.
func (c Config) Validate() finding.List {
	l := append(c.Lease.Validate(), c.Order.Validate()...)
	if c.DataCentre == "" {
		l.Add("DataCentre", "must not be empty")
	}
	for _, f := range []struct {
		place string
		value float64
	}{
		{"WatchWait", float64(c.WatchWait)},
		{"RetryEvery", float64(c.RetryEvery)},
		{"HostsEvery", float64(c.HostsEvery)},
		{"HolderEntries", c.HolderEntries},
		{"CandidateEntries", c.CandidateEntries},
		{"CandidateReads", c.CandidateReads},
	} {
		if !(f.value > 0) {
			l.Add(f.place, "must be above 0")
		}
	}
	if c.FreshFor <= 2*c.WatchWait {
		l.Add("FreshFor", "must be above twice WatchWait")
	}
	return l
}
