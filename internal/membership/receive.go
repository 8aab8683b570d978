package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

func (c *Core) receive(r MessageReceived) {
	switch m := r.Message.(type) {
	case wire.Heartbeat:
		c.receiveHeartbeat(r.From, m)
	case wire.SyncRequest:
		c.answerSync(r.From, m)
	case wire.SyncOffer:
		c.receiveOffer(r.From, m)
	case wire.SyncFetch:
		c.answerWant(r.From, m)
	case wire.SyncReply:
		c.receiveSection(m)
	}
}

// receiveSection merges a whole section. It passes on what was new only if
// that is little; otherwise the others had better compare tables as well.
func (c *Core) receiveSection(r wire.SyncReply) {
	c.bulk = true
	remote := c.isRemote(r.Host)
	for _, u := range r.Members {
		if remote {
			u = c.doubt(u)
		}
		c.merge(u)
	}
	found := c.found
	c.bulk, c.found = false, nil
	if len(found) > c.cfg.MaxNews {
		return
	}
	for _, u := range found {
		c.spread(u)
	}
}

func (c *Core) receiveHeartbeat(from string, h wire.Heartbeat) {
	for _, u := range h.Members {
		c.merge(u)
	}
	m := c.sender(h)
	if m == nil {
		c.askStranger(from, h)
		return
	}
	if h.Incarnation < m.Incarnation {
		c.tellOutdated(from, m)
		return
	}
	c.heard(m)
	c.learnVersion(h.ConfigVersion)
	for _, contact := range h.Contacts {
		c.contacted(contact.DataCentre, c.now-time.Duration(contact.AgeMillis)*time.Millisecond)
	}
	m.tableHash = h.TableHash
	if h.HasUpstreamLists {
		m.suspected, m.leaving = h.SuspectedUpstreams, h.LeavingUpstreams
	}
	c.emitDigest(m, h)
	c.answer(m, h)
	c.compareTables(m, h.TableHash)
}

// doubt suspects a member of this data centre of which only another one
// knows. If it lives it hears of that and denies.
func (c *Core) doubt(u wire.Member) wire.Member {
	if u.DataCentre != c.self.DataCentre || u.Host == c.self.Host || c.members[u.Host] != nil {
		return u
	}
	if u.State == wire.Alive {
		u.State = wire.Suspect
	}
	if u.State != wire.Dead {
		c.probe(u.Address, u.DataCentre)
	}
	return u
}

// sender finds the member that sent the heartbeat and takes its own account.
func (c *Core) sender(h wire.Heartbeat) *member {
	if h.Host == c.self.Host {
		return nil
	}
	m := c.members[h.Host]
	if m == nil {
		return nil
	}
	u := m.Member
	u.Incarnation, u.Refutation, u.State = h.Incarnation, h.Refutation, h.State
	return c.merge(u)
}

// askStranger asks a sender that has not said where it is for its table.
func (c *Core) askStranger(from string, h wire.Heartbeat) {
	if h.Host != c.self.Host && h.State != wire.Dead && c.tableTraffic.affords(0) {
		c.send(from, wire.SyncRequest{Host: c.self.Host, Sections: c.sectionList()})
	}
}

// tellOutdated tells a process that a later one of the same name is known.
func (c *Core) tellOutdated(from string, m *member) {
	if !c.traffic.affords(0) {
		return
	}
	h := c.digest(false, m.DataCentre)
	h.Members = []wire.Member{c.self, m.Member}
	c.send(from, h)
}

func (c *Core) heard(m *member) {
	m.heardAt = c.now
	m.probedAt = 0
	if m.introducedAt > 0 {
		m.met = true
	}
	if s := c.site(m.DataCentre); s != nil {
		s.contactAt, s.directAt = c.now, c.now
	}
}

// answer replies to a probe, and tells a host that is wrongly suspected or
// dead here, so that it can deny.
func (c *Core) answer(m *member, h wire.Heartbeat) {
	wrong := m.State > h.State && c.now-m.sentAt >= c.cfg.ProbeTimeout
	if h.State != wire.Dead && (h.Probe || wrong) {
		c.heartbeat(m, false)
	}
}

func (c *Core) emitDigest(m *member, h wire.Heartbeat) {
	c.emit(DigestReceived{
		Host:          m.Host,
		DataCentre:    m.DataCentre,
		Incarnation:   h.Incarnation,
		ConfigVersion: h.ConfigVersion,
		Loads:         h.Loads,
		Suspected:     m.suspected,
		Leaving:       m.leaving,
	})
}
