package capacity

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch/experiment"
)

const seed = 1

// dispatchSizes vary the engines, the requests in flight, the waiting requests
// and the cached prefixes known of each engine, in turn.
func dispatchSizes() []experiment.Size {
	return []experiment.Size{
		experiment.CurrentSize,
		{Engines: 18, Hosts: 8, InFlight: 1_000},
		{Engines: 100, Hosts: 30, InFlight: 1_000},
		{Engines: aimEngines, Hosts: aimHosts, InFlight: 100},
		{Engines: aimEngines, Hosts: aimHosts, InFlight: 1_000},
		experiment.TargetSize,
		{Engines: 18, Hosts: 8, InFlight: 100, Waiting: 100},
		{Engines: 100, Hosts: aimHosts, InFlight: 100, Waiting: 100},
		{Engines: aimEngines, Hosts: aimHosts, InFlight: 100, Waiting: 100},
	}
}

// dispatchFigures are the costs of events by size and operation.
type dispatchFigures struct {
	costs map[experiment.Size]map[string]cost
	// state is the bytes kept at the aim's size, without prefixes and with as
	// many as the default bounds allow.
	state         int64
	stateOfPrefix float64
	dump          cost
	dumpBytes     int
}

func (d dispatchFigures) at(s experiment.Size, operation string) cost {
	return d.costs[s][operation]
}

func (r *run) dispatch() error {
	r.figures.dispatch.costs = make(map[experiment.Size]map[string]cost)
	t := r.table("Dispatch core: cost of one event",
		"engines", "hosts", "in flight", "waiting", "event", "processor time", "allocations", "allocated")
	for _, s := range dispatchSizes() {
		r.tell("dispatch " + s.String())
		if err := r.dispatchCosts(t, s); err != nil {
			return err
		}
	}
	return r.dispatchState()
}

func (r *run) dispatchCosts(t *Table, s experiment.Size) error {
	w, err := experiment.New(s, seed)
	if err != nil {
		return errors.Wrap(err, "measure the dispatch core")
	}
	costs := make(map[string]cost)
	for _, o := range experiment.Operations(s) {
		c := measure(func() { o.Run(w) }, w.ReportAllEngines)
		costs[o.Name] = c
		t.add(count(float64(s.Engines)), count(float64(s.Hosts)), count(float64(s.InFlight)), count(float64(s.Waiting)),
			o.Name, took(c.cpu), count(c.allocs), size(c.bytes))
	}
	r.figures.dispatch.costs[s] = costs
	return nil
}

// prefixSteps are numbers of cached prefixes known of each engine; the last is
// the default bound.
var prefixSteps = []int{0, 1024, 4096}

func (r *run) dispatchState() error {
	t := r.table("Dispatch core: state", "engines", "hosts", "in flight", "prefixes of each engine", "bytes kept")
	sizes := []experiment.Size{
		experiment.CurrentSize,
		{Engines: 100, Hosts: aimHosts, InFlight: 1_000},
		{Engines: aimEngines, Hosts: aimHosts, InFlight: 1_000},
	}
	for _, prefixes := range prefixSteps {
		s := experiment.TargetSize
		s.Prefixes = prefixes
		sizes = append(sizes, s)
	}
	var last int64
	for _, s := range sizes {
		r.tell("dispatch state " + s.String())
		kept, bytes, err := heapOf(func() (any, error) { return experiment.New(s, seed) })
		if err != nil {
			return err
		}
		t.add(count(float64(s.Engines)), count(float64(s.Hosts)), count(float64(s.InFlight)), count(float64(s.Prefixes)), size(float64(bytes)))
		if s == experiment.TargetSize {
			r.figures.dispatch.state = bytes
			r.dispatchDump(kept.(*experiment.Simulation))
		}
		last = bytes
	}
	prefixes := float64(prefixSteps[len(prefixSteps)-1] * aimEngines)
	r.figures.dispatch.stateOfPrefix = float64(last-r.figures.dispatch.state) / prefixes
	return nil
}

// dumpLimit bounds each list of a dump, as a router does.
const dumpLimit = 1000

func (r *run) dispatchDump(w *experiment.Simulation) {
	body, err := json.Marshal(w.Dump(dumpLimit))
	if err != nil {
		return
	}
	r.figures.dispatch.dumpBytes = len(body)
	r.figures.dispatch.dump = measure(func() { w.Dump(dumpLimit) }, nil)
	t := r.table("Dispatch core: dump at the aim's size, on the control thread", "limit of each list", "processor time", "as JSON")
	t.add(count(dumpLimit), took(r.figures.dispatch.dump.cpu), size(float64(len(body))))
}
