package order

import (
	"slices"
	"time"
)

// load orders missing models within the limits, those that fewest engines
// serve first.
func (c *Core) load(now time.Duration, all []placed) {
	free := c.cfg.LoadsAtOnce - c.loading(now)
	slices.SortStableFunc(all, func(a, b placed) int { return a.ready - b.ready })
	for _, p := range all {
		rolling := c.rollingFree(p)
		for _, s := range c.needy(p) {
			changes := s.hasOther(p.Model)
			if free <= 0 || changes && rolling <= 0 || !c.mayLoad(s) {
				continue
			}
			c.send(now, s, missing(p.Model, s), nil)
			free--
			if changes {
				rolling--
			}
		}
	}
}

func (c *Core) mayLoad(s *state) bool {
	return c.mayOrder(s) && s.barrierDone() && !s.busy()
}

// loading counts the engines that draw on the weight store.
func (c *Core) loading(now time.Duration) int {
	n := 0
	for _, s := range c.engines {
		stuck := s.pending == nil && now-s.loadingSince >= c.cfg.LoadLimit
		if s.busy() && !c.dead(s) && !stuck {
			n++
		}
	}
	return n
}

// rollingFree is how many more engines may change the model's version now.
func (c *Core) rollingFree(p placed) int {
	free := max(1, int(c.cfg.RollingShare*float64(len(p.engines))))
	for _, s := range p.engines {
		if s.hasOther(p.Model) && slices.ContainsFunc(p.held(), s.loads) {
			free--
		}
	}
	return free
}

// needy lists the chosen engines that lack the model or an adapter, those with
// no version of it first.
func (c *Core) needy(p placed) []*state {
	var list []*state
	for _, s := range p.engines {
		if len(missing(p.Model, s)) > 0 {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *state) int {
		return later(a.hasOther(p.Model)) - later(b.hasOther(p.Model))
	})
	return list
}

// later sorts true behind false.
func later(b bool) int {
	if b {
		return 1
	}
	return 0
}

// missing lists what the engine neither holds nor loads of a model.
func missing(m Model, s *state) []string {
	var names []string
	for _, name := range m.held() {
		if !s.has(name) && !s.loads(name) {
			names = append(names, name)
		}
	}
	return names
}
