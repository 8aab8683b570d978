package experiment

import (
	"slices"
	"strings"

	"github.com/chestnutline/chestnutline/internal/controller"
	"github.com/chestnutline/chestnutline/internal/order"
)

func orderedEvent(e order.Event) controller.Event { return controller.OrderEvent{Event: e} }

// served tells which models some engine serves, in the configuration's order.
func (w *Simulation) served() []bool {
	served := make([]bool, len(w.accepted.Models))
	for i, m := range w.accepted.Models {
		served[i] = slices.ContainsFunc(w.engines, func(e *engine) bool { return e.serves(m.Name) })
	}
	return served
}

// checkServed checks that an order took no model from its last engine.
func (w *Simulation) checkServed(before []bool, e *engine, s order.SendOrder) {
	for i, still := range w.served() {
		if before[i] && !still {
			w.violate("no engine serves %s after %s unloaded %v", w.accepted.Models[i].Name, e.name, s.Unload)
		}
	}
}

func (w *Simulation) countLoading() {
	n := 0
	for _, e := range w.engines {
		if e.alive() && len(e.status().Loading) > 0 {
			n++
		}
	}
	w.Result.MostLoading = max(w.Result.MostLoading, n)
	for _, m := range w.accepted.Models {
		w.Result.MostRolling = max(w.Result.MostRolling, w.rolling(m.Name+"@"))
	}
}

// rolling counts the engines that load a version of a model and serve another.
func (w *Simulation) rolling(prefix string) int {
	n := 0
	for _, e := range w.engines {
		ofModel := func(held string) bool { return strings.HasPrefix(held, prefix) && !strings.Contains(held, "+") }
		s := e.status()
		if e.alive() && slices.ContainsFunc(s.Models, ofModel) && slices.ContainsFunc(s.Loading, ofModel) {
			n++
		}
	}
	return n
}

// checkSettled checks that the engines hold what is wanted, and no other version.
func (w *Simulation) checkSettled() {
	desired := order.DesiredStateFor(dataCentre, w.version, w.accepted)
	for _, m := range desired.Models {
		ready := 0
		for _, e := range w.engines {
			if slices.Contains(e.status().Models, m.Name+"@"+m.Version) {
				ready++
			}
		}
		if least := m.MinEngines; ready < least || least == 0 && ready < len(w.engines) {
			w.violate("%s@%s is on %d engines of %d wanted", m.Name, m.Version, ready, least)
		}
	}
	for _, e := range w.engines {
		s := e.status()
		for _, held := range append(s.Models, s.Loading...) {
			if !w.wanted(held, desired) {
				w.violate("%s still holds %s", e.name, held)
			}
		}
	}
}

func (w *Simulation) wanted(held string, d order.DesiredState) bool {
	for _, m := range d.Models {
		base := m.Name + "@" + m.Version
		if held == base || slices.ContainsFunc(m.Adapters, func(a string) bool { return held == base+"+"+a }) {
			return true
		}
	}
	return false
}
