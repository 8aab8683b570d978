package order

import "time"

// mayOrder says whether the engine may get an order that was decided on its
// last report.
func (c *Core) mayOrder(s *state) bool {
	return s.fresh && !s.reading && s.pending == nil && !c.dead(s) &&
		s.status.LastFencing <= c.term.Fencing
}

// barrierDone says whether no order given before can take effect on the engine
// any more: neither one of an earlier holder nor one whose answer was lost.
func (s *state) barrierDone() bool {
	return !s.unsettled && (s.barred || s.barriers >= maxBarriers)
}

// bar sends an empty order to each engine on which an order given before may
// still take effect. Like any order it takes the ID that such an order must
// have.
func (c *Core) bar(now time.Duration) {
	for _, s := range c.engines {
		if c.mayOrder(s) && !s.barrierDone() {
			c.send(now, s, nil, nil)
		}
	}
}

func (c *Core) send(now time.Duration, s *state, load, unload []string) {
	s.pending = &pending{token: c.nextToken(), load: load, unload: unload}
	s.fresh = false
	s.loadSent = append(s.loadSent, load...)
	c.emit(SendOrder{
		Engine:   s.Name,
		Address:  s.Address,
		Token:    s.pending.token,
		NotAfter: min(c.term.Until, now+c.cfg.OrderTimeout),
		ID:       s.nextID(),
		Fencing:  c.term.Fencing,
		Load:     load,
		Unload:   unload,
	})
}
