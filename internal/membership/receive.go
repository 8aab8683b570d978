package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// receiveMessage passes a message to the function that handles its type. It
// ignores messages of other components.
func (c *Core) receiveMessage(r MessageReceived) {
	switch m := r.Message.(type) {
	case wire.Heartbeat:
		c.receiveHeartbeat(r.From, m)
	case wire.SyncRequest:
		c.answerSyncRequest(r.From, m)
	case wire.SyncOffer:
		c.receiveOffer(r.From, m)
	case wire.SyncFetch:
		c.answerFetch(r.From, m)
	case wire.SyncReply:
		c.receiveSyncReply(m)
	}
}

// receiveSyncReply merges the entries of a section. It gossips the entries that
// were new only if there are at most MaxNews of them; with more, it is cheaper
// for the other hosts to compare their tables as well.
func (c *Core) receiveSyncReply(r wire.SyncReply) {
	c.mergingSection = true
	remote := c.isRemoteMember(r.Host)
	for _, entry := range r.Members {
		if remote {
			entry = c.suspectUnknown(entry)
		}
		c.merge(entry)
	}
	sectionChanges := c.sectionChanges
	c.mergingSection, c.sectionChanges = false, nil
	if len(sectionChanges) > c.cfg.MaxNews {
		return
	}
	for _, u := range sectionChanges {
		c.gossip(u)
	}
}

// receiveHeartbeat takes over what a heartbeat carries and answers it if
// needed. An unknown sender is asked for its table, and one with an outdated
// incarnation is notified of the later one.
func (c *Core) receiveHeartbeat(from string, h wire.Heartbeat) {
	for _, entry := range h.Members {
		c.merge(entry)
	}
	m := c.updateSender(h)
	if m == nil {
		c.requestTable(from, h)
		return
	}
	if h.Incarnation < m.Incarnation {
		c.notifyOutdated(from, m)
		return
	}
	c.recordReceived(m)
	c.learnConfigVersion(h.ConfigVersion)
	for _, contact := range h.Contacts {
		c.recordContact(contact.DataCentre, c.now-time.Duration(contact.AgeMillis)*time.Millisecond)
	}
	m.tableHash = h.TableHash
	if h.HasUpstreamLists {
		m.suspectedUpstreams, m.leavingUpstreams = h.SuspectedUpstreams, h.LeavingUpstreams
	}
	c.emitDigest(m, h)
	c.answerHeartbeat(m, h)
	c.compareTables(m, h.TableHash)
}

// suspectUnknown handles an entry from another data centre about a member of
// this one that is unknown here. It marks the entry as suspect and probes the
// member; if the member is alive, it receives the suspicion and refutes it.
func (c *Core) suspectUnknown(entry wire.Member) wire.Member {
	if entry.DataCentre != c.self.DataCentre || entry.Host == c.self.Host || c.members[entry.Host] != nil {
		return entry
	}
	if entry.State == wire.Alive {
		entry.State = wire.Suspect
	}
	if entry.State != wire.Dead {
		c.sendProbe(entry.Address, entry.DataCentre)
	}
	return entry
}

// updateSender merges the state that the sender of a heartbeat reports of
// itself, and returns the sender's member. The result is nil if the sender is
// unknown or claims to be this host.
func (c *Core) updateSender(h wire.Heartbeat) *member {
	if h.Host == c.self.Host {
		return nil
	}
	m := c.members[h.Host]
	if m == nil {
		return nil
	}
	entry := m.Member
	entry.Incarnation, entry.Refutation, entry.State = h.Incarnation, h.Refutation, h.State
	return c.merge(entry)
}

// requestTable asks an unknown sender, whose data centre is not known, for the
// differences between its table and this one.
func (c *Core) requestTable(from string, h wire.Heartbeat) {
	if h.Host != c.self.Host && h.State != wire.Dead && c.tableBudget.hasBudget(0) {
		c.send(from, wire.SyncRequest{Host: c.self.Host, Sections: c.sectionSummaries()})
	}
}

// notifyOutdated sends a process the entry of a later process with the same
// name.
func (c *Core) notifyOutdated(from string, m *member) {
	if !c.heartbeatBudget.hasBudget(0) {
		return
	}
	h := c.baseHeartbeat(false, m.DataCentre)
	h.Members = []wire.Member{c.self, m.Member}
	c.send(from, h)
}

// recordReceived records that a heartbeat from the member itself has arrived.
func (c *Core) recordReceived(m *member) {
	m.lastReceivedAt = c.now
	m.probedAt = 0
	if m.introducedAt > 0 {
		m.introductionAnswered = true
	}
	if s := c.dataCentreState(m.DataCentre); s != nil {
		s.lastContactAt, s.lastDirectContactAt = c.now, c.now
	}
}

// answerHeartbeat answers a probe. It also sends a heartbeat to a host that
// this one wrongly sees as suspect or dead, so that the host can refute it; the
// time since the last heartbeat to the host must be at least ProbeTimeout.
func (c *Core) answerHeartbeat(m *member, h wire.Heartbeat) {
	viewedWorse := m.State > h.State && c.now-m.heartbeatSentAt >= c.cfg.ProbeTimeout
	if h.State != wire.Dead && (h.Probe || viewedWorse) {
		c.sendHeartbeat(m, false)
	}
}

// emitDigest reports the digest in a heartbeat to the caller.
func (c *Core) emitDigest(m *member, h wire.Heartbeat) {
	c.emit(DigestReceived{
		Host:          m.Host,
		DataCentre:    m.DataCentre,
		Incarnation:   h.Incarnation,
		ConfigVersion: h.ConfigVersion,
		Loads:         h.Loads,
		Suspected:     m.suspectedUpstreams,
		Leaving:       m.leavingUpstreams,
	})
}
