package dispatch

import (
	"sort"
	"time"
)

// Dump is a snapshot of the core that operators can look at.
type Dump struct {
	Policy         Policy `json:"policy"`
	Draining       bool   `json:"draining"`
	InFlight       int    `json:"in_flight"`
	Queued         int    `json:"queued"`
	PendingCancels int    `json:"cancels_pending"`
	// ShortDemand is the number of engines that this host's short requests keep
	// busy. MemoryReserve is the memory, in tokens, that long prompts must
	// leave free. WaitBias is the factor by which predicted waits are
	// multiplied.
	ShortDemand   float64        `json:"short_demand"`
	MemoryReserve int            `json:"memory_reserve_tokens"`
	WaitBias      float64        `json:"wait_bias"`
	Upstreams     []UpstreamDump `json:"upstreams"`
	Requests      []RequestDump  `json:"requests"`
	// Omitted is the number of requests and upstreams left out because of the
	// limit.
	Omitted int `json:"omitted"`
}

// UpstreamDump is what the host knows about one upstream. The backlog and the
// memory in use are predictions. ReportAgeMs is the time since the last load
// report was requested, in milliseconds; without a report it is the time since
// the process started.
type UpstreamDump struct {
	Name          string   `json:"name"`
	Address       string   `json:"address"`
	DataCentre    string   `json:"data_centre"`
	Service       string   `json:"service,omitempty"`
	Usable        bool     `json:"usable"`
	Leaving       bool     `json:"leaving"`
	Failures      int      `json:"failures"`
	ReportAgeMs   int64    `json:"report_age_ms"`
	Models        []string `json:"models,omitempty"`
	OwnRequests   int      `json:"own_requests"`
	BacklogTokens int      `json:"backlog_tokens"`
	MemoryUsed    int      `json:"memory_used_tokens"`
	MemoryTotal   int      `json:"memory_total_tokens"`
}

// RequestDump is the state of one request in flight. RemainingMs is the time
// until its deadline, in milliseconds.
type RequestDump struct {
	ID           string   `json:"id"`
	Organisation string   `json:"organisation"`
	Kind         string   `json:"kind"`
	Phase        string   `json:"phase"`
	Attempt      uint32   `json:"attempt"`
	PromptTokens int      `json:"prompt_tokens"`
	RemainingMs  int64    `json:"remaining_ms"`
	Upstreams    []string `json:"upstreams,omitempty"`
}

// Dump returns a snapshot with at most limit upstreams and at most limit
// requests. The upstreams come in the order of their names, engines before
// services; the requests are those with the nearest deadlines.
func (c *Core) Dump(now time.Duration, limit int) Dump {
	d := Dump{
		Policy:         c.cfg.Policy,
		Draining:       c.draining,
		InFlight:       len(c.requests),
		Queued:         len(c.queue.items),
		PendingCancels: c.cancels.len(),
		ShortDemand:    c.demand.shortDemand(),
		MemoryReserve:  c.memoryReserve(),
		WaitBias:       c.waitCorrection.factor(),
	}
	c.dumpUpstreams(now, limit, &d)
	c.dumpRequests(now, limit, &d)
	return d
}

// dumpUpstreams adds the upstreams to a snapshot.
func (c *Core) dumpUpstreams(now time.Duration, limit int, d *Dump) {
	for _, list := range [][]*upstream{c.engines, c.services} {
		for _, u := range list {
			if len(d.Upstreams) == limit {
				d.Omitted++
				continue
			}
			d.Upstreams = append(d.Upstreams, c.dumpUpstream(now, u))
		}
	}
}

// dumpUpstream returns the part of a snapshot that describes one upstream.
func (c *Core) dumpUpstream(now time.Duration, u *upstream) UpstreamDump {
	return UpstreamDump{
		Name:          u.name,
		Address:       u.address,
		DataCentre:    u.dataCentre,
		Service:       u.service,
		Usable:        u.usable(),
		Leaving:       u.leaving,
		Failures:      u.failures,
		ReportAgeMs:   (now - u.report.RequestedAt).Milliseconds(),
		Models:        u.models,
		OwnRequests:   u.ownRequests,
		BacklogTokens: u.backlog(now),
		MemoryUsed:    u.memoryUsed(),
		MemoryTotal:   u.memoryTotal(&c.cfg),
	}
}

// dumpRequests adds the requests with the nearest deadlines to a snapshot.
func (c *Core) dumpRequests(now time.Duration, limit int, d *Dump) {
	all := append([]*request(nil), c.deadlines...)
	sort.Slice(all, func(i, j int) bool { return deadlineHeap(all).Less(i, j) })
	for i, r := range all {
		if i == limit {
			d.Omitted += len(all) - limit
			return
		}
		rd := RequestDump{
			ID:           r.ID,
			Organisation: r.Organisation,
			Kind:         r.Kind,
			Phase:        r.phase.String(),
			Attempt:      r.attempt,
			PromptTokens: r.PromptTokens,
			RemainingMs:  (r.Deadline - now).Milliseconds(),
		}
		for _, u := range r.group {
			rd.Upstreams = append(rd.Upstreams, u.name)
		}
		d.Requests = append(d.Requests, rd)
	}
}
