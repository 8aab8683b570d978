package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// forgetInterval is how often members are looked through for old ones.
	forgetInterval = time.Second
	// maxMembers bounds the members known, dead ones included.
	maxMembers = 4096
)

// member is what this host knows of another one.
type member struct {
	wire.Member
	// changedAt is when the state was learned.
	changedAt time.Duration
	// heardAt is when a message came from the host itself, or from when its
	// silence counts.
	heardAt time.Duration
	// probedAt is when an unanswered probe was sent; 0 means none.
	probedAt time.Duration
	// sentAt is when the last heartbeat was sent to the host, and jitter the
	// share of the mean interval until the next.
	sentAt time.Duration
	jitter float64
	// introducedAt is when the host was told this host's address; met says
	// that it has answered since.
	introducedAt time.Duration
	met          bool
	// tableHash is of its last heartbeat.
	tableHash uint32
	// loadsAt is when the last heartbeat with loads was sent to the host.
	loadsAt time.Duration
	// sent holds the loads last told to the host.
	sent    map[string]toldLoad
	listing listing
	// suspected and leaving are the upstreams of its last lists, sorted.
	suspected []string
	leaving   []string
	// shown is what the caller was told last.
	shown *MemberChanged
}

// compare orders two accounts of one host by which overrides the other.
func compare(a, b wire.Member) int {
	switch {
	case a.Incarnation != b.Incarnation:
		return order(a.Incarnation > b.Incarnation)
	case a.Refutation != b.Refutation:
		return order(a.Refutation > b.Refutation)
	case a.State != b.State:
		return order(a.State > b.State)
	default:
		return 0
	}
}

func order(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

// merge takes another host's account of a member and returns the member, or
// nil if it is this host or unknown. A suspicion is for the member's own data
// centre to settle, so others leave it aside.
func (c *Core) merge(u wire.Member) *member {
	if u.Host == c.self.Host {
		c.deny(u)
		return nil
	}
	if u.Host == "" || u.DataCentre == "" || u.Address == "" {
		return nil
	}
	if u.State == wire.Suspect && u.DataCentre != c.self.DataCentre {
		u.State = wire.Alive
	}
	m := c.members[u.Host]
	if m == nil {
		return c.meet(u)
	}
	if compare(u, m.Member) <= 0 {
		return m
	}
	if u.Incarnation > m.Incarnation {
		c.emit(IncarnationReplaced{Host: u.Host, OldIncarnation: m.Incarnation, OldState: m.State})
		m.startAnew(c.now)
	}
	m.Member = u
	m.changedAt = c.now
	m.probedAt = 0
	c.site(u.DataCentre)
	c.changed(u)
	return m
}

// meet adds a host. One that is dead already is not worth knowing.
func (c *Core) meet(u wire.Member) *member {
	if u.State == wire.Dead || len(c.names) >= maxMembers {
		return nil
	}
	m := &member{Member: u, changedAt: c.now}
	m.startAnew(c.now)
	m.sentAt = c.now
	m.jitter = c.rng.Float64()
	c.members[u.Host] = m
	c.names = insertName(c.names, u.Host)
	c.site(u.DataCentre)
	c.changed(u)
	return m
}

// startAnew drops what was known of the host's earlier process.
func (m *member) startAnew(now time.Duration) {
	m.heardAt = now
	m.met = false
	m.introducedAt = 0
	m.sent, m.loadsAt, m.tableHash = nil, 0, 0
	m.suspected, m.leaving, m.listing = nil, nil, listing{}
}

// changed notes that the table is different and passes the account on.
func (c *Core) changed(u wire.Member) {
	c.stale = true
	c.unpublished = true
	delete(c.sections, u.DataCentre)
	if c.bulk {
		c.found = append(c.found, u)
		return
	}
	c.spread(u)
}

// deny answers an account of this host that is wrong.
func (c *Core) deny(u wire.Member) {
	switch {
	case u.Incarnation > c.self.Incarnation && u.Address != c.self.Address:
		c.emit(Superseded{Address: u.Address, Incarnation: u.Incarnation})
		c.stopped = true
	case u.Incarnation > c.self.Incarnation:
		c.self.Incarnation = u.Incarnation + 1
		c.self.Refutation = 0
		c.emit(IncarnationRaised{Incarnation: c.self.Incarnation})
		c.tellSelf()
	case compare(u, c.self) > 0 && u.Incarnation == c.self.Incarnation && c.refutes():
		c.self.Refutation = u.Refutation + 1
		c.tellSelf()
	}
}

// refutes tells whether this host may still deny.
func (c *Core) refutes() bool {
	return c.self.State != wire.Dead
}

// tellSelf spreads this host's own new account.
func (c *Core) tellSelf() {
	c.stale = true
	delete(c.sections, c.self.DataCentre)
	c.spread(c.self)
	for _, m := range c.peers() {
		if c.topology.watchers[m.Host] {
			c.heartbeat(m, false)
		}
	}
}

// believed is the state to show for a member.
func (c *Core) believed(m *member) wire.State {
	s := c.sites[m.DataCentre]
	if m.State == wire.Alive && s != nil && !s.reachable {
		return wire.Suspect
	}
	return m.State
}

// publish emits MemberChanged for every member whose shown account differs.
func (c *Core) publish() {
	c.updateReach()
	if !c.unpublished {
		return
	}
	c.unpublished = false
	for _, name := range c.names {
		m := c.members[name]
		now := MemberChanged{
			Host:        m.Host,
			DataCentre:  m.DataCentre,
			Address:     m.Address,
			State:       c.believed(m),
			Incarnation: m.Incarnation,
		}
		if m.shown == nil || *m.shown != now {
			m.shown = &now
			c.emit(now)
		}
	}
}

// forget drops members that have been dead, or both unreachable and unlisted,
// for long.
func (c *Core) forget() {
	if c.now < c.forgetAt {
		return
	}
	c.forgetAt = c.now + forgetInterval
	kept := c.names[:0]
	for _, name := range c.names {
		m := c.members[name]
		if !c.forgettable(m) {
			kept = append(kept, name)
			continue
		}
		if c.believed(m) != wire.Dead {
			c.emit(MemberChanged{Host: m.Host, DataCentre: m.DataCentre, Address: m.Address, State: wire.Dead, Incarnation: m.Incarnation})
		}
		delete(c.members, name)
		delete(c.sections, m.DataCentre)
		c.stale = true
	}
	c.names = kept
}

func (c *Core) forgettable(m *member) bool {
	if m.State == wire.Dead {
		return c.now-m.changedAt > c.cfg.ForgetAfter
	}
	s := c.sites[m.DataCentre]
	if s == nil || s.reachable || len(c.listed) == 0 {
		return false
	}
	_, listed := c.listed[m.Host]
	return !listed && c.now-s.contactAt > c.cfg.ForgetAfter
}

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
