package balance

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Dump is a snapshot of the core's state for operators.
type Dump struct {
	// Host is the name of this host.
	Host string `json:"host"`
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
	// ReturnsPromised is the number of refused requests of all hosts that are to come back.
	ReturnsPromised int `json:"returns_promised"`
	// Evacuated lists the data centres that the operator has taken out of service, ordered
	// by name.
	Evacuated []EvacuationDump `json:"evacuated,omitempty"`
}

// EvacuationDump describes a data centre that the operator has taken out of service.
type EvacuationDump struct {
	DataCentre string `json:"data_centre"`
	// SinceMs is the time since this host learned of it, in milliseconds. RunningHere is
	// the number of this host's answers that still end there.
	SinceMs     int64 `json:"since_ms"`
	RunningHere int   `json:"running_here"`
}

// UpstreamDump contains what the core knows about one upstream.
type UpstreamDump struct {
	// ID identifies the server, Service is the name of its service and
	// DataCentre that of its data centre.
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Region is that of the data centre; empty if it is not known.
	Region string `json:"region,omitempty"`
	// Excluded is the reason why the server gets no new requests from this host now, apart
	// from reasons that only some requests have, such as their regions; empty if it may get
	// some.
	Excluded Exclusion `json:"excluded,omitempty"`
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
	// ColdMs is how much longer the server counts as cold, in milliseconds. ColdShare is the
	// number of requests a second that this host may send it meanwhile, ColdShareMs the time
	// until it may send the next one.
	ColdMs      int64   `json:"cold_ms"`
	ColdShare   float64 `json:"cold_share"`
	ColdShareMs int64   `json:"cold_share_ms"`
}

// Dump returns a snapshot of the state at the given time, ordered by upstream
// id.
func (c *Core) Dump(now time.Duration) Dump {
	d := Dump{
		Host:    c.config.Host,
		Waiting: c.Waiting(), InFlight: c.InFlight(), OtherHosts: c.otherHosts,
		PlacementsTried: c.placementsTried, Coordinator: c.chooseCoordinator(now), Asked: len(c.asked),
		ReturnsPromised: len(c.returns.promised),
	}
	for _, u := range c.upstreams {
		load := u.load()
		upstream := UpstreamDump{
			ID: u.ID, Service: u.Service, DataCentre: u.DataCentre, Region: u.Region, Excluded: c.explain(u, &request{}, now), Leaving: !u.accepting(),
			Requests: load.leaders, HelperParts: load.helperParts, MemoryTokens: load.memoryTokens,
			BacklogMs: u.backlog(now).Milliseconds(), FailureShare: u.failureShare(now),
			AvoidedMs: max(0, u.avoidUntil-now).Milliseconds(), RestMs: max(0, u.intake.restUntil-now).Milliseconds(),
		}
		if c.isCold(u, now) {
			upstream.ColdMs, upstream.ColdShareMs = (u.warmth.coldUntil - now).Milliseconds(), (c.coldAdmitsAt(u, now) - now).Milliseconds()
			upstream.ColdShare = c.coldShareOf(u, now).perSecond
		}
		d.Upstreams = append(d.Upstreams, upstream)
	}
	d.Evacuated = c.dumpEvacuations(now)
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].ID < d.Upstreams[j].ID })
	return d
}

// dumpEvacuations describes the data centres that are out of service.
func (c *Core) dumpEvacuations(now time.Duration) []EvacuationDump {
	var list []EvacuationDump
	for _, dataCentre := range slices.Sorted(maps.Keys(c.evacuatedSince)) {
		d := EvacuationDump{DataCentre: dataCentre, SinceMs: (now - c.evacuatedSince[dataCentre]).Milliseconds()}
		for _, r := range c.requests {
			if len(r.members) > 0 && r.members[0].DataCentre == dataCentre {
				d.RunningHere++
			}
		}
		list = append(list, d)
	}
	return list
}
