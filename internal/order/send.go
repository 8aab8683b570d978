package order

import "time"

// canOrder reports whether the engine may get an order based on its last status
// report.
func (c *Core) canOrder(s *engineState) bool {
	return s.statusCurrent && !s.readInFlight && s.pending == nil && !c.dead(s) &&
		s.status.LastFencing <= c.term.Fencing
}

// earlierOrdersBarred reports whether no earlier order can take effect on the
// engine any more: neither one of an earlier lease holder nor one whose answer
// was lost.
func (s *engineState) earlierOrdersBarred() bool {
	return !s.unresolved && (s.reportsTermFencing || s.ordersWithoutFencing >= maxOrdersWithoutFencing)
}

// sendBarriers sends a barrier, which is an empty order, to each engine on
// which an earlier order may still take effect. A barrier, like any order, uses
// up the ID that such an earlier order must have.
func (c *Core) sendBarriers(now time.Duration) {
	for _, s := range c.engines {
		if c.canOrder(s) && !s.earlierOrdersBarred() {
			c.sendOrder(now, s, nil, nil)
		}
	}
}

// sendOrder sends an order to the engine and records it as pending.
func (c *Core) sendOrder(now time.Duration, s *engineState, load, unload []string) {
	s.pending = &pendingOrder{token: c.nextToken(), load: load, unload: unload}
	s.statusCurrent = false
	s.orderedLoads = append(s.orderedLoads, load...)
	c.emit(SendOrder{
		Engine:   s.Name,
		Address:  s.Address,
		Token:    s.pending.token,
		NotAfter: min(c.term.Until, now+c.cfg.OrderTimeout),
		ID:       s.nextOrderID(),
		Fencing:  c.term.Fencing,
		Load:     load,
		Unload:   unload,
	})
}
