package capacity

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
	"github.com/chestnutline/chestnutline/internal/probe"
)

// listInterval is the router's default time between two readings of the list.
const listInterval = time.Second

// quantity is one line of a node's budget.
type quantity struct {
	what   string
	core   float64
	memory float64
	bytes  float64
}

// roles works out a node's budget at the aim's size.
func (r *run) roles() {
	t := r.table("A router at the aim's size", "part", "core", "memory", "bytes a second")
	var sum quantity
	for _, q := range r.router() {
		t.add(q.what, core(q.core), size(q.memory), size(q.bytes))
		sum.core += q.core
		sum.memory += q.memory
		sum.bytes += q.bytes
	}
	t.add("sum", core(sum.core), size(sum.memory), size(sum.bytes))
	t.add("limit", core(limitCore), size(limitMemory), size(limitBytes))
	r.overload()
	r.controller()
	r.store()
}

func rate(interval time.Duration) float64 { return 1 / interval.Seconds() }

// router lists the parts of a router, requests not waiting.
func (r *run) router() []quantity {
	f := &r.figures
	aim := f.dispatch.costs[experiment.Size{Engines: aimEngines, Hosts: aimHosts, InFlight: 1_000}]
	probes := probe.DefaultConfig()
	config := dispatch.DefaultConfig()
	heartbeats := f.members.messages / 2
	perEngine := 1 / float64(f.probes.engines)
	prefixes := f.dispatch.stateOfPrefix * float64(config.MaxPrefixes)
	changes := float64(aimChangesPerDay) / daySeconds
	return []quantity{
		{what: "dispatch: requests (98 a second, 10,000 in flight kept)", core: aim[experiment.OperationTurnover].perSecond(requestsPerNode), memory: float64(f.dispatch.state)},
		{what: "dispatch: load reports of 331 engines", core: aim[experiment.OperationLoadReport].perSecond(aimEngines * rate(probes.LoadInterval))},
		{what: "dispatch: ticks", core: aim[experiment.OperationTick].perSecond(rate(config.TickInterval))},
		{what: "dispatch: other hosts' loads", core: aim[experiment.OperationPeerReport].perSecond(heartbeats)},
		{what: "dispatch: cached prefixes of 331 engines, all full", memory: prefixes * aimEngines},
		{what: "probes of 331 engines, both ends", core: f.probes.core * perEngine * aimEngines, memory: f.probes.heap * perEngine * aimEngines, bytes: f.probes.bytes * perEngine * aimEngines},
		r.farProbes(probes),
		{what: "membership", core: f.members.core, memory: f.members.state, bytes: f.members.bytes},
		{what: "configuration, a change every 5 s", core: f.configuration.decode.perSecond(changes), memory: float64(f.configuration.catalogue), bytes: 2 * f.configuration.spread.BytesPerSecond},
		{what: "the platform's list", core: (f.directory.decode.cpu + f.directory.step.cpu).Seconds() * rate(listInterval), memory: float64(f.directory.state), bytes: float64(f.directory.bytes) * rate(listInterval)},
	}
}

// farProbes are those of other data centres' engines, at their own rate. A
// request costs what one to a near engine does.
func (r *run) farProbes(c probe.Config) quantity {
	f := r.figures.probes
	near := rate(c.LoadInterval) + rate(c.CacheInterval)
	far := rate(c.RemoteInterval)
	engines := float64(aimServers-aimEngines) / float64(f.engines)
	return quantity{
		what:   "probes of the 4,969 engines of other data centres, both ends",
		core:   f.core * engines * far / near,
		memory: f.heap * engines,
		bytes:  f.bytes * engines * far / near,
	}
}

// overload shows what waiting requests add to the dispatch core.
func (r *run) overload() {
	f := &r.figures
	s := experiment.Size{Engines: aimEngines, Hosts: aimHosts, InFlight: 100, Waiting: 100}
	probes := probe.DefaultConfig()
	config := dispatch.DefaultConfig()
	t := r.table("The dispatch core at the aim's size while 100 requests wait", "event", "a second", "core")
	for _, line := range []struct {
		event string
		rate  float64
	}{
		{experiment.OperationHangUp, requestsPerNode},
		{experiment.OperationLoadReport, aimEngines * rate(probes.LoadInterval)},
		{experiment.OperationTick, rate(config.TickInterval)},
		{experiment.OperationPeerReport, f.members.messages / 2},
	} {
		t.add(line.event, count(line.rate), core(f.dispatch.at(s, line.event).perSecond(line.rate)))
	}
}

// controller shares a data centre's traffic out between its candidates.
func (r *run) controller() {
	c := r.figures.controllers
	t := r.table("A controller at the aim's size", "role", "store calls a second", "store bytes a second", "engine bytes a second")
	candidates := float64(c.Size.Candidates)
	t.add("candidate, mean of all", count((c.StoreReads+c.StoreWrites)/candidates), size(c.StoreBytes/candidates), "")
	t.add("holder of the lease, with all of its data centre's calls", count(c.StoreReads+c.StoreWrites), size(c.StoreBytes), size(c.EngineBytes))
}

// store works out the calls on the object API by all nodes.
func (r *run) store() {
	f := &r.figures
	t := r.table("The object API at the aim's size", "use", "reads and watches a second", "writes a second", "kept")
	c := f.configuration
	t.add("configuration: watches and reads of 470 nodes", count(c.spread.StoreCallsPerSecond), "", size(float64(c.stored)))
	t.add("configuration: accepted changes (one part, one manifest)", "", count(2*float64(aimChangesPerDay)/daySeconds), "")
	t.add("the platform's list, read by 470 nodes", count(aimNodes*rate(listInterval)), "", "")
	last := f.claims[len(f.claims)-1]
	t.add(fmt.Sprintf("claims of %d hosts, %.0f actions a second", last.run.hosts, last.run.actions), count(last.reads), count(last.writes),
		size(last.perKey*last.run.actions*daySeconds)+" a day")
	t.add("controllers of 16 data centres: leases, configuration, list", count(aimDataCentres*f.controllers.StoreReads), count(aimDataCentres*f.controllers.StoreWrites), "")
	t.add("limit", count(storeReads), count(storeWrites), "")
}
