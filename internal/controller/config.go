package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// TickEvery is the longest time that the caller may let pass between two
// events.
const TickEvery = 100 * time.Millisecond

// Config holds the settings of a Core. Validate names the fields in its
// findings.
type Config struct {
	// DataCentre is the name of the data centre whose engines get the orders.
	DataCentre string
	// Lease and Order are the settings of the lease and of the order planner.
	Lease lease.Config
	Order order.Config
	// WatchWait is how long one watch call of the holder on the configuration's
	// manifest waits for a change. A longer wait costs fewer calls and detects
	// a watch that hangs later.
	WatchWait time.Duration
	// RetryEvery is the mean wait after a failed read of the configuration.
	RetryEvery time.Duration
	// HostsEvery is the lower bound of the mean time between two reads of the
	// list of hosts.
	HostsEvery time.Duration
	// HolderEntries and CandidateEntries bound how many entries of that list
	// the holder and each other candidate read a second. The list names the
	// hosts of all data centres. A higher rate detects new engines, and counts
	// the candidates, sooner.
	HolderEntries, CandidateEntries float64
	// CandidateReads bounds the reads of the list by all candidates of a data
	// centre together, in reads a second.
	CandidateReads float64
	// FreshFor is how long the holder may give orders by a configuration,
	// counted from the sending of the last successful read. It must be long
	// enough to survive a failed read, and it bounds how long orders continue
	// during an outage of the object API.
	FreshFor time.Duration
}

// DefaultConfig returns a configuration for one candidate.
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

// Validate checks the configuration, with those of the lease and of the orders,
// and returns one finding for each invalid field.
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
