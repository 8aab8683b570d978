package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// syncMembers bounds the entries of one reply, so that it fits a frame whatever
// the length of the names.
const syncMembers = 100

// tableHash covers the members that are not dead, this host among them.
// Suspicion and refutation are left out, since they pass.
func (c *Core) tableHash() uint32 {
	hash := c.section(c.self.DataCentre)
	for _, name := range c.siteList {
		hash ^= c.section(name)
	}
	return hash
}

// section returns the hash of one data centre's members.
func (c *Core) section(site string) uint32 {
	if hash, ok := c.sections[site]; ok {
		return hash
	}
	var hash uint32
	if site == c.self.DataCentre {
		hash = memberHash(c.self)
	}
	for _, name := range c.names {
		if m := c.members[name]; m.DataCentre == site {
			hash ^= memberHash(m.Member)
		}
	}
	c.sections[site] = hash
	return hash
}

func memberHash(m wire.Member) uint32 {
	if m.State == wire.Dead {
		return 0
	}
	key := append([]byte(m.Host), 0)
	key = binary.BigEndian.AppendUint64(key, m.Incarnation)
	if m.State == wire.Leaving {
		key = append(key, byte(wire.Leaving))
	}
	return uint32(xxhash.Sum64(key))
}

func (c *Core) sectionHashes() []wire.Section {
	list := []wire.Section{{DataCentre: c.self.DataCentre, Hash: c.section(c.self.DataCentre)}}
	for _, name := range c.siteList {
		list = append(list, wire.Section{DataCentre: name, Hash: c.section(name)})
	}
	return list
}

// comparison times the requests for tables that differ.
type comparison struct {
	// nextAt is when the next request may be sent; 0 means that none was.
	nextAt time.Duration
}

// hashFor is the table hash to tell a host: the whole table within the data
// centre, and to others the section that this data centre answers for.
func (c *Core) hashFor(dataCentre string) uint32 {
	if dataCentre == c.self.DataCentre {
		return c.tableHash()
	}
	return c.section(c.self.DataCentre)
}

// compareTables asks a member for what differs.
func (c *Core) compareTables(m *member, hash uint32) {
	s := c.site(m.DataCentre)
	if s == nil {
		if c.wants(&c.tables, hash == c.tableHash()) {
			c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: c.sectionHashes()})
		}
		return
	}
	ours := c.section(s.name)
	if c.wants(&s.tables, hash == ours) {
		c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: []wire.Section{{DataCentre: s.name, Hash: ours}}})
	}
}

// wants tells whether to ask now. A difference is first given time to pass, as
// news may be under way; the first one ever is asked for at once.
func (c *Core) wants(t *comparison, equal bool) bool {
	if equal {
		return false
	}
	interval := scaled(c.cfg.SyncInterval, c.jitter())
	settled := t.nextAt > 0 && c.now-t.nextAt > c.cfg.SyncInterval
	if settled {
		t.nextAt = c.now + interval/2
	}
	if c.now < t.nextAt {
		return false
	}
	t.nextAt = c.now + interval
	return true
}

// answerSync sends every section that differs or that the asker lacks, and to
// another data centre only the section that it asks for.
func (c *Core) answerSync(from string, r wire.SyncRequest) {
	if c.cfg.BytesPerSecond > 0 && c.credit < -float64(c.cfg.BurstBytes) {
		return
	}
	theirs := make(map[string]uint32, len(r.Sections))
	for _, s := range r.Sections {
		theirs[s.DataCentre] = s.Hash
	}
	asker := c.members[r.Host]
	remote := asker != nil && asker.DataCentre != c.self.DataCentre
	for _, ours := range c.sectionHashes() {
		hash, known := theirs[ours.DataCentre]
		if (known && hash == ours.Hash) || (remote && !known) {
			continue
		}
		c.sendSection(from, ours.DataCentre)
	}
}

func (c *Core) sendSection(to, site string) {
	list := c.entries(site)
	for len(list) > 0 {
		n := min(len(list), syncMembers)
		c.send(to, wire.SyncReply{Host: c.self.Host, Members: list[:n:n]})
		list = list[n:]
	}
}

func (c *Core) entries(site string) []wire.Member {
	var list []wire.Member
	if site == c.self.DataCentre {
		list = append(list, c.self)
	}
	for _, name := range c.names {
		if m := c.members[name]; m.DataCentre == site {
			list = append(list, m.Member)
		}
	}
	return list
}
