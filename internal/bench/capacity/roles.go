package capacity

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
	"github.com/chestnutline/chestnutline/internal/probe"
)

// listInterval is the router's default time between two reads of the platform's
// list.
const listInterval = time.Second

// budgetLine is one line of the resource budget of a node.
type budgetLine struct {
	part           string
	coreShare      float64
	memoryBytes    float64
	bytesPerSecond float64
}

// addRoleTables adds the tables of the budget of each role at the target size.
func (r *measurementRun) addRoleTables() {
	t := r.newTable("A router at the aim's size", "part", "core", "memory", "bytes a second")
	var sum budgetLine
	for _, q := range r.routerBudget() {
		t.add(q.part, formatCoreShare(q.coreShare), formatBytes(q.memoryBytes), formatBytes(q.bytesPerSecond))
		sum.coreShare += q.coreShare
		sum.memoryBytes += q.memoryBytes
		sum.bytesPerSecond += q.bytesPerSecond
	}
	t.add("sum", formatCoreShare(sum.coreShare), formatBytes(sum.memoryBytes), formatBytes(sum.bytesPerSecond))
	t.add("limit", formatCoreShare(limitCore), formatBytes(limitMemory), formatBytes(limitBytes))
	r.addOverloadTable()
	r.addControllerTable()
	r.addStoreTable()
}

// perSecondRate returns how many times per second an event with the given
// interval occurs.
func perSecondRate(interval time.Duration) float64 { return 1 / interval.Seconds() }

// routerBudget returns the budget of the parts of a routerBudget while no requests wait.
func (r *measurementRun) routerBudget() []budgetLine {
	f := &r.figures
	targetCosts := f.dispatch.costs[experiment.Size{Engines: targetEngines, Hosts: targetHosts, InFlight: 1_000}]
	probes := probe.DefaultConfig()
	config := dispatch.DefaultConfig()
	heartbeats := f.members.messagesPerSecond / 2
	perEngine := 1 / float64(f.probes.engines)
	prefixes := f.dispatch.bytesPerPrefix * float64(config.MaxPrefixes)
	changes := float64(targetChangesPerDay) / daySeconds
	return []budgetLine{
		{part: "dispatch: requests (98 a second, 10,000 in flight kept)", coreShare: targetCosts[experiment.OperationTurnover].coreShare(requestsPerNode), memoryBytes: float64(f.dispatch.stateBytes)},
		{part: "dispatch: load reports of 331 engines", coreShare: targetCosts[experiment.OperationLoadReport].coreShare(targetEngines * perSecondRate(probes.LoadInterval))},
		{part: "dispatch: ticks", coreShare: targetCosts[experiment.OperationTick].coreShare(perSecondRate(config.TickInterval))},
		{part: "dispatch: other hosts' loads", coreShare: targetCosts[experiment.OperationPeerReport].coreShare(heartbeats)},
		{part: "dispatch: cached prefixes of 331 engines, all full", memoryBytes: prefixes * targetEngines},
		{part: "probes of 331 engines, both ends", coreShare: f.probes.coreShare * perEngine * targetEngines, memoryBytes: f.probes.heapBytes * perEngine * targetEngines, bytesPerSecond: f.probes.bytesPerSecond * perEngine * targetEngines},
		r.remoteProbes(probes),
		{part: "membership", coreShare: f.members.coreShare, memoryBytes: f.members.stateBytes, bytesPerSecond: f.members.bytesPerSecond},
		{part: "configuration, a change every 5 s", coreShare: f.configuration.decode.coreShare(changes), memoryBytes: float64(f.configuration.catalogueBytes), bytesPerSecond: 2 * f.configuration.propagation.BytesPerSecond},
		{part: "the platform's list", coreShare: (f.directory.decode.cpu + f.directory.step.cpu).Seconds() * perSecondRate(listInterval), memoryBytes: float64(f.directory.stateBytes), bytesPerSecond: float64(f.directory.listBytes) * perSecondRate(listInterval)},
	}
}

// remoteProbes returns the budget of the probes of engines in other data centres,
// which have a rate of their own. A request to such an engine costs the same as
// one to a near engine.
func (r *measurementRun) remoteProbes(c probe.Config) budgetLine {
	f := r.figures.probes
	near := perSecondRate(c.LoadInterval) + perSecondRate(c.CacheInterval)
	far := perSecondRate(c.RemoteInterval)
	engines := float64(targetServers-targetEngines) / float64(f.engines)
	return budgetLine{
		part:           "probes of the 4,969 engines of other data centres, both ends",
		coreShare:      f.coreShare * engines * far / near,
		memoryBytes:    f.heapBytes * engines,
		bytesPerSecond: f.bytesPerSecond * engines * far / near,
	}
}

// addOverloadTable adds the table of what waiting requests cost in the dispatch
// core.
func (r *measurementRun) addOverloadTable() {
	f := &r.figures
	s := experiment.Size{Engines: targetEngines, Hosts: targetHosts, InFlight: 100, Waiting: 100}
	probes := probe.DefaultConfig()
	config := dispatch.DefaultConfig()
	t := r.newTable("The dispatch core at the aim's size while 100 requests wait", "event", "a second", "core")
	for _, line := range []struct {
		event string
		rate  float64
	}{
		{experiment.OperationHangUp, requestsPerNode},
		{experiment.OperationLoadReport, targetEngines * perSecondRate(probes.LoadInterval)},
		{experiment.OperationTick, perSecondRate(config.TickInterval)},
		{experiment.OperationPeerReport, f.members.messagesPerSecond / 2},
	} {
		t.add(line.event, formatNumber(line.rate), formatCoreShare(f.dispatch.costOf(s, line.event).coreShare(line.rate)))
	}
}

// addControllerTable adds the table of the traffic of controllers. It divides the
// traffic of a data centre evenly among its candidates.
func (r *measurementRun) addControllerTable() {
	c := r.figures.controllers
	t := r.newTable("A controller at the aim's size", "role", "store calls a second", "store bytes a second", "engine bytes a second")
	candidates := float64(c.Size.Candidates)
	t.add("candidate, mean of all", formatNumber((c.StoreReads+c.StoreWrites)/candidates), formatBytes(c.StoreBytes/candidates), "")
	t.add("holder of the lease, with all of its data centre's calls", formatNumber(c.StoreReads+c.StoreWrites), formatBytes(c.StoreBytes), formatBytes(c.EngineBytes))
}

// addStoreTable adds the table of the calls to the object API by all nodes.
func (r *measurementRun) addStoreTable() {
	f := &r.figures
	t := r.newTable("The object API at the aim's size", "use", "reads and watches a second", "writes a second", "kept")
	c := f.configuration
	t.add("configuration: watches and reads of 470 nodes", formatNumber(c.propagation.StoreCallsPerSecond), "", formatBytes(float64(c.storedBytes)))
	t.add("configuration: accepted changes (one part, one manifest)", "", formatNumber(2*float64(targetChangesPerDay)/daySeconds), "")
	t.add("the platform's list, read by 470 nodes", formatNumber(targetNodes*perSecondRate(listInterval)), "", "")
	last := f.claims[len(f.claims)-1]
	t.add(fmt.Sprintf("claims of %d hosts, %.0f actions a second", last.run.hosts, last.run.actions), formatNumber(last.readsPerSecond), formatNumber(last.writesPerSecond),
		formatBytes(last.bytesPerKey*last.run.actions*daySeconds)+" a day")
	t.add("controllers of 16 data centres: leases, configuration, list", formatNumber(targetDataCentres*f.controllers.StoreReads), formatNumber(targetDataCentres*f.controllers.StoreWrites), "")
	t.add("limit", formatNumber(storeReads), formatNumber(storeWrites), "")
}
