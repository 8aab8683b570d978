package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// verificationIntervals is the age, as a multiple of ActiveEvery, up to which a
// status report proves that an engine serves the desired version of a model.
// Without such a proof, an engine that does not serve the desired version itself
// keeps the older one.
const verificationIntervals = 2

// placement is a desired model with the engines that have to serve it.
type placement struct {
	Model
	engines []*engineState
	// readyCount is the number of these engines that serve the model with its
	// adapters.
	readyCount int
}

// plan sends the orders that unload what is no longer desired and load what is
// missing. It waits until the status of every engine has been read, because an
// engine that was not asked yet may hold a model.
func (c *Core) plan(now time.Duration) {
	if !c.desired.Managed || !c.allEnginesKnown() {
		return
	}
	placements := c.placeModels()
	c.updateAbsentModels(placements)
	for _, s := range c.engines {
		if c.canOrder(s) && s.earlierOrdersBarred() {
			if unload := c.namesToUnload(now, s, placements); len(unload) > 0 {
				c.sendOrder(now, s, nil, unload)
			}
		}
	}
	if now >= c.loadsAllowedAt {
		c.orderMissingLoads(now, placements)
	}
}

// allEnginesKnown reports whether every engine has reported its status in this
// term, is leaving, or is dead.
func (c *Core) allEnginesKnown() bool {
	for _, s := range c.engines {
		if !s.statusKnown && !s.Leaving && !c.dead(s) {
			return false
		}
	}
	return true
}

// placeModels chooses the engines for each desired model.
func (c *Core) placeModels() []placement {
	var usable []*engineState
	for _, s := range c.engines {
		if c.usable(s) {
			usable = append(usable, s)
		}
	}
	assigned := make(map[string]int, len(usable))
	placements := make([]placement, 0, len(c.desired.Models))
	for _, m := range c.desired.Models {
		p := placement{Model: m, engines: chooseEngines(m, usable, assigned)}
		for _, s := range p.engines {
			assigned[s.Name]++
			if s.hasStableStatus() && s.servesWithAdapters(m) {
				p.readyCount++
			}
		}
		placements = append(placements, p)
	}
	return placements
}

// chooseEngines picks the engines for a model. It prefers engines that hold the
// model, then those that hold another version of it, then those with fewer
// assigned models. A hash of the names breaks ties.
func chooseEngines(m Model, usable []*engineState, assigned map[string]int) []*engineState {
	if m.MinEngines == 0 || m.MinEngines >= len(usable) {
		return usable
	}
	type ranked struct {
		s    *engineState
		rank int
		hash uint64
	}
	list := make([]ranked, len(usable))
	for i, s := range usable {
		list[i] = ranked{s: s, rank: preferenceRank(m, s), hash: xxhash.Sum64String(m.Name + " " + s.Name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.rank != b.rank:
			return a.rank - b.rank
		case assigned[a.s.Name] != assigned[b.s.Name]:
			return assigned[a.s.Name] - assigned[b.s.Name]
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	chosen := make([]*engineState, m.MinEngines)
	for i := range chosen {
		chosen[i] = list[i].s
	}
	return chosen
}

// preferenceRank returns how well an engine suits a model by what it already
// holds; 0 is best.
func preferenceRank(m Model, s *engineState) int {
	switch {
	case s.servesWithAdapters(m):
		return 0
	case s.serves(m.baseName()):
		return 1
	case s.isLoading(m.baseName()):
		return 2
	case s.servesOtherVersion(m):
		return 3
	}
	return 4
}

// namesToUnload returns the names that the engine may unload now. It includes
// names that the engine is still loading, because they may be served by the
// time the order arrives.
func (c *Core) namesToUnload(now time.Duration, s *engineState, placements []placement) []string {
	var list []string
	for _, held := range slices.Concat(s.status.Loading, s.status.Models) {
		switch c.matchDesired(held) {
		case notDesired:
			list = append(list, held)
		case otherVersion:
			if c.isReplaced(now, held, s, placements) {
				list = append(list, held)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// desiredMatch is the result of comparing a name that an engine holds with the
// desired state.
type desiredMatch uint8

// Results of matchDesired: the name belongs to no desired model or adapter, to
// another version of a desired model, or to the desired version.
const (
	notDesired desiredMatch = iota
	otherVersion
	desiredVersion
)

// matchDesired compares a name that an engine holds with the desired state.
func (c *Core) matchDesired(held string) desiredMatch {
	name, version, adapter := splitHeldName(held)
	m, ok := c.desired.findModel(name)
	switch {
	case !ok:
		return notDesired
	case version != m.Version:
		return otherVersion
	case adapter != "" && !slices.Contains(m.Adapters, adapter):
		return notDesired
	}
	return desiredVersion
}

// isReplaced reports whether an engine may unload an older version of a model:
// either the engine itself serves the desired version, or the model is not
// placed on it and all engines on which it is placed serve the desired version.
func (c *Core) isReplaced(now time.Duration, held string, s *engineState, placements []placement) bool {
	name, _, _ := splitHeldName(held)
	i := slices.IndexFunc(placements, func(p placement) bool { return p.Name == name })
	if i < 0 {
		return false
	}
	p := placements[i]
	if s.servesWithAdapters(p.Model) {
		return true
	}
	return p.readyCount > 0 && p.readyCount == len(p.engines) && c.recentlyVerified(now, p)
}

// recentlyVerified reports whether a recent status report shows that an engine
// of the placement serves the model. If none does, it makes a read of the first
// engine due.
func (c *Core) recentlyVerified(now time.Duration, p placement) bool {
	for _, s := range p.engines {
		if now-s.statusSentAt <= verificationIntervals*c.cfg.ActiveEvery {
			return true
		}
	}
	p.engines[0].nextReadAt = min(p.engines[0].nextReadAt, now)
	return false
}

// updateAbsentModels determines which desired models no usable engine serves in
// any version, and reports the changes.
func (c *Core) updateAbsentModels(placements []placement) {
	var absent []string
	for _, p := range placements {
		serves := func(s *engineState) bool {
			return c.usable(s) && (s.serves(p.baseName()) || s.servesOtherVersion(p.Model))
		}
		if !slices.ContainsFunc(c.engines, serves) {
			absent = append(absent, p.Name)
		}
	}
	for _, name := range absent {
		if !slices.Contains(c.absentModels, name) {
			c.emit(ModelAvailabilityChanged{Model: name, Absent: true})
		}
	}
	for _, name := range c.absentModels {
		if !slices.Contains(absent, name) {
			c.emit(ModelAvailabilityChanged{Model: name})
		}
	}
	c.absentModels = absent
}
