package dispatch

// UnavailableUpstreams returns the names of the upstreams that this host
// suspects to have failed, and of those that it knows to be leaving, each list
// with the engines first and then the services, both ordered by name.
func (c *Core) UnavailableUpstreams() (suspected, leaving []string) {
	for _, upstreams := range [][]*upstream{c.engines, c.services} {
		for _, u := range upstreams {
			if u.failures >= suspectThreshold {
				suspected = append(suspected, u.name)
			}
			if u.leaving {
				leaving = append(leaving, u.name)
			}
		}
	}
	return suspected, leaving
}
