package configuration

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// MaxTickInterval is the longest time that the caller of a Tracker may leave
// between two Tick events.
const MaxTickInterval = 200 * time.Millisecond

// Config holds the settings of a Tracker. All durations must be above 0.
type Config struct {
	// Host is the name of this process's host, and DataCentre the name of the
	// data centre that it runs in.
	Host       string
	DataCentre string
	// Seed initialises the random generator that chooses peers and adds jitter
	// to retries.
	Seed uint64
	// Watchers is the number of hosts in each data centre that watch the object
	// API for changes, at least 1. With more watchers, a change is found sooner
	// when one of the watches is silent, but there are more calls to the object
	// API.
	Watchers int
	// WatchMin and WatchMax are the lower and upper bounds of the time that one
	// watch waits for a change. A longer wait saves calls, but a silent watch
	// is noticed later.
	WatchMin time.Duration
	WatchMax time.Duration
	// WatchSpacing is the mean time between two watch calls of the whole fleet:
	// each watch waits WatchSpacing times the number of watching hosts, within
	// WatchMin and WatchMax. A shorter spacing makes more calls in a fleet of
	// any size.
	WatchSpacing time.Duration
	// WatchGrace is the additional time that a watch's answer may take, after
	// its wait, before the watch counts as silent and is replaced.
	WatchGrace time.Duration
	// FetchTimeout is the time limit of one read from the object API.
	FetchTimeout time.Duration
	// PeerTimeout is the time limit of one request to a peer, and the time for
	// which a peer is not asked again after a failure. A shorter limit tries
	// another peer sooner, but wastes the answers of slow peers.
	PeerTimeout time.Duration
	// RetryMin and RetryMax bound the wait after a failed call to the object
	// API. The wait starts at RetryMin, doubles with each failure up to
	// RetryMax, and is randomised.
	RetryMin time.Duration
	RetryMax time.Duration
	// LearnWait is the time for which a new process that cannot read the object
	// API collects the versions of its peers before it accepts the highest of
	// them.
	LearnWait time.Duration
	// FallbackAfter is the time for which a host that does not watch tries to
	// get a newer version from its peers before it reads the object API itself.
	// The wait is randomised between this value and twice this value. A shorter
	// time puts more load on the object API after a network partition.
	FallbackAfter time.Duration
	// RepairEvery is the minimum time between two announcements to the same
	// peer when that peer keeps reporting an older version.
	RepairEvery time.Duration
	// RankDelay is the extra wait of each further watching host of a data
	// centre before it reads new parts from the object API, so that the hosts
	// ranked before it can read them first. A longer delay saves reads, but a
	// change takes longer when the first host is gone.
	RankDelay time.Duration
	// BulkWait is the time for which a watching host that lacks more than
	// StoreParts parts looks for a peer that has them, before it reads them
	// from the object API. The wait is randomised between this value and twice
	// this value.
	BulkWait time.Duration
	// StoreParts is the largest number of missing parts that a watching host
	// reads from the object API without asking peers first. A larger number
	// makes a change of many parts spread faster, but the start of a host costs
	// more reads.
	StoreParts int
}

// DefaultConfig returns the default settings for a host of a data centre, with
// the given seed of the random generator.
func DefaultConfig(host, dataCentre string, seed uint64) Config {
	return Config{
		Host:          host,
		DataCentre:    dataCentre,
		Seed:          seed,
		Watchers:      2,
		WatchMin:      3 * time.Second,
		WatchMax:      10 * time.Second,
		WatchSpacing:  400 * time.Millisecond,
		WatchGrace:    1500 * time.Millisecond,
		FetchTimeout:  3 * time.Second,
		PeerTimeout:   time.Second,
		RetryMin:      250 * time.Millisecond,
		RetryMax:      8 * time.Second,
		LearnWait:     3 * time.Second,
		FallbackAfter: 4 * time.Second,
		RepairEvery:   time.Second,
		RankDelay:     200 * time.Millisecond,
		BulkWait:      1500 * time.Millisecond,
		StoreParts:    8,
	}
}

// Validate returns a finding for every invalid setting. The list is empty when
// the settings can be used.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.Host == "" {
		l.Add("Host", "is empty; name the process")
	}
	if c.DataCentre == "" {
		l.Add("DataCentre", "is empty; name the data centre")
	}
	if c.Watchers < 1 {
		l.Add("Watchers", "must be at least 1")
	}
	if c.StoreParts < 0 {
		l.Add("StoreParts", "must not be negative")
	}
	if c.WatchMax < c.WatchMin {
		l.Add("WatchMax", "must not be below WatchMin")
	}
	if c.RetryMax < c.RetryMin {
		l.Add("RetryMax", "must not be below RetryMin")
	}
	durations := []struct {
		place string
		value time.Duration
	}{
		{"WatchMin", c.WatchMin},
		{"WatchSpacing", c.WatchSpacing},
		{"WatchGrace", c.WatchGrace},
		{"FetchTimeout", c.FetchTimeout},
		{"PeerTimeout", c.PeerTimeout},
		{"RetryMin", c.RetryMin},
		{"LearnWait", c.LearnWait},
		{"FallbackAfter", c.FallbackAfter},
		{"RepairEvery", c.RepairEvery},
		{"RankDelay", c.RankDelay},
		{"BulkWait", c.BulkWait},
	}
	for _, d := range durations {
		if d.value <= 0 {
			l.Add(d.place, "must be above 0")
		}
	}
	return l
}
