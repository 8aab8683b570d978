package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// pendingUpdate is a changed entry of the member table that is still being
// gossiped.
type pendingUpdate struct {
	wire.Member
	// sendsLeft is the number of heartbeats that are still to carry the update.
	sendsLeft int
}

const (
	// gossipRounds is the number of heartbeats in which a host gossips one
	// update if its data centre has no other host. Each doubling of the number
	// of hosts adds as many, so the total grows with the logarithm of that
	// number.
	gossipRounds = 2
)

// gossip adds an entry to the updates that heartbeats carry and schedules a
// push. An earlier update about the same host is replaced.
func (c *Core) gossip(entry wire.Member) {
	sendsLeft := gossipRounds
	for n := 2; n < len(c.topology.peers)+2; n *= 2 {
		sendsLeft += gossipRounds
	}
	c.updates[entry.Host] = &pendingUpdate{Member: entry, sendsLeft: sendsLeft}
	c.schedulePush()
}

// sendHeartbeat sends a heartbeat to a member and returns its size in bytes
// without the gossiped updates. It adds updates only when the traffic limit
// allows, so that the join or death of many hosts does not delay the heartbeats
// themselves.
func (c *Core) sendHeartbeat(m *member, probe bool) int {
	m.heartbeatSentAt, m.jitter = c.now, c.randomJitter()
	h := c.baseHeartbeat(probe, m.DataCentre)
	sameDataCentre := m.DataCentre == c.self.DataCentre
	if sameDataCentre {
		h.Loads = c.dueLoads(m)
		c.addUpstreamLists(m, &h)
		h.Contacts = c.directContacts()
	}
	if !m.introductionAnswered {
		m.introducedAt = c.now
		h.Members = append(h.Members, c.self)
	}
	if m.State != wire.Alive {
		h.Members = append(h.Members, m.Member)
	}
	size := wire.Size(h) + c.cfg.OverheadBytes
	if c.heartbeatBudget.hasBudget(updateReserveShare * c.heartbeatBudget.burst) {
		h.Members = c.addUpdates(h.Members, m)
	}
	c.send(m.Address, h)
	return size
}

// sendProbe sends a heartbeat that asks for an answer to an address at which a
// host may listen. If this host knows a member with that address that is not
// alive, the heartbeat carries the member's entry, so that it can refute it.
func (c *Core) sendProbe(to, dataCentre string) {
	h := c.baseHeartbeat(true, dataCentre)
	h.Members = append(h.Members, c.self)
	for _, name := range c.memberNames {
		if m := c.members[name]; m.Address == to && m.State != wire.Alive {
			h.Members = append(h.Members, m.Member)
		}
	}
	c.send(to, h)
}

// baseHeartbeat returns a heartbeat with the fields that every receiver gets.
// The data centre is that of the receiver.
func (c *Core) baseHeartbeat(probe bool, dataCentre string) wire.Heartbeat {
	return wire.Heartbeat{
		Host:          c.self.Host,
		Incarnation:   c.self.Incarnation,
		Refutation:    c.self.Refutation,
		State:         c.self.State,
		Probe:         probe,
		TableHash:     c.hashForDataCentre(dataCentre),
		ConfigVersion: c.configVersion,
	}
}

// addUpdates appends the updates that have been sent least often, at most
// MaxNews. An update that the receiver already has, as its table hash shows, is
// counted as sent but left out.
func (c *Core) addUpdates(members []wire.Member, to *member) []wire.Member {
	pending := c.updatesFor(to)
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].sendsLeft != pending[j].sendsLeft {
			return pending[i].sendsLeft > pending[j].sendsLeft
		}
		return pending[i].Host < pending[j].Host
	})
	sameTable := to.tableHash == c.hashForDataCentre(to.DataCentre)
	for _, update := range pending[:min(len(pending), c.cfg.MaxNews)] {
		if !containsEntry(members, update.Member) && !(sameTable && coveredByHash(update.Member)) {
			members = append(members, update.Member)
		}
		update.sendsLeft--
		if update.sendsLeft == 0 {
			delete(c.updates, update.Host)
		}
	}
	return members
}

// updatesFor returns the updates that are meant for a host. Hosts of other data
// centres get only the updates about members of this one.
func (c *Core) updatesFor(to *member) []*pendingUpdate {
	sameDataCentre := to.DataCentre == c.self.DataCentre
	var pending []*pendingUpdate
	for _, update := range c.updates {
		if update.Host != to.Host && (sameDataCentre || update.DataCentre == c.self.DataCentre) {
			pending = append(pending, update)
		}
	}
	return pending
}

// coveredByHash reports whether equal table hashes prove that the other host
// has this entry. The hash leaves out suspicions and refutations, so they prove
// nothing about an entry with one of them.
func coveredByHash(m wire.Member) bool {
	return m.State != wire.Suspect && m.Refutation == 0
}

// containsEntry reports whether the list contains exactly this entry.
func containsEntry(members []wire.Member, entry wire.Member) bool {
	for _, m := range members {
		if m == entry {
			return true
		}
	}
	return false
}

// directContacts lists the data centres from which this host itself has
// received a message within UnreachableAfter.
func (c *Core) directContacts() []wire.Contact {
	var list []wire.Contact
	for _, name := range c.dataCentreNames {
		s := c.dataCentres[name]
		age := c.now - s.lastDirectContactAt
		if s.lastDirectContactAt > 0 && age <= c.cfg.UnreachableAfter && len(list) < wire.MaxDataCentres {
			list = append(list, wire.Contact{DataCentre: name, AgeMillis: uint32(age / time.Millisecond)})
		}
	}
	return list
}
