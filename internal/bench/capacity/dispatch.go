package capacity

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

// seed is the seed of all simulations.
const seed = 1

// dispatchSizes returns the sizes measured. They vary, in turn, the number of
// engines, of requests in flight and of waiting requests.
func dispatchSizes() []experiment.Size {
	return []experiment.Size{
		experiment.CurrentSize,
		{Engines: 18, Hosts: 8, InFlight: 1_000},
		{Engines: 100, Hosts: 30, InFlight: 1_000},
		{Engines: targetEngines, Hosts: targetHosts, InFlight: 100},
		{Engines: targetEngines, Hosts: targetHosts, InFlight: 1_000},
		experiment.TargetSize,
		{Engines: 18, Hosts: 8, InFlight: 100, Waiting: 100},
		{Engines: 100, Hosts: targetHosts, InFlight: 100, Waiting: 100},
		{Engines: targetEngines, Hosts: targetHosts, InFlight: 100, Waiting: 100},
	}
}

// dispatchFigures holds the costs of events by size and operation.
type dispatchFigures struct {
	costs map[experiment.Size]map[string]cost
	// stateBytes is the memory at the target size without prefixes, and
	// bytesPerPrefix the memory that each cached prefix adds, measured with as
	// many prefixes as the default limits allow.
	stateBytes     int64
	bytesPerPrefix float64
	dump           cost
	dumpBytes      int
}

// costOf returns the measured cost of an operation at a size, zero if it was not
// measured.
func (d dispatchFigures) costOf(s experiment.Size, operation string) cost {
	return d.costs[s][operation]
}

func (r *measurementRun) addDispatchTables() error {
	r.figures.dispatch.costs = make(map[experiment.Size]map[string]cost)
	t := r.newTable("Dispatch core: cost of one event",
		"engines", "hosts", "in flight", "waiting", "event", "processor time", "allocations", "allocated")
	for _, s := range dispatchSizes() {
		r.printProgress("dispatch " + s.String())
		if err := r.measureDispatchCosts(t, s); err != nil {
			return err
		}
	}
	return r.addDispatchStateTables()
}

func (r *measurementRun) measureDispatchCosts(t *Table, s experiment.Size) error {
	simulation, err := experiment.New(s, seed)
	if err != nil {
		return errors.Wrap(err, "measure the dispatch core")
	}
	costs := make(map[string]cost)
	for _, o := range experiment.Operations(s) {
		c := measure(func() { o.Run(simulation) }, simulation.ReportAllEngines)
		costs[o.Name] = c
		t.add(formatNumber(float64(s.Engines)), formatNumber(float64(s.Hosts)), formatNumber(float64(s.InFlight)), formatNumber(float64(s.Waiting)),
			o.Name, formatDuration(c.cpu), formatNumber(c.allocs), formatBytes(c.bytes))
	}
	r.figures.dispatch.costs[s] = costs
	return nil
}

// prefixSteps are the numbers of cached prefixes known of each engine at which
// the memory is measured; the last is the default limit.
var prefixSteps = []int{0, 1024, 4096}

func (r *measurementRun) addDispatchStateTables() error {
	t := r.newTable("Dispatch core: state", "engines", "hosts", "in flight", "prefixes of each engine", "bytes kept")
	sizes := []experiment.Size{
		experiment.CurrentSize,
		{Engines: 100, Hosts: targetHosts, InFlight: 1_000},
		{Engines: targetEngines, Hosts: targetHosts, InFlight: 1_000},
	}
	for _, prefixes := range prefixSteps {
		s := experiment.TargetSize
		s.Prefixes = prefixes
		sizes = append(sizes, s)
	}
	var last int64
	for _, s := range sizes {
		r.printProgress("dispatch state " + s.String())
		kept, bytes, err := heapGrowth(func() (any, error) { return experiment.New(s, seed) })
		if err != nil {
			return err
		}
		t.add(formatNumber(float64(s.Engines)), formatNumber(float64(s.Hosts)), formatNumber(float64(s.InFlight)), formatNumber(float64(s.Prefixes)), formatBytes(float64(bytes)))
		if s == experiment.TargetSize {
			r.figures.dispatch.stateBytes = bytes
			r.addDispatchDumpTable(kept.(*experiment.Simulation))
		}
		last = bytes
	}
	prefixes := float64(prefixSteps[len(prefixSteps)-1] * targetEngines)
	r.figures.dispatch.bytesPerPrefix = float64(last-r.figures.dispatch.stateBytes) / prefixes
	return nil
}

// dumpLimit is the longest length of each list in a dump; it is the same as in a
// router.
const dumpLimit = 1000

func (r *measurementRun) addDispatchDumpTable(simulation *experiment.Simulation) {
	body, err := json.Marshal(simulation.Dump(dumpLimit))
	if err != nil {
		return
	}
	r.figures.dispatch.dumpBytes = len(body)
	r.figures.dispatch.dump = measure(func() { simulation.Dump(dumpLimit) }, nil)
	t := r.newTable("Dispatch core: dump at the aim's size, on the control thread", "limit of each list", "processor time", "as JSON")
	t.add(formatNumber(dumpLimit), formatDuration(r.figures.dispatch.dump.cpu), formatBytes(float64(len(body))))
}
