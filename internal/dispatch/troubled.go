package dispatch

// UnavailableUpstreams returns the names of the upstreams that this host suspects, and of
// those it knows to be leaving, each ordered.
func (c *Core) UnavailableUpstreams() (suspected, leaving []string) {
	for _, list := range [][]*upstream{c.engines, c.services} {
		for _, u := range list {
			if u.failures >= suspectAfter {
				suspected = append(suspected, u.name)
			}
			if u.leaving {
				leaving = append(leaving, u.name)
			}
		}
	}
	return suspected, leaving
}
