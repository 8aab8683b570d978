package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// newsItem is a changed member that is still being passed on.
type newsItem struct {
	wire.Member
	// left is how many more heartbeats carry it.
	left int
}

const (
	// newsRounds times the logarithm of the number of members is how often a
	// host passes one piece of news on.
	newsRounds = 2
)

// spread passes an account of a member on.
func (c *Core) spread(u wire.Member) {
	left := newsRounds
	for n := 2; n < len(c.topology.peers)+2; n *= 2 {
		left += newsRounds
	}
	c.news[u.Host] = &newsItem{Member: u, left: left}
	c.push()
}

// heartbeat sends one to a member and returns its size without news. News
// only goes along when the traffic limit allows, so that a mass join or death
// does not delay the heartbeats themselves.
func (c *Core) heartbeat(m *member, probe bool) int {
	m.sentAt, m.jitter = c.now, c.jitter()
	h := c.digest(probe, m.DataCentre)
	own := m.DataCentre == c.self.DataCentre
	if own {
		h.Loads = c.loadsDue(m)
		c.listFor(m, &h)
		h.Contacts = c.contacts()
	}
	if !m.met {
		m.introducedAt = c.now
		h.Members = append(h.Members, c.self)
	}
	if m.State != wire.Alive {
		h.Members = append(h.Members, m.Member)
	}
	size := wire.Size(h) + c.cfg.OverheadBytes
	if c.traffic.affords(newsReserve * c.traffic.burst) {
		h.Members = c.addNews(h.Members, m)
	}
	c.send(m.Address, h)
	return size
}

// probe sends a heartbeat that asks for an answer to an address where no
// member is known, or a dead one.
func (c *Core) probe(to, dataCentre string) {
	h := c.digest(true, dataCentre)
	h.Members = append(h.Members, c.self)
	for _, name := range c.names {
		if m := c.members[name]; m.Address == to && m.State != wire.Alive {
			h.Members = append(h.Members, m.Member)
		}
	}
	c.send(to, h)
}

// digest returns a heartbeat with what every receiver is told.
func (c *Core) digest(probe bool, dataCentre string) wire.Heartbeat {
	return wire.Heartbeat{
		Host:          c.self.Host,
		Incarnation:   c.self.Incarnation,
		Refutation:    c.self.Refutation,
		State:         c.self.State,
		Probe:         probe,
		TableHash:     c.hashFor(dataCentre),
		ConfigVersion: c.version,
	}
}

// addNews appends the news told least often.
func (c *Core) addNews(members []wire.Member, to *member) []wire.Member {
	items := c.newsFor(to)
	sort.Slice(items, func(i, j int) bool {
		if items[i].left != items[j].left {
			return items[i].left > items[j].left
		}
		return items[i].Host < items[j].Host
	})
	same := to.tableHash == c.hashFor(to.DataCentre)
	for _, item := range items[:min(len(items), c.cfg.MaxNews)] {
		if !tells(members, item.Member) && !(same && hashed(item.Member)) {
			members = append(members, item.Member)
		}
		item.left--
		if item.left == 0 {
			delete(c.news, item.Host)
		}
	}
	return members
}

// newsFor lists the news that concerns a host. Other data centres only get
// news of this one.
func (c *Core) newsFor(to *member) []*newsItem {
	own := to.DataCentre == c.self.DataCentre
	var items []*newsItem
	for _, item := range c.news {
		if item.Host != to.Host && (own || item.DataCentre == c.self.DataCentre) {
			items = append(items, item)
		}
	}
	return items
}

// hashed tells whether equal table hashes show that the other host knows this
// account of a member.
func hashed(m wire.Member) bool {
	return m.State != wire.Suspect && m.Refutation == 0
}

func tells(members []wire.Member, u wire.Member) bool {
	for _, m := range members {
		if m == u {
			return true
		}
	}
	return false
}

// contacts lists the data centres that this host hears from itself.
func (c *Core) contacts() []wire.Contact {
	var list []wire.Contact
	for _, name := range c.siteList {
		s := c.sites[name]
		age := c.now - s.directAt
		if s.directAt > 0 && age <= c.cfg.UnreachableAfter && len(list) < wire.MaxDataCentres {
			list = append(list, wire.Contact{DataCentre: name, AgeMillis: uint32(age / time.Millisecond)})
		}
	}
	return list
}
