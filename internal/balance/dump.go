package balance

import (
	"sort"
	"time"
)

// Dump is a snapshot of the core's state for operators.
type Dump struct {
	// Upstreams lists the registered servers of all services, ordered by id.
	Upstreams []UpstreamDump `json:"upstreams"`
	// Waiting is the number of requests in the queue, InFlight the number of
	// those that an upstream was chosen for.
	Waiting  int `json:"waiting"`
	InFlight int `json:"in_flight"`
	// OtherHosts is the number of other hosts.
	OtherHosts int `json:"other_hosts"`
	// PlacementsTried counts how often servers were looked for since the start.
	PlacementsTried uint64 `json:"placements_tried"`
	// Coordinator is the host that chooses servers for this one; empty if it chooses them
	// itself. Asked is the number of other hosts' requests that it has lately been asked
	// about.
	Coordinator string `json:"coordinator"`
	Asked       int    `json:"asked"`
}

// UpstreamDump contains what the core knows about one upstream.
type UpstreamDump struct {
	// ID identifies the server, Service is the name of its service and
	// DataCentre that of its data centre.
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Leaving is set when the server takes no new requests.
	Leaving bool `json:"leaving"`
	// Requests is the number of requests that the server answers, HelperParts
	// the number of other requests of which it prefills or holds a part.
	Requests    int `json:"requests"`
	HelperParts int `json:"helping"`
	// MemoryTokens is the KV memory in use, in tokens.
	MemoryTokens int `json:"memory_tokens"`
	// BacklogMs is the prefill time that is still to be done, in milliseconds.
	BacklogMs int64 `json:"backlog_ms"`
	// FailureShare is the expected share of failures, from 0 to 1.
	FailureShare float64 `json:"failure_share"`
	// AvoidedMs is how much longer the server is avoided, in milliseconds.
	AvoidedMs int64 `json:"avoided_ms"`
	// RestMs is how much longer the server wants no requests from this host, in
	// milliseconds.
	RestMs int64 `json:"rest_ms"`
}

// Dump returns a snapshot of the state at the given time, ordered by upstream
// id.
func (c *Core) Dump(now time.Duration) Dump {
	d := Dump{
		Waiting: c.Waiting(), InFlight: c.InFlight(), OtherHosts: c.otherHosts,
		PlacementsTried: c.placementsTried, Coordinator: c.chooseCoordinator(now), Asked: len(c.asked),
	}
	for _, u := range c.upstreams {
		load := u.load()
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			ID: u.ID, Service: u.Service, DataCentre: u.DataCentre, Leaving: !u.accepting(),
			Requests: load.leaders, HelperParts: load.helperParts, MemoryTokens: load.memoryTokens,
			BacklogMs: u.backlog(now).Milliseconds(), FailureShare: u.failureShare(now),
			AvoidedMs: max(0, u.avoidUntil-now).Milliseconds(), RestMs: max(0, u.intake.restUntil-now).Milliseconds(),
		})
	}
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].ID < d.Upstreams[j].ID })
	return d
}
