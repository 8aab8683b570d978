package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// topology is who speaks to whom, derived from the members.
type topology struct {
	// peers are the hosts of the data centre that are not dead, by name.
	peers []*member
	// watchers get this host's frequent heartbeats; watched are those whose
	// frequent heartbeats this host gets.
	watchers map[string]bool
	watched  map[string]bool
	// links are this host's partners in other data centres, by data centre.
	links map[string][]*member
}

// site is what this host knows of another data centre.
type site struct {
	name string
	// contactAt is when the data centre was last heard from, by this host or
	// a peer; directAt when by this host.
	contactAt time.Duration
	directAt  time.Duration
	reachable bool
	// triedAt and jitter time the attempts to reach it when it is silent.
	triedAt time.Duration
	// tables compares that data centre's section, back this one's.
	tables comparison
	back   comparison
	jitter float64
}

// site returns the record of another data centre, or nil for this one.
func (c *Core) site(name string) *site {
	if name == c.self.DataCentre {
		return nil
	}
	s := c.sites[name]
	if s == nil {
		s = &site{name: name, contactAt: c.now, reachable: true, triedAt: c.now, jitter: c.rng.Float64()}
		c.sites[name] = s
		c.siteList = insertName(c.siteList, name)
		c.stale = true
	}
	return s
}

func (c *Core) peers() []*member {
	c.refresh()
	return c.topology.peers
}

// links returns this host's partners in other data centres.
func (c *Core) links() []*member {
	c.refresh()
	var all []*member
	for _, name := range c.siteList {
		all = append(all, c.topology.links[name]...)
	}
	return all
}

// refresh derives the topology anew after a change of members.
func (c *Core) refresh() {
	if !c.stale {
		return
	}
	c.stale = false
	c.topology = topology{links: make(map[string][]*member)}
	for _, name := range c.names {
		m := c.members[name]
		if m.DataCentre == c.self.DataCentre && m.State != wire.Dead {
			c.topology.peers = append(c.topology.peers, m)
		}
	}
	c.refreshRing()
	for _, name := range c.siteList {
		if links, ok := c.chooseLinks(name); ok {
			c.topology.links[name] = links
		}
	}
}

// refreshRing puts all hosts of the data centre on a ring by hash; each is
// watched by its next few.
func (c *Core) refreshRing() {
	ring := []string{c.self.Host}
	for _, m := range c.topology.peers {
		ring = append(ring, m.Host)
	}
	sortByRank(ring, "")
	at := 0
	for ring[at] != c.self.Host {
		at++
	}
	n := len(ring)
	count := c.cfg.Watchers
	if count == 0 || count > n-1 {
		count = n - 1
	}
	c.topology.watchers = make(map[string]bool, count)
	c.topology.watched = make(map[string]bool, count)
	for i := 1; i <= count; i++ {
		c.topology.watchers[ring[(at+i)%n]] = true
		c.topology.watched[ring[(at-i+n)%n]] = true
	}
}

// chooseLinks returns the hosts of another data centre that this host sends
// to, and whether this host is one of its own side's bridges to there.
func (c *Core) chooseLinks(site string) ([]*member, bool) {
	var own, other []string
	if c.self.State == wire.Alive {
		own = append(own, c.self.Host)
	}
	for _, name := range c.names {
		m := c.members[name]
		switch {
		case m.State != wire.Alive:
		case m.DataCentre == c.self.DataCentre:
			own = append(own, name)
		case m.DataCentre == site:
			other = append(other, name)
		}
	}
	own = c.bridges(own, site)
	other = c.bridges(other, c.self.DataCentre)
	if !hasName(own, c.self.Host) {
		return nil, false
	}
	links := make([]*member, len(other))
	for i, name := range other {
		links[i] = c.members[name]
	}
	return links, true
}

// bridges returns the hosts that rank first for the link to the data centre.
func (c *Core) bridges(hosts []string, site string) []string {
	sortByRank(hosts, site)
	if c.cfg.Bridges == 0 {
		return hosts
	}
	return hosts[:min(len(hosts), c.cfg.Bridges)]
}

// sortByRank orders names by a hash that differs with the purpose, so that
// duties are spread over the hosts and all hosts agree on them.
func sortByRank(names []string, purpose string) {
	rank := make(map[string]uint64, len(names))
	for _, name := range names {
		rank[name] = xxhash.Sum64String(name + "\x00" + purpose)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := rank[names[i]], rank[names[j]]
		if a != b {
			return a < b
		}
		return names[i] < names[j]
	})
}

func hasName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// updateReach decides which data centres can be reached.
func (c *Core) updateReach() {
	for _, name := range c.siteList {
		s := c.sites[name]
		reachable := c.now-s.contactAt <= c.cfg.UnreachableAfter
		if reachable != s.reachable {
			s.reachable = reachable
			c.unpublished = true
			c.emit(ReachabilityChanged{DataCentre: name, Reachable: reachable})
		}
	}
}

// contacted notes that a data centre was heard from.
func (c *Core) contacted(name string, at time.Duration) {
	if s := c.site(name); s != nil {
		s.contactAt = max(s.contactAt, at)
	}
}
