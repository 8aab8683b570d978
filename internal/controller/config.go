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
	// ConfigurationEvery is the time between two reads of the configuration's
	// manifest by the holder. Shorter brings changes to engines sooner and
	// costs reads.
	ConfigurationEvery time.Duration
	// HostsEvery is the time between two reads of the list of hosts by the
	// holder.
	HostsEvery time.Duration
	// HostsRate bounds the reads of that list by the candidates of a data
	// centre together, in reads a second; they only count themselves by it.
	HostsRate float64
	// FreshFor is how long after a read of the configuration the holder gives
	// orders by it. It must ride out a failed read, and bounds how long
	// orders go on in an outage.
	FreshFor time.Duration
}

// DefaultConfig returns a configuration for a candidate.
func DefaultConfig(dataCentre, host, instance string, seed uint64) Config {
	return Config{
		DataCentre:         dataCentre,
		Lease:              lease.DefaultConfig(host, instance, seed),
		Order:              order.DefaultConfig(seed),
		ConfigurationEvery: 2 * time.Second,
		HostsEvery:         2 * time.Second,
		HostsRate:          0.2,
		FreshFor:           5 * time.Second,
	}
}

// Validate returns every problem found.
func (c Config) Validate() finding.List {
	l := append(c.Lease.Validate(), c.Order.Validate()...)
	if c.DataCentre == "" {
		l.Add("DataCentre", "must not be empty")
	}
	if c.ConfigurationEvery <= 0 {
		l.Add("ConfigurationEvery", "must be above 0")
	}
	if c.HostsEvery <= 0 {
		l.Add("HostsEvery", "must be above 0")
	}
	if c.HostsRate <= 0 {
		l.Add("HostsRate", "must be above 0")
	}
	if c.FreshFor <= c.ConfigurationEvery {
		l.Add("FreshFor", "must be above ConfigurationEvery")
	}
	return l
}
