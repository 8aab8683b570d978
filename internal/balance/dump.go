package balance

import (
	"sort"
	"time"
)

// Dump is the core's state for operators.
type Dump struct {
	Upstreams  []UpstreamDump `json:"upstreams"`
	Waiting    int            `json:"waiting"`
	InFlight   int            `json:"in_flight"`
	OtherHosts int            `json:"other_hosts"`
}

// UpstreamDump is what is known of one upstream.
type UpstreamDump struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	DataCentre   string  `json:"data_centre"`
	Leaving      bool    `json:"leaving"`
	Requests     int     `json:"requests"`
	HelperParts  int     `json:"helping"`
	MemoryTokens int     `json:"memory_tokens"`
	BacklogMs    int64   `json:"backlog_ms"`
	FailureShare float64 `json:"failure_share"`
	AvoidedMs    int64   `json:"avoided_ms"`
}

// Dump returns the state, ordered by upstream.
func (c *Core) Dump(now time.Duration) Dump {
	d := Dump{Waiting: c.Waiting(), InFlight: c.InFlight(), OtherHosts: c.others}
	for _, u := range c.upstreams {
		l := u.load()
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			ID: u.ID, Service: u.Service, DataCentre: u.DataCentre, Leaving: u.Draining,
			Requests: l.leading, HelperParts: l.helping, MemoryTokens: l.memory,
			BacklogMs: u.backlog(now).Milliseconds(), FailureShare: u.failureShare(now),
			AvoidedMs: max(0, u.avoidUntil-now).Milliseconds(),
		})
	}
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].ID < d.Upstreams[j].ID })
	return d
}
