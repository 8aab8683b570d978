package balance

// intake bounds the requests that a server gets from all hosts together while it
// names a limit.
type intake struct {
	// limit is the number of requests a second; 0 if the server names none.
	limit float64
}

// handleLimitObserved records the limit that a server names.
func (c *Core) handleLimitObserved(e LimitObserved) {
	u := c.upstreams[e.Upstream]
	if u == nil || u.intake.limit == e.PerSecond {
		return
	}
	c.emit(UpstreamLimitChanged{Upstream: u.ID, Before: u.intake.limit, PerSecond: e.PerSecond})
	u.intake.limit = e.PerSecond
}
