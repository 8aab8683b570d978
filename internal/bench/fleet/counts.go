package fleet

import (
	"context"
	"net/http"
	"time"
)

// EngineCounters is what one stand-in engine has counted.
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
	OrdersAccepted             int   `json:"orders_taken"`
	StaleOrdersAccepted        int   `json:"orders_stale_taken"`
	OrdersRejectedAsStale      int   `json:"orders_fenced"`
	WorkWhileLeaving           int   `json:"work_while_leaving"`
	LastWorkWhileLeavingMillis int64 `json:"last_work_while_leaving_ms"`
	// Connections counts those accepted since the engine last came to life.
	Connections   int            `json:"connections"`
	RunsByRequest map[string]int `json:"runs"`
}

// ServiceCounters is what one stand-in service has counted.
type ServiceCounters struct {
	Name                       string         `json:"name"`
	RunsByKind                 map[string]int `json:"runs_by_kind"`
	RunsByRequest              map[string]int `json:"runs_by_request"`
	RunsByKey                  map[string]int `json:"runs_by_key"`
	WorkWhileLeaving           int            `json:"work_while_leaving"`
	LastWorkWhileLeavingMillis int64          `json:"last_work_while_leaving_ms"`
}

// PlatformCallCounts is what the platform stand-in has counted.
type PlatformCallCounts struct {
	Seconds float64        `json:"seconds"`
	Calls   map[string]int `json:"calls"`
}

// Counts is what all stand-ins have counted.
type Counts struct {
	Engines  []EngineCounters
	Services []ServiceCounters
}

// Counts reads the counters of all stand-ins; those per request and key only
// if detailed.
func (f *Fleet) Counts(ctx context.Context, detailed bool) (Counts, error) {
	var all Counts
	query := ""
	if detailed {
		query = "?runs=1"
	}
	for place := range f.Deployment.DataCentres {
		var engines []EngineCounters
		url := "http://" + f.steering(roleEngine, place) + "/counters" + query
		if err := f.control.call(ctx, http.MethodGet, url, nil, &engines); err != nil {
			return Counts{}, err
		}
		all.Engines = append(all.Engines, engines...)
		if len(f.UpstreamsOf(roleService, place)) == 0 {
			continue
		}
		var services []ServiceCounters
		url = "http://" + f.steering(roleService, place) + "/counters" + query
		if err := f.control.call(ctx, http.MethodGet, url, nil, &services); err != nil {
			return Counts{}, err
		}
		all.Services = append(all.Services, services...)
	}
	return all, nil
}

// MemoryHeld is the KV memory held on all engines, in tokens.
func (c Counts) MemoryHeld() int64 {
	var held int64
	for _, e := range c.Engines {
		held += e.Core.Held
	}
	return held
}

// RanRequest reports whether any upstream ran a request.
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

// RepeatedActionRuns counts the runs of actions beyond the first of each key. A
// router that changed the key between two runs can't hide them: the runs of
// the kinds given are also compared with the number of keys that callers used.
func (c Counts) RepeatedActionRuns(kinds []string, keysUsed int) int {
	byKey := make(map[string]int)
	for _, s := range c.Services {
		for key, n := range s.RunsByKey {
			byKey[key] += n
		}
	}
	again := 0
	for _, n := range byKey {
		again += n - 1
	}
	return max(again, c.RunsOfKinds(kinds)-keysUsed)
}

// RunsOfKinds is how often services ran calls of the kinds given.
func (c Counts) RunsOfKinds(kinds []string) int {
	runs := 0
	for _, s := range c.Services {
		for _, kind := range kinds {
			runs += s.RunsByKind[kind]
		}
	}
	return runs
}

// ReadPlatformCounts reads the platform's counters.
func (f *Fleet) ReadPlatformCounts(ctx context.Context) (PlatformCallCounts, error) {
	var c PlatformCallCounts
	err := f.control.call(ctx, http.MethodGet, f.PlatformURL()+"/stats", nil, &c)
	return c, err
}

// PlatformFaults are faults of the platform stand-in.
type PlatformFaults struct {
	Down                  bool    `json:"down"`
	ExtraDelayMillis      int     `json:"extra_delay_ms"`
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	Seed                  uint64  `json:"seed"`
}

// SetPlatformFaults replaces the platform's faults.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults PlatformFaults) error {
	faults.Seed = f.config.Seed
	return f.control.call(ctx, http.MethodPost, f.PlatformURL()+"/faults", faults, nil)
}

// UpstreamFault is an order for one upstream to fail.
type UpstreamFault struct {
	Kind        string `json:"kind"`
	ForMillis   int    `json:"for_ms,omitempty"`
	DelayMillis int    `json:"delay_ms,omitempty"`
	Count       int    `json:"count,omitempty"`
	Path        string `json:"path,omitempty"`
}

// SetUpstreamFault orders one upstream to fail.
func (f *Fleet) SetUpstreamFault(ctx context.Context, u Upstream, fault UpstreamFault) error {
	url := "http://" + f.steering(u.Role, u.DataCentre) + "/" + u.Role + "s/" + u.Name + "/faults"
	return f.control.call(ctx, http.MethodPost, url, fault, nil)
}

// AnnounceLeaving announces that an upstream leaves: to itself, and to the platform,
// whose list lags.
func (f *Fleet) AnnounceLeaving(ctx context.Context, u Upstream) error {
	if err := f.SetUpstreamFault(ctx, u, UpstreamFault{Kind: "leaving"}); err != nil {
		return err
	}
	return f.MarkLeaving(ctx, u)
}

// MarkLeaving marks an upstream as leaving in the platform's list alone.
func (f *Fleet) MarkLeaving(ctx context.Context, u Upstream) error {
	f.mu.Lock()
	f.leaving[u.Name] = true
	f.mu.Unlock()
	return f.PublishHosts(ctx)
}

// RouterStatus is the admin address's account of a router.
type RouterStatus struct {
	Host          string `json:"host"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

// Status reads a router's status.
func (f *Fleet) Status(ctx context.Context, h Host) (RouterStatus, error) {
	var s RouterStatus
	err := f.control.call(ctx, http.MethodGet, "http://"+h.Admin+"/status", nil, &s)
	return s, err
}

// LastWorkWhileLeaving is the longest time after its sign of leaving at which an
// upstream was still given new work, 0 if none was.
func (c Counts) LastWorkWhileLeaving() time.Duration {
	var last int64
	for _, e := range c.Engines {
		last = max(last, e.LastWorkWhileLeavingMillis)
	}
	for _, s := range c.Services {
		last = max(last, s.LastWorkWhileLeavingMillis)
	}
	return time.Duration(last) * time.Millisecond
}

// StaleOrders counts orders that engines took with a fencing number older
// than one that they had seen.
func (c Counts) StaleOrders() int {
	stale := 0
	for _, e := range c.Engines {
		stale += e.StaleOrdersAccepted
	}
	return stale
}

// controllerDump is the part of a controller's dump that is read.
type controllerDump struct {
	Holder bool `json:"holder"`
}

// HoldsLease reports whether a host's controller says that it holds the lease
// of its data centre.
func (f *Fleet) HoldsLease(ctx context.Context, h Host) (bool, error) {
	var d controllerDump
	err := f.control.call(ctx, http.MethodGet, "http://"+h.ControllerAdmin+"/dump", nil, &d)
	return d.Holder, err
}

// engineStatus is the part of an engine's status that is read.
type engineStatus struct {
	Models []string `json:"models"`
}

// EnginesNotHoldingOnly lists the engines that do not hold just the one model given, as
// "model@version".
func (f *Fleet) EnginesNotHoldingOnly(ctx context.Context, model string) ([]string, error) {
	var others []string
	for _, u := range f.Upstreams {
		if u.Role != roleEngine {
			continue
		}
		var s engineStatus
		if err := f.control.call(ctx, http.MethodGet, "http://"+u.Address+"/status", nil, &s); err != nil {
			return nil, err
		}
		if len(s.Models) != 1 || s.Models[0] != model {
			others = append(others, u.Name)
		}
	}
	return others, nil
}
