package fleet

import (
	"context"
	"net/http"
	"time"
)

// EngineCounters holds the counters of one stand-in engine.
type EngineCounters struct {
	Name  string `json:"name"`
	Alive bool   `json:"alive"`
	Core  struct {
		Submitted uint64 `json:"submitted"`
		Cached    uint64 `json:"cached_tokens"`
		Prefilled uint64 `json:"prefilled_tokens"`
		Finished  uint64 `json:"finished"`
		Held      int64  `json:"memory_held_tokens"`
	} `json:"core"`
	// OrdersAccepted, StaleOrdersAccepted and OrdersRejectedAsStale count the
	// orders that the engine took, those taken with an outdated fencing number,
	// and those refused because of one.
	OrdersAccepted             int   `json:"orders_taken"`
	StaleOrdersAccepted        int   `json:"orders_stale_taken"`
	OrdersRejectedAsStale      int   `json:"orders_fenced"`
	WorkWhileLeaving           int   `json:"work_while_leaving"`
	LastWorkWhileLeavingMillis int64 `json:"last_work_while_leaving_ms"`
	// Connections is the number of connections accepted since the engine was last
	// started or revived.
	Connections   int            `json:"connections"`
	RunsByRequest map[string]int `json:"runs"`
}

// ServiceCounters holds the counters of one stand-in service.
type ServiceCounters struct {
	Name                       string         `json:"name"`
	RunsByKind                 map[string]int `json:"runs_by_kind"`
	RunsByRequest              map[string]int `json:"runs_by_request"`
	RunsByKey                  map[string]int `json:"runs_by_key"`
	WorkWhileLeaving           int            `json:"work_while_leaving"`
	LastWorkWhileLeavingMillis int64          `json:"last_work_while_leaving_ms"`
}

// PlatformCallCounts holds the number of calls that the platform stand-in has
// counted since its start, by kind, and the seconds that have passed since then.
type PlatformCallCounts struct {
	Seconds float64        `json:"seconds"`
	Calls   map[string]int `json:"calls"`
}

// Counts holds the counters of all stand-in engines and services.
type Counts struct {
	Engines  []EngineCounters
	Services []ServiceCounters
}

// Counts reads the counters of all stand-in engines and services. The counters
// for each request and key are included only if detailed is true.
func (f *Fleet) Counts(ctx context.Context, detailed bool) (Counts, error) {
	var all Counts
	query := ""
	if detailed {
		query = "?runs=1"
	}
	for dcIndex := range f.Deployment.DataCentres {
		var engines []EngineCounters
		url := "http://" + f.controlAddress(roleEngine, dcIndex) + "/counters" + query
		if err := f.client.call(ctx, http.MethodGet, url, nil, &engines); err != nil {
			return Counts{}, err
		}
		all.Engines = append(all.Engines, engines...)
		if len(f.UpstreamsOf(roleService, dcIndex)) == 0 {
			continue
		}
		var services []ServiceCounters
		url = "http://" + f.controlAddress(roleService, dcIndex) + "/counters" + query
		if err := f.client.call(ctx, http.MethodGet, url, nil, &services); err != nil {
			return Counts{}, err
		}
		all.Services = append(all.Services, services...)
	}
	return all, nil
}

// MemoryHeld returns the KV memory that is held on all engines together, in
// tokens.
func (c Counts) MemoryHeld() int64 {
	var held int64
	for _, e := range c.Engines {
		held += e.Core.Held
	}
	return held
}

// RanRequest reports whether any upstream ran the request with the given id.
func (c Counts) RanRequest(request string) bool {
	for _, e := range c.Engines {
		if e.RunsByRequest[request] > 0 {
			return true
		}
	}
	for _, s := range c.Services {
		if s.RunsByRequest[request] > 0 {
			return true
		}
	}
	return false
}

// RepeatedActionRuns counts the runs of actions beyond the first one for each
// key. If a router changed the key between two runs, the count by key would miss
// the second run. The total runs of the given kinds are therefore also compared
// with the number of keys that callers used, and the larger difference is
// returned.
func (c Counts) RepeatedActionRuns(kinds []string, keysUsed int) int {
	byKey := make(map[string]int)
	for _, s := range c.Services {
		for key, n := range s.RunsByKey {
			byKey[key] += n
		}
	}
	repeated := 0
	for _, n := range byKey {
		repeated += n - 1
	}
	return max(repeated, c.RunsOfKinds(kinds)-keysUsed)
}

// RunsOfKinds returns how many times the services ran calls of the given kinds.
func (c Counts) RunsOfKinds(kinds []string) int {
	runs := 0
	for _, s := range c.Services {
		for _, kind := range kinds {
			runs += s.RunsByKind[kind]
		}
	}
	return runs
}

// ReadPlatformCounts reads the counters of the platform stand-in.
func (f *Fleet) ReadPlatformCounts(ctx context.Context) (PlatformCallCounts, error) {
	var c PlatformCallCounts
	err := f.client.call(ctx, http.MethodGet, f.PlatformURL()+"/stats", nil, &c)
	return c, err
}

// PlatformFaults describes the faults that the platform stand-in injects. The
// probability is between 0 and 1.
type PlatformFaults struct {
	Down                  bool    `json:"down"`
	ExtraDelayMillis      int     `json:"extra_delay_ms"`
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	Seed                  uint64  `json:"seed"`
}

// SetPlatformFaults replaces all faults of the platform stand-in. The seed is set
// to that of the run.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults PlatformFaults) error {
	faults.Seed = f.config.Seed
	return f.client.call(ctx, http.MethodPost, f.PlatformURL()+"/faults", faults, nil)
}

// UpstreamFault is a request to one stand-in upstream to inject a fault.
type UpstreamFault struct {
	Kind        string `json:"kind"`
	ForMillis   int    `json:"for_ms,omitempty"`
	DelayMillis int    `json:"delay_ms,omitempty"`
	Count       int    `json:"count,omitempty"`
	Path        string `json:"path,omitempty"`
}

// SetUpstreamFault makes one stand-in upstream inject a fault.
func (f *Fleet) SetUpstreamFault(ctx context.Context, u Upstream, fault UpstreamFault) error {
	url := "http://" + f.controlAddress(u.Role, u.DataCentre) + "/" + u.Role + "s/" + u.Name + "/faults"
	return f.client.call(ctx, http.MethodPost, url, fault, nil)
}

// AnnounceLeaving announces that an upstream is leaving. It tells the upstream
// itself and the platform, whose list of hosts shows the change only after a
// delay.
func (f *Fleet) AnnounceLeaving(ctx context.Context, u Upstream) error {
	if err := f.SetUpstreamFault(ctx, u, UpstreamFault{Kind: "leaving"}); err != nil {
		return err
	}
	return f.MarkLeaving(ctx, u)
}

// MarkLeaving marks an upstream as leaving in the platform's list only; the
// upstream itself is not told.
func (f *Fleet) MarkLeaving(ctx context.Context, u Upstream) error {
	f.mu.Lock()
	f.leaving[u.Name] = true
	f.mu.Unlock()
	return f.PublishHosts(ctx)
}

// RouterStatus is the status of a router as its admin address reports it.
type RouterStatus struct {
	Host          string `json:"host"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

// Status reads the status of the router of a host from its admin address.
func (f *Fleet) Status(ctx context.Context, h Host) (RouterStatus, error) {
	var s RouterStatus
	err := f.client.call(ctx, http.MethodGet, "http://"+h.Admin+"/status", nil, &s)
	return s, err
}

// LastWorkWhileLeaving returns the longest time between an upstream's
// announcement that it leaves and the last new work that it still received. It
// returns 0 if no upstream received work after its announcement.
func (c Counts) LastWorkWhileLeaving() time.Duration {
	var longest int64
	for _, e := range c.Engines {
		longest = max(longest, e.LastWorkWhileLeavingMillis)
	}
	for _, s := range c.Services {
		longest = max(longest, s.LastWorkWhileLeavingMillis)
	}
	return time.Duration(longest) * time.Millisecond
}

// StaleOrders counts the orders that engines accepted although they had already
// seen a newer fencing number.
func (c Counts) StaleOrders() int {
	stale := 0
	for _, e := range c.Engines {
		stale += e.StaleOrdersAccepted
	}
	return stale
}

// controllerDump holds the fields that are read from a controller's dump.
type controllerDump struct {
	Holder bool `json:"holder"`
}

// HoldsLease reports whether the controller of a host states that it holds the
// lease of its data centre.
func (f *Fleet) HoldsLease(ctx context.Context, h Host) (bool, error) {
	var d controllerDump
	err := f.client.call(ctx, http.MethodGet, "http://"+h.ControllerAdmin+"/dump", nil, &d)
	return d.Holder, err
}

// engineStatus holds the fields that are read from an engine's status.
type engineStatus struct {
	Models []string `json:"models"`
}

// EnginesNotHoldingOnly returns the names of the engines that have loaded
// anything else than exactly the given model, which is written as
// "model@version".
func (f *Fleet) EnginesNotHoldingOnly(ctx context.Context, model string) ([]string, error) {
	var notHolding []string
	for _, u := range f.Upstreams {
		if u.Role != roleEngine {
			continue
		}
		var s engineStatus
		if err := f.client.call(ctx, http.MethodGet, "http://"+u.Address+"/status", nil, &s); err != nil {
			return nil, err
		}
		if len(s.Models) != 1 || s.Models[0] != model {
			notHolding = append(notHolding, u.Name)
		}
	}
	return notHolding, nil
}
