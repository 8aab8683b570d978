package configuration

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// MaxTickInterval is the longest time between two Tick events.
const MaxTickInterval = 200 * time.Millisecond

// Config is the settings of a Tracker.
type Config struct {
	// Host and DataCentre are of this process.
	Host       string
	DataCentre string
	// Seed feeds the choice of peers and the jitter of retries.
	Seed uint64
	// Watchers is how many hosts of each data centre watch the object API.
	// More find a change sooner when one watch is silent, and cost more calls.
	Watchers int
	// WatchMin and WatchMax bound how long one watch waits. Longer saves calls;
	// a silent watch is noticed later.
	WatchMin time.Duration
	WatchMax time.Duration
	// WatchSpacing is the time between two watches of the whole fleet: the
	// wait is WatchSpacing for each watching host, within its bounds. Shorter
	// makes more calls in a fleet of any size.
	WatchSpacing time.Duration
	// WatchGrace is how much longer than its wait an answer may take before
	// the watch counts as silent.
	WatchGrace time.Duration
	// FetchTimeout bounds a read from the object API.
	FetchTimeout time.Duration
	// PeerTimeout bounds a request to a peer. Shorter tries another peer
	// sooner, and wastes answers of slow ones.
	PeerTimeout time.Duration
	// RetryMin and RetryMax bound the wait after a failed call to the object
	// API; the wait doubles in between and is randomised.
	RetryMin time.Duration
	RetryMax time.Duration
	// LearnWait is how long a fresh process that cannot read the object API
	// collects its peers' versions before it takes the highest.
	LearnWait time.Duration
	// FallbackAfter is how long a host that does not watch tries its peers
	// before it reads the object API. Shorter loads the object API after a
	// partition; the wait is randomised up to twice as long.
	FallbackAfter time.Duration
	// RepairEvery is the least time between two announcements to a peer that
	// reports an older version.
	RepairEvery time.Duration
	// RankDelay is how long each further watching host of a data centre leaves
	// it to the ones before it to read new parts from the object API. Longer
	// saves reads; a change takes longer when the first host is gone.
	RankDelay time.Duration
	// BulkWait is how long a watching host that lacks more than StoreParts
	// looks for a peer that has them; the wait is randomised up to twice as long.
	BulkWait time.Duration
	// StoreParts is how many missing parts a watching host reads from the
	// object API at once; with more it asks peers first. More makes a change
	// of many parts faster and the start of a host dearer.
	StoreParts int
}

// DefaultConfig returns the settings for a host, its data centre and a seed.
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

// Validate returns every problem of the settings.
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
