package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// topology holds the hosts that exchange heartbeats with this one. It is
// derived from the members.
type topology struct {
	// peers are the other hosts of this data centre that are not dead, sorted
	// by name.
	peers []*member
	// watchers are the hosts that watch this one and get its frequent
	// heartbeats; watched are the hosts that this one watches and whose
	// frequent heartbeats it gets.
	watchers map[string]bool
	watched  map[string]bool
	// links are the hosts of other data centres that this host exchanges
	// heartbeats with, by data centre. A data centre is missing if this host is
	// no bridge to it.
	links map[string][]*member
}

// dataCentreState holds this host's view of another data centre.
type dataCentreState struct {
	name string
	// lastContactAt is the time of the last message from the data centre to
	// this host or to a peer, and lastDirectContactAt that of the last one to
	// this host.
	lastContactAt       time.Duration
	lastDirectContactAt time.Duration
	reachable           bool
	// lastProbedAt is the time of the last probe that was sent because the data
	// centre was silent. The next one follows after BridgeInterval times jitter.
	lastProbedAt time.Duration
	// sectionSync limits the requests for that data centre's section, and
	// ownSectionSync those for its view of this data centre's section.
	sectionSync    syncTimer
	ownSectionSync syncTimer
	jitter         float64
}

// dataCentreState returns the state of another data centre and creates it if it
// does not exist. It returns nil for this host's own data centre.
func (c *Core) dataCentreState(name string) *dataCentreState {
	if name == c.self.DataCentre {
		return nil
	}
	s := c.dataCentres[name]
	if s == nil {
		s = &dataCentreState{name: name, lastContactAt: c.now, reachable: true, lastProbedAt: c.now, jitter: c.rng.Float64()}
		c.dataCentres[name] = s
		c.dataCentreNames = insertName(c.dataCentreNames, name)
		c.topologyStale = true
	}
	return s
}

// peers returns the other hosts of this data centre that are not dead, sorted
// by name.
func (c *Core) peers() []*member {
	c.refreshTopology()
	return c.topology.peers
}

// links returns the hosts of other data centres that this host exchanges
// heartbeats with.
func (c *Core) links() []*member {
	c.refreshTopology()
	var all []*member
	for _, name := range c.dataCentreNames {
		all = append(all, c.topology.links[name]...)
	}
	return all
}

// refreshTopology derives the topology again if the members have changed.
func (c *Core) refreshTopology() {
	if !c.topologyStale {
		return
	}
	c.topologyStale = false
	c.topology = topology{links: make(map[string][]*member)}
	for _, name := range c.memberNames {
		m := c.members[name]
		if m.DataCentre == c.self.DataCentre && m.State != wire.Dead {
			c.topology.peers = append(c.topology.peers, m)
		}
	}
	c.refreshWatchers()
	for _, name := range c.dataCentreNames {
		if links, ok := c.chooseLinks(name); ok {
			c.topology.links[name] = links
		}
	}
}

// refreshWatchers arranges all hosts of the data centre on a ring, ordered by
// the hash of their names. Each host is watched by the hosts that follow it on
// the ring, as many as Watchers says, or by all others if Watchers is 0.
func (c *Core) refreshWatchers() {
	ring := []string{c.self.Host}
	for _, m := range c.topology.peers {
		ring = append(ring, m.Host)
	}
	sortByRank(ring, "")
	selfIndex := 0
	for ring[selfIndex] != c.self.Host {
		selfIndex++
	}
	n := len(ring)
	count := c.cfg.Watchers
	if count == 0 || count > n-1 {
		count = n - 1
	}
	c.topology.watchers = make(map[string]bool, count)
	c.topology.watched = make(map[string]bool, count)
	for i := 1; i <= count; i++ {
		c.topology.watchers[ring[(selfIndex+i)%n]] = true
		c.topology.watched[ring[(selfIndex-i+n)%n]] = true
	}
}

// chooseLinks returns the hosts of another data centre that this host sends
// heartbeats to, and whether this host is one of the bridges of its own data
// centre to the other one.
func (c *Core) chooseLinks(dataCentre string) ([]*member, bool) {
	var ownHosts, otherHosts []string
	if c.self.State == wire.Alive {
		ownHosts = append(ownHosts, c.self.Host)
	}
	for _, name := range c.memberNames {
		m := c.members[name]
		switch {
		case m.State != wire.Alive:
		case m.DataCentre == c.self.DataCentre:
			ownHosts = append(ownHosts, name)
		case m.DataCentre == dataCentre:
			otherHosts = append(otherHosts, name)
		}
	}
	ownHosts = c.chooseBridges(ownHosts, dataCentre)
	otherHosts = c.chooseBridges(otherHosts, c.self.DataCentre)
	if !hasName(ownHosts, c.self.Host) {
		return nil, false
	}
	links := make([]*member, len(otherHosts))
	for i, name := range otherHosts {
		links[i] = c.members[name]
	}
	return links, true
}

// chooseBridges returns those of the hosts that are the bridges to the data
// centre: the first ones by rank, or all if Bridges is 0.
func (c *Core) chooseBridges(hosts []string, dataCentre string) []string {
	sortByRank(hosts, dataCentre)
	if c.cfg.Bridges == 0 {
		return hosts
	}
	return hosts[:min(len(hosts), c.cfg.Bridges)]
}

// sortByRank sorts names by a hash of name and purpose. Different purposes give
// different orders, which spreads the roles over the hosts, and all hosts
// compute the same order.
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

// hasName reports whether an unsorted list contains the name.
func hasName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// updateReachability determines which data centres can be reached, and emits
// ReachabilityChanged for those where this has changed.
func (c *Core) updateReachability() {
	for _, name := range c.dataCentreNames {
		s := c.dataCentres[name]
		reachable := c.now-s.lastContactAt <= c.cfg.UnreachableAfter
		if reachable != s.reachable {
			s.reachable = reachable
			c.publishPending = true
			c.emit(ReachabilityChanged{DataCentre: name, Reachable: reachable})
		}
	}
}

// recordContact records that a message from a data centre arrived at the given
// time, at this host or at a peer.
func (c *Core) recordContact(name string, at time.Duration) {
	if s := c.dataCentreState(name); s != nil {
		s.lastContactAt = max(s.lastContactAt, at)
	}
}
