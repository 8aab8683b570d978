package balance

import (
	"maps"
	"slices"
	"time"
)

// What the core does while data centres are out of service answers the load of an operator
// who empties one at once: all servers there stop getting work within one step, what has
// begun there ends in place, and what waits is placed elsewhere or refused at once.

// evacuations is what the core knows about the data centres that the operator has taken out
// of service.
type evacuations struct {
	// evacuatedSince holds when this host learned of each evacuation, by data centre.
	evacuatedSince map[string]time.Duration
	// takenBackAt holds when this host learned that a data centre was taken back, by its
	// name, until it is evacuated again.
	takenBackAt map[string]time.Duration
}

// newEvacuations returns the state without evacuations.
func newEvacuations() evacuations {
	return evacuations{evacuatedSince: make(map[string]time.Duration), takenBackAt: make(map[string]time.Duration)}
}

// isEvacuated reports whether a data centre is out of service.
func (e *evacuations) isEvacuated(dataCentre string) bool {
	_, evacuated := e.evacuatedSince[dataCentre]
	return evacuated
}

// handleEvacuationsChanged replaces the data centres that the operator has taken out of
// service. Answers that have begun there go on.
func (c *Core) handleEvacuationsChanged(e EvacuationsChanged, now time.Duration) {
	next := setOf(e.DataCentres)
	for _, dataCentre := range slices.Sorted(maps.Keys(c.evacuatedSince)) {
		if !next[dataCentre] {
			delete(c.evacuatedSince, dataCentre)
			c.takenBackAt[dataCentre] = now
			c.assumeTakenBackCold(dataCentre, now)
		}
	}
	for dataCentre := range next {
		if !c.isEvacuated(dataCentre) {
			c.evacuatedSince[dataCentre] = now
			delete(c.takenBackAt, dataCentre)
		}
	}
	c.forgetTakenBack()
	c.countOpen()
}

// forgetTakenBack drops the data centres that have no servers, so that the memory is bounded.
func (c *Core) forgetTakenBack() {
	maps.DeleteFunc(c.takenBackAt, func(dataCentre string, _ time.Duration) bool {
		return !slices.Contains(c.dataCentres, dataCentre)
	})
}

// countOpen counts the upstreams of all pools that are in service. Each choice among many
// servers needs the numbers many times.
func (c *Core) countOpen() {
	for _, pool := range c.servicePools {
		pool.open = 0
		for _, u := range pool.upstreams {
			if !c.isEvacuated(u.DataCentre) {
				pool.open++
			}
		}
	}
}

// openDataCentres returns the data centres with upstreams that are in service.
func (c *Core) openDataCentres() []string {
	if len(c.evacuatedSince) == 0 {
		return c.dataCentres
	}
	return slices.DeleteFunc(slices.Clone(c.dataCentres), c.isEvacuated)
}
