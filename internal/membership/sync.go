package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// syncMembers bounds the entries of one reply, so that it fits a frame
	// whatever the length of the names.
	syncMembers = 100
	// syncSections bounds the sections offered for one request.
	syncSections = 8
	// lighterOneIn is how rarely a section is offered that seems to know less.
	lighterOneIn = 4
)

// tableHash covers the members that are not dead, this host among them.
// Suspicion and refutation are left out, since they pass.
func (c *Core) tableHash() uint32 {
	hash := c.section(c.self.DataCentre).Hash
	for _, name := range c.siteList {
		hash ^= c.section(name).Hash
	}
	return hash
}

// section sums up one data centre's members.
func (c *Core) section(site string) wire.SectionSummary {
	if s, ok := c.sections[site]; ok {
		return s
	}
	s := wire.SectionSummary{DataCentre: site}
	for _, m := range c.entries(site) {
		s.Hash ^= memberHash(m)
		s.VersionSum += memberWeight(m)
	}
	c.sections[site] = s
	return s
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

// memberWeight grows whenever a later account overrides an earlier one, so
// that of two sections the one that knows more is the heavier.
func memberWeight(m wire.Member) uint64 {
	const stateBits, refutationBits = 2, 6
	refutation := min(uint64(m.Refutation), 1<<refutationBits-1)
	return m.Incarnation<<(refutationBits+stateBits) + refutation<<stateBits + uint64(m.State)
}

func (c *Core) sectionList() []wire.SectionSummary {
	list := []wire.SectionSummary{c.section(c.self.DataCentre)}
	for _, name := range c.siteList {
		list = append(list, c.section(name))
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
	return c.section(c.self.DataCentre).Hash
}

// compareTables asks a member for what differs.
func (c *Core) compareTables(m *member, hash uint32) {
	s := c.site(m.DataCentre)
	if s == nil {
		if c.wants(&c.tables, hash == c.tableHash()) {
			c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: c.sectionList()})
		}
		return
	}
	ours := c.section(s.name)
	if c.wants(&s.tables, hash == ours.Hash) {
		c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: []wire.SectionSummary{ours}})
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

// answerSync offers a few sections of which this host knows more than the
// asker. Weights cannot tell which of two sections knows more when each knows
// something that the other lacks, so now and then a lighter one goes as well.
func (c *Core) answerSync(from string, r wire.SyncRequest) {
	if !c.tableTraffic.affords(0) {
		return
	}
	theirs := make(map[string]wire.SectionSummary, len(r.Sections))
	for _, s := range r.Sections {
		theirs[s.DataCentre] = s
	}
	remote := c.isRemote(r.Host)
	var differ []string
	for _, ours := range c.sectionList() {
		other, known := theirs[ours.DataCentre]
		if ours.Hash == other.Hash || (remote && !known) {
			continue
		}
		if remote || ours.VersionSum > other.VersionSum || c.rng.IntN(lighterOneIn) == 0 {
			differ = append(differ, ours.DataCentre)
		}
	}
	for n := 0; n < syncSections && len(differ) > 0; n++ {
		i := c.rng.IntN(len(differ))
		c.offer(from, differ[i])
		differ = append(differ[:i], differ[i+1:]...)
	}
	if other, known := theirs[c.self.DataCentre]; remote && known {
		c.askBack(from, r.Host, other)
	}
}

// askBack asks another data centre what it believes of this one, as it may
// know members that are gone with everybody who could tell of their end. A
// host that has just started does not, since it may merely know less.
func (c *Core) askBack(to, host string, theirs wire.SectionSummary) {
	if c.now < c.cfg.UnreachableAfter {
		return
	}
	ours := c.section(c.self.DataCentre)
	s := c.site(c.members[host].DataCentre)
	if c.wants(&s.back, theirs.Hash == ours.Hash) {
		c.send(to, wire.SyncRequest{Host: c.self.Host, Sections: []wire.SectionSummary{ours}})
	}
}

func (c *Core) isRemote(host string) bool {
	m := c.members[host]
	return m != nil && m.DataCentre != c.self.DataCentre
}

// offer tells the hashes of a section's entries.
func (c *Core) offer(to, site string) {
	var hashes []uint32
	for _, m := range c.entries(site) {
		hashes = append(hashes, entryHash(m))
	}
	for len(hashes) > 0 {
		n := min(len(hashes), wire.MaxMembers)
		c.send(to, wire.SyncOffer{Host: c.self.Host, DataCentre: site, EntryHashes: hashes[:n:n]})
		hashes = hashes[n:]
	}
}

// entryHash covers all of an account but suspicion.
func entryHash(m wire.Member) uint32 {
	if m.State == wire.Suspect {
		m.State = wire.Alive
	}
	key := append([]byte(m.Host), 0)
	key = append(append(key, m.Address...), byte(m.State))
	key = binary.BigEndian.AppendUint64(key, m.Incarnation)
	key = binary.BigEndian.AppendUint32(key, m.Refutation)
	return uint32(xxhash.Sum64(key))
}

// receiveOffer asks for the offered entries that differ from this host's.
func (c *Core) receiveOffer(from string, o wire.SyncOffer) {
	known := make(map[uint32]bool)
	for _, m := range c.entries(o.DataCentre) {
		known[entryHash(m)] = true
	}
	var lacking []uint32
	for _, hash := range o.EntryHashes {
		if !known[hash] {
			lacking = append(lacking, hash)
		}
	}
	if len(lacking) > 0 {
		c.send(from, wire.SyncFetch{Host: c.self.Host, DataCentre: o.DataCentre, EntryHashes: lacking})
	}
}

// answerWant sends the entries wanted.
func (c *Core) answerWant(from string, w wire.SyncFetch) {
	if !c.tableTraffic.affords(-c.tableTraffic.burst) {
		return
	}
	wanted := make(map[uint32]bool, len(w.EntryHashes))
	for _, hash := range w.EntryHashes {
		wanted[hash] = true
	}
	var list []wire.Member
	for _, m := range c.entries(w.DataCentre) {
		if wanted[entryHash(m)] {
			list = append(list, m)
		}
	}
	for len(list) > 0 {
		n := min(len(list), syncMembers)
		c.send(from, wire.SyncReply{Host: c.self.Host, Members: list[:n:n]})
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
