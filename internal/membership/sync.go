package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// maxReplyMembers is the maximum number of entries in one reply. It is small
	// enough for a reply to fit a frame even with names of maximum length.
	maxReplyMembers = 100
	// maxOfferedSections is the maximum number of sections offered in answer to
	// one request.
	maxOfferedSections = 8
	// olderSectionOneIn is the inverse of the probability with which a section
	// is offered although its version sum is not greater than the requester's.
	olderSectionOneIn = 4
)

// tableHash returns a hash of the members that are not dead, this host
// included. It leaves out suspicions and refutations, which are only temporary.
func (c *Core) tableHash() uint32 {
	hash := c.sectionSummary(c.self.DataCentre).Hash
	for _, name := range c.dataCentreNames {
		hash ^= c.sectionSummary(name).Hash
	}
	return hash
}

// sectionSummary returns the summary of the section of one data centre.
func (c *Core) sectionSummary(dataCentre string) wire.SectionSummary {
	if s, ok := c.summaryCache[dataCentre]; ok {
		return s
	}
	s := wire.SectionSummary{DataCentre: dataCentre}
	for _, m := range c.sectionEntries(dataCentre) {
		s.Hash ^= memberHash(m)
		s.VersionSum += memberVersion(m)
	}
	c.summaryCache[dataCentre] = s
	return s
}

// memberHash returns the part of the table hash that an entry contributes,
// which is 0 for a dead member.
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

// memberVersion returns the version number of an entry: the incarnation in the
// high bits, then the refutation, then the state. An entry that overrides
// another one has a higher version number, so that of two sections the one with
// the newer entries has the greater version sum.
func memberVersion(m wire.Member) uint64 {
	const stateBits, refutationBits = 2, 6
	refutation := min(uint64(m.Refutation), 1<<refutationBits-1)
	return m.Incarnation<<(refutationBits+stateBits) + refutation<<stateBits + uint64(m.State)
}

// sectionSummaries returns the summaries of all sections, that of this host's
// data centre first.
func (c *Core) sectionSummaries() []wire.SectionSummary {
	list := []wire.SectionSummary{c.sectionSummary(c.self.DataCentre)}
	for _, name := range c.dataCentreNames {
		list = append(list, c.sectionSummary(name))
	}
	return list
}

// syncTimer limits the rate of requests for tables or sections that differ.
type syncTimer struct {
	// nextAt is the earliest time of the next request; 0 means that no request
	// has been sent yet.
	nextAt time.Duration
}

// hashForDataCentre returns the table hash for heartbeats to a data centre.
// For this data centre it covers the whole table, and for others only the
// section of this data centre, whose entries this data centre decides.
func (c *Core) hashForDataCentre(dataCentre string) uint32 {
	if dataCentre == c.self.DataCentre {
		return c.tableHash()
	}
	return c.sectionSummary(c.self.DataCentre).Hash
}

// compareTables compares the table hash in a member's heartbeat with that of
// this host. If they differ and a request is due, it asks the member for the
// differences.
func (c *Core) compareTables(m *member, hash uint32) {
	s := c.dataCentreState(m.DataCentre)
	if s == nil {
		if c.syncDue(&c.tableSync, hash == c.tableHash()) {
			c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: c.sectionSummaries()})
		}
		return
	}
	ours := c.sectionSummary(s.name)
	if c.syncDue(&s.sectionSync, hash == ours.Hash) {
		c.send(m.Address, wire.SyncRequest{Host: c.self.Host, Sections: []wire.SectionSummary{ours}})
	}
}

// syncDue reports whether to send a sync request now. When a difference shows
// up after a time without one, the request waits a moment, as gossiped updates
// may remove the difference meanwhile. The very first request is sent at once.
func (c *Core) syncDue(t *syncTimer, equal bool) bool {
	if equal {
		return false
	}
	interval := scaleDuration(c.cfg.SyncInterval, c.randomJitter())
	expired := t.nextAt > 0 && c.now-t.nextAt > c.cfg.SyncInterval
	if expired {
		t.nextAt = c.now + interval/2
	}
	if c.now < t.nextAt {
		return false
	}
	t.nextAt = c.now + interval
	return true
}

// answerSyncRequest offers a few sections in which this host has newer entries
// than the requester. If each of two sections has entries that the other lacks,
// the version sums cannot show it, so occasionally a section with a smaller sum
// is offered as well. A requester of another data centre is offered only
// sections that it named, whatever their sums. If it named the section of this
// data centre, it is also asked for its view of that section.
func (c *Core) answerSyncRequest(from string, request wire.SyncRequest) {
	if !c.tableBudget.hasBudget(0) {
		return
	}
	theirs := make(map[string]wire.SectionSummary, len(request.Sections))
	for _, s := range request.Sections {
		theirs[s.DataCentre] = s
	}
	remote := c.isRemoteMember(request.Host)
	var differing []string
	for _, ours := range c.sectionSummaries() {
		other, known := theirs[ours.DataCentre]
		if ours.Hash == other.Hash || (remote && !known) {
			continue
		}
		if remote || ours.VersionSum > other.VersionSum || c.rng.IntN(olderSectionOneIn) == 0 {
			differing = append(differing, ours.DataCentre)
		}
	}
	for n := 0; n < maxOfferedSections && len(differing) > 0; n++ {
		i := c.rng.IntN(len(differing))
		c.sendOffer(from, differing[i])
		differing = append(differing[:i], differing[i+1:]...)
	}
	if other, known := theirs[c.self.DataCentre]; remote && known {
		c.requestOwnSection(from, request.Host, other)
	}
}

// requestOwnSection asks a host of another data centre for its view of this
// data centre. That view may contain members that have stopped together with
// every host that knew of their end. A host that has just started sends no such
// request, since the difference may only come from its own incomplete table.
func (c *Core) requestOwnSection(to, host string, theirs wire.SectionSummary) {
	if c.now < c.cfg.UnreachableAfter {
		return
	}
	ours := c.sectionSummary(c.self.DataCentre)
	s := c.dataCentreState(c.members[host].DataCentre)
	if c.syncDue(&s.ownSectionSync, theirs.Hash == ours.Hash) {
		c.send(to, wire.SyncRequest{Host: c.self.Host, Sections: []wire.SectionSummary{ours}})
	}
}

// isRemoteMember reports whether the host is a known member of another data
// centre.
func (c *Core) isRemoteMember(host string) bool {
	m := c.members[host]
	return m != nil && m.DataCentre != c.self.DataCentre
}

// sendOffer sends the hashes of a section's entries, in as many messages as
// needed.
func (c *Core) sendOffer(to, dataCentre string) {
	var hashes []uint32
	for _, m := range c.sectionEntries(dataCentre) {
		hashes = append(hashes, entryHash(m))
	}
	for len(hashes) > 0 {
		n := min(len(hashes), wire.MaxMembers)
		c.send(to, wire.SyncOffer{Host: c.self.Host, DataCentre: dataCentre, EntryHashes: hashes[:n:n]})
		hashes = hashes[n:]
	}
}

// entryHash returns a hash of an entry. It covers every field but the data
// centre, and treats a suspect member as alive.
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

// receiveOffer asks for the offered entries that this host's table does not
// contain.
func (c *Core) receiveOffer(from string, offer wire.SyncOffer) {
	known := make(map[uint32]bool)
	for _, m := range c.sectionEntries(offer.DataCentre) {
		known[entryHash(m)] = true
	}
	var missing []uint32
	for _, hash := range offer.EntryHashes {
		if !known[hash] {
			missing = append(missing, hash)
		}
	}
	if len(missing) > 0 {
		c.send(from, wire.SyncFetch{Host: c.self.Host, DataCentre: offer.DataCentre, EntryHashes: missing})
	}
}

// answerFetch sends the entries asked for, in as many messages as needed. The
// budget may be overdrawn by one burst for it.
func (c *Core) answerFetch(from string, fetch wire.SyncFetch) {
	if !c.tableBudget.hasBudget(-c.tableBudget.burst) {
		return
	}
	wanted := make(map[uint32]bool, len(fetch.EntryHashes))
	for _, hash := range fetch.EntryHashes {
		wanted[hash] = true
	}
	var list []wire.Member
	for _, m := range c.sectionEntries(fetch.DataCentre) {
		if wanted[entryHash(m)] {
			list = append(list, m)
		}
	}
	for len(list) > 0 {
		n := min(len(list), maxReplyMembers)
		c.send(from, wire.SyncReply{Host: c.self.Host, Members: list[:n:n]})
		list = list[n:]
	}
}

// sectionEntries returns the entries of all members of a data centre, this
// host's own entry included.
func (c *Core) sectionEntries(dataCentre string) []wire.Member {
	var entries []wire.Member
	if dataCentre == c.self.DataCentre {
		entries = append(entries, c.self)
	}
	for _, name := range c.memberNames {
		if m := c.members[name]; m.DataCentre == dataCentre {
			entries = append(entries, m.Member)
		}
	}
	return entries
}
