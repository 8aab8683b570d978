package order

import (
	"slices"
	"time"
)

// orderMissingLoads orders engines to load the models that they lack, within
// the limits on concurrent loads and version changes. The models that the
// fewest engines serve come first.
func (c *Core) orderMissingLoads(now time.Duration, placements []placement) {
	loadsAllowed := c.cfg.LoadsAtOnce - c.countLoading(now)
	slices.SortStableFunc(placements, func(a, b placement) int { return a.readyCount - b.readyCount })
	for _, p := range placements {
		changesAllowed := c.versionChangesAllowed(p)
		for _, s := range c.enginesLackingModel(p) {
			changesVersion := s.servesOtherVersion(p.Model)
			if loadsAllowed <= 0 || changesVersion && changesAllowed <= 0 || !c.canLoad(s) {
				continue
			}
			c.sendOrder(now, s, missingNames(p.Model, s), nil)
			loadsAllowed--
			if changesVersion {
				changesAllowed--
			}
		}
	}
}

// canLoad reports whether the engine can get an order to load now.
func (c *Core) canLoad(s *engineState) bool {
	return c.canOrder(s) && s.earlierOrdersBarred() && !s.loadsAnything()
}

// countLoading returns the number of engines that read from the weight store. A
// load that has lasted longer than LoadLimit does not count.
func (c *Core) countLoading(now time.Duration) int {
	n := 0
	for _, s := range c.engines {
		exceedsLimit := s.pending == nil && now-s.loadingSince >= c.cfg.LoadLimit
		if s.loadsAnything() && !c.dead(s) && !exceedsLimit {
			n++
		}
	}
	return n
}

// versionChangesAllowed returns how many more engines may start to change the
// model's version now.
func (c *Core) versionChangesAllowed(p placement) int {
	allowed := max(1, int(c.cfg.RollingShare*float64(len(p.engines))))
	for _, s := range p.engines {
		if s.servesOtherVersion(p.Model) && slices.ContainsFunc(p.heldNames(), s.isLoading) {
			allowed--
		}
	}
	return allowed
}

// enginesLackingModel returns the placement's engines that lack the model or
// one of its adapters. The engines that serve no other version of it come
// first.
func (c *Core) enginesLackingModel(p placement) []*engineState {
	var list []*engineState
	for _, s := range p.engines {
		if len(missingNames(p.Model, s)) > 0 {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *engineState) int {
		return falseFirst(a.servesOtherVersion(p.Model)) - falseFirst(b.servesOtherVersion(p.Model))
	})
	return list
}

// falseFirst is a sort key that orders false before true.
func falseFirst(b bool) int {
	if b {
		return 1
	}
	return 0
}

// missingNames returns the names of the model and its adapters that the engine
// neither serves nor loads.
func missingNames(m Model, s *engineState) []string {
	var names []string
	for _, name := range m.heldNames() {
		if !s.serves(name) && !s.isLoading(name) {
			names = append(names, name)
		}
	}
	return names
}
