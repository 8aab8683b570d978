package experiment

import (
	"slices"
	"strings"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/order"
)

// orderEvent wraps an event for the order planner.
func orderEvent(e order.Event) controller.Event { return controller.OrderEvent{Event: e} }

// servedModels reports for each accepted model, in the configuration's order,
// whether some engine serves it.
func (sim *Simulation) servedModels() []bool {
	served := make([]bool, len(sim.accepted.Models))
	for i, m := range sim.accepted.Models {
		served[i] = slices.ContainsFunc(sim.engines, func(e *engine) bool { return e.serves(m.Name) })
	}
	return served
}

// checkStillServed checks that an order did not unload a model from the last
// engine that served it. servedBefore is the result of servedModels before the
// order.
func (sim *Simulation) checkStillServed(servedBefore []bool, e *engine, s order.SendOrder) {
	for i, stillServed := range sim.servedModels() {
		if servedBefore[i] && !stillServed {
			sim.recordViolation("no engine serves %s after %s unloaded %v", sim.accepted.Models[i].Name, e.name, s.Unload)
		}
	}
}

// recordConcurrentLoads updates the largest numbers of engines that load, and
// that change a model's version, at the same time.
func (sim *Simulation) recordConcurrentLoads() {
	n := 0
	for _, e := range sim.engines {
		if e.alive() && len(e.status().Loading) > 0 {
			n++
		}
	}
	sim.Result.MaxLoading = max(sim.Result.MaxLoading, n)
	for _, m := range sim.accepted.Models {
		sim.Result.MaxVersionChanges = max(sim.Result.MaxVersionChanges, sim.countVersionChanges(m.Name+"@"))
	}
}

// countVersionChanges counts the engines that serve one version of a model and
// load another one. The prefix is the model's name with the @ that precedes the
// version.
func (sim *Simulation) countVersionChanges(prefix string) int {
	n := 0
	for _, e := range sim.engines {
		ofModel := func(held string) bool { return strings.HasPrefix(held, prefix) && !strings.Contains(held, "+") }
		s := e.status()
		if e.alive() && slices.ContainsFunc(s.Models, ofModel) && slices.ContainsFunc(s.Loading, ofModel) {
			n++
		}
	}
	return n
}

// checkDesiredState checks that enough engines serve each desired model, and that
// the engines hold only desired models and adapters. All engines have to serve a
// model whose MinEngines is 0.
func (sim *Simulation) checkDesiredState() {
	desired := order.DesiredStateFor(dataCentre, sim.version, sim.accepted)
	for _, m := range desired.Models {
		ready := 0
		for _, e := range sim.engines {
			if slices.Contains(e.status().Models, m.Name+"@"+m.Version) {
				ready++
			}
		}
		if minEngines := m.MinEngines; ready < minEngines || minEngines == 0 && ready < len(sim.engines) {
			sim.recordViolation("%s@%s is served by %d engines, want at least %d", m.Name, m.Version, ready, minEngines)
		}
	}
	for _, e := range sim.engines {
		s := e.status()
		for _, held := range append(s.Models, s.Loading...) {
			if !sim.isDesired(held, desired) {
				sim.recordViolation("%s still holds %s", e.name, held)
			}
		}
	}
}

// isDesired reports whether a name that an engine holds is one of the desired
// models or adapters.
func (sim *Simulation) isDesired(held string, d order.DesiredState) bool {
	for _, m := range d.Models {
		base := m.Name + "@" + m.Version
		if held == base || slices.ContainsFunc(m.Adapters, func(a string) bool { return held == base+"+"+a }) {
			return true
		}
	}
	return false
}
