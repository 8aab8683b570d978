package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// forgetInterval is the interval at which members that can be forgotten are
	// removed.
	forgetInterval = time.Second
	// maxMembers is the maximum number of members in the table, dead ones
	// included.
	maxMembers = 4096
)

// member holds this host's view of another host and the state of the exchange
// with it.
type member struct {
	wire.Member
	// changedAt is the time of the last change of the entry or, for a suspect,
	// of the end of this host's own last pause if that was later.
	changedAt time.Duration
	// lastReceivedAt is the time from which the silence of the host is measured:
	// that of its last heartbeat, or that of the last reset.
	lastReceivedAt time.Duration
	// probedAt is the time of the last probe if it is still unanswered;
	// otherwise it is 0.
	probedAt time.Duration
	// heartbeatSentAt is the time of the last heartbeat sent to the host, and
	// jitter the factor of the mean interval after which the next one is due.
	heartbeatSentAt time.Duration
	jitter          float64
	// introducedAt is the time of the last heartbeat that carried this host's
	// own entry, with its address, to the host. introductionAnswered is true if
	// a heartbeat has come back since.
	introducedAt         time.Duration
	introductionAnswered bool
	// tableHash is the hash in the host's last heartbeat.
	tableHash uint32
	// loadsSentAt is the time of the last heartbeat with loads sent to the host.
	loadsSentAt time.Duration
	// sentLoads holds the loads last sent to the host, by upstream.
	sentLoads map[string]sentLoad
	sentLists sentLists
	// suspectedUpstreams and leavingUpstreams are the last lists received from
	// the host, sorted.
	suspectedUpstreams []string
	leavingUpstreams   []string
	// published is the view that was last reported to the caller.
	published *MemberChanged
}

// compareEntries compares two entries of one host. The result is positive if a
// overrides b, negative if b overrides a, and 0 if neither does. The order is by
// incarnation, then by refutation, then by state.
func compareEntries(a, b wire.Member) int {
	switch {
	case a.Incarnation != b.Incarnation:
		return sign(a.Incarnation > b.Incarnation)
	case a.Refutation != b.Refutation:
		return sign(a.Refutation > b.Refutation)
	case a.State != b.State:
		return sign(a.State > b.State)
	default:
		return 0
	}
}

// sign returns 1 if greater is true, and -1 otherwise.
func sign(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

// merge takes over an entry of another host's table if it overrides the one in
// this table. It returns the member, or nil if the entry is about this host or
// the member was not added. A suspicion can be resolved only within the
// member's own data centre, so hosts of other data centres ignore it.
func (c *Core) merge(entry wire.Member) *member {
	if entry.Host == c.self.Host {
		c.refute(entry)
		return nil
	}
	if entry.Host == "" || entry.DataCentre == "" || entry.Address == "" {
		return nil
	}
	if entry.State == wire.Suspect && entry.DataCentre != c.self.DataCentre {
		entry.State = wire.Alive
	}
	m := c.members[entry.Host]
	if m == nil {
		return c.addMember(entry)
	}
	if compareEntries(entry, m.Member) <= 0 {
		return m
	}
	if entry.Incarnation > m.Incarnation {
		c.emit(IncarnationReplaced{Host: entry.Host, OldIncarnation: m.Incarnation, OldState: m.State})
		m.reset(c.now)
	}
	m.Member = entry
	m.changedAt = c.now
	m.probedAt = 0
	c.dataCentreState(entry.DataCentre)
	c.recordChange(entry)
	return m
}

// addMember adds an entry for a host that was unknown. It returns nil without
// adding one if the host is already dead or the table is full.
func (c *Core) addMember(entry wire.Member) *member {
	if entry.State == wire.Dead || len(c.memberNames) >= maxMembers {
		return nil
	}
	m := &member{Member: entry, changedAt: c.now}
	m.reset(c.now)
	m.heartbeatSentAt = c.now
	m.jitter = c.rng.Float64()
	c.members[entry.Host] = m
	c.memberNames = insertName(c.memberNames, entry.Host)
	c.dataCentreState(entry.DataCentre)
	c.recordChange(entry)
	return m
}

// reset deletes the state of the exchange with the host's earlier process.
func (m *member) reset(now time.Duration) {
	m.lastReceivedAt = now
	m.introductionAnswered = false
	m.introducedAt = 0
	m.sentLoads, m.loadsSentAt, m.tableHash = nil, 0, 0
	m.suspectedUpstreams, m.leavingUpstreams, m.sentLists = nil, nil, sentLists{}
}

// recordChange marks what was derived from the table as outdated and gossips
// the changed entry. While the entries of a SyncReply are merged it only
// collects the entry, and receiveSyncReply decides whether to gossip it.
func (c *Core) recordChange(entry wire.Member) {
	c.topologyStale = true
	c.publishPending = true
	delete(c.summaryCache, entry.DataCentre)
	if c.mergingSection {
		c.sectionChanges = append(c.sectionChanges, entry)
		return
	}
	c.gossip(entry)
}

// refute handles an entry about this host in another host's table. If the entry
// has a later incarnation and another address, this host is superseded. If it
// has a later incarnation and this address, this host raises its own
// incarnation above it. If it has the same incarnation and is wrong, this host
// raises its refutation counter.
func (c *Core) refute(entry wire.Member) {
	switch {
	case entry.Incarnation > c.self.Incarnation && entry.Address != c.self.Address:
		c.emit(Superseded{Address: entry.Address, Incarnation: entry.Incarnation})
		c.stopped = true
	case entry.Incarnation > c.self.Incarnation:
		c.self.Incarnation = entry.Incarnation + 1
		c.self.Refutation = 0
		c.emit(IncarnationRaised{Incarnation: c.self.Incarnation})
		c.gossipSelf()
	case compareEntries(entry, c.self) > 0 && entry.Incarnation == c.self.Incarnation && c.canRefute():
		c.self.Refutation = entry.Refutation + 1
		c.gossipSelf()
	}
}

// canRefute reports whether this host may still refute its death, which it may
// not after it has announced that it stops.
func (c *Core) canRefute() bool {
	return c.self.State != wire.Dead
}

// gossipSelf gossips this host's own changed entry and sends it to the hosts
// that watch this one at once.
func (c *Core) gossipSelf() {
	c.topologyStale = true
	delete(c.summaryCache, c.self.DataCentre)
	c.gossip(c.self)
	for _, m := range c.peers() {
		if c.topology.watchers[m.Host] {
			c.sendHeartbeat(m, false)
		}
	}
}

// visibleState returns the state of a member as the caller sees it: Suspect
// for a live member of an unreachable data centre, the state of its entry
// otherwise.
func (c *Core) visibleState(m *member) wire.State {
	s := c.dataCentres[m.DataCentre]
	if m.State == wire.Alive && s != nil && !s.reachable {
		return wire.Suspect
	}
	return m.State
}

// publishChanges emits MemberChanged for every member whose view differs from
// the one published last.
func (c *Core) publishChanges() {
	c.updateReachability()
	if !c.publishPending {
		return
	}
	c.publishPending = false
	for _, name := range c.memberNames {
		m := c.members[name]
		view := MemberChanged{
			Host:        m.Host,
			DataCentre:  m.DataCentre,
			Address:     m.Address,
			State:       c.visibleState(m),
			Incarnation: m.Incarnation,
		}
		if m.published == nil || *m.published != view {
			m.published = &view
			c.emit(view)
		}
	}
}

// forgetMembers deletes the members that have been dead, or both unreachable
// and missing from the platform's list, for longer than ForgetAfter.
func (c *Core) forgetMembers() {
	if c.now < c.nextForgetAt {
		return
	}
	c.nextForgetAt = c.now + forgetInterval
	kept := c.memberNames[:0]
	for _, name := range c.memberNames {
		m := c.members[name]
		if !c.canForget(m) {
			kept = append(kept, name)
			continue
		}
		if c.visibleState(m) != wire.Dead {
			c.emit(MemberChanged{Host: m.Host, DataCentre: m.DataCentre, Address: m.Address, State: wire.Dead, Incarnation: m.Incarnation})
		}
		delete(c.members, name)
		delete(c.summaryCache, m.DataCentre)
		c.topologyStale = true
	}
	c.memberNames = kept
}

// canForget reports whether the member can be deleted from the table.
func (c *Core) canForget(m *member) bool {
	if m.State == wire.Dead {
		return c.now-m.changedAt > c.cfg.ForgetAfter
	}
	s := c.dataCentres[m.DataCentre]
	if s == nil || s.reachable || len(c.listedHosts) == 0 {
		return false
	}
	_, listed := c.listedHosts[m.Host]
	return !listed && c.now-s.lastContactAt > c.cfg.ForgetAfter
}

// insertName inserts a name into a sorted list, unless the list contains it.
func insertName(sorted []string, name string) []string {
	i := sort.SearchStrings(sorted, name)
	if i < len(sorted) && sorted[i] == name {
		return sorted
	}
	sorted = append(sorted, "")
	copy(sorted[i+1:], sorted[i:])
	sorted[i] = name
	return sorted
}
