package configuration

import (
	"cmp"
	"slices"
	"time"
)

// peer is what is known of another process.
type peer struct {
	heard   bool
	version uint64
	// avoidUntil is when the peer is asked again after a failure.
	avoidUntil time.Duration
	// repairAt is when the peer may be told again that it is behind.
	repairAt time.Duration
}

// setMembers takes the list of live hosts. Peers that left are forgotten; a
// watching host tells new ones of its data centre what is in force.
func (t *Tracker) setMembers(members []Member) {
	self := Member{Host: t.config.Host, DataCentre: t.config.DataCentre}
	list := []Member{self}
	for _, m := range members {
		if m.Host != self.Host {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	list = slices.CompactFunc(list, func(a, b Member) bool { return a.Host == b.Host })
	before := t.members
	t.members = list
	t.watchers = t.watchersOf(self.DataCentre)
	t.watchWait = t.waitFor(t.countWatchers())
	t.forgetPeers()
	if !t.isWatcher() {
		return
	}
	for _, m := range list {
		if m.DataCentre == self.DataCentre && !contains(before, m.Host) {
			t.announceTo(m.Host)
		}
	}
}

func contains(members []Member, host string) bool {
	_, found := slices.BinarySearchFunc(members, host, func(m Member, h string) int { return cmp.Compare(m.Host, h) })
	return found
}

func (t *Tracker) forgetPeers() {
	for host := range t.peers {
		if !contains(t.members, host) {
			delete(t.peers, host)
		}
	}
	t.findHighest()
}

func (t *Tracker) findHighest() {
	t.highest = 0
	for _, p := range t.peers {
		t.highest = max(t.highest, p.version)
	}
}

// peer returns the entry of a host. A host that membership does not list yet
// gets one too; the next list forgets it unless it is on it.
func (t *Tracker) peer(host string) *peer {
	p := t.peers[host]
	if p == nil {
		p = &peer{}
		t.peers[host] = p
	}
	return p
}

// hear notes a peer's version. A peer's entry may fall: its process may be new.
func (t *Tracker) hear(host string, version, digest uint64) {
	if host == t.config.Host {
		return
	}
	p := t.peer(host)
	before := p.version
	p.heard = true
	p.version = version
	if version >= t.highest {
		t.highest = version
	} else if before == t.highest {
		t.findHighest()
	}
	if version == t.holding.Version && version > 0 && digest != 0 && digest != t.holding.Digest {
		t.dispute(version, host)
	}
	if version < t.holding.Version && t.now >= p.repairAt {
		p.repairAt = t.now + t.config.RepairEvery
		t.announceTo(host)
	}
}

// dispute reports a version that two manifests claim, once for each version.
func (t *Tracker) dispute(version uint64, host string) {
	if t.disputed == version {
		return
	}
	t.disputed = version
	t.emit(Report{Kind: ReportVersionConflict, Version: version, Host: host})
}

// watchersOf returns the hosts of a data centre that watch the object API.
func (t *Tracker) watchersOf(dataCentre string) []string {
	var hosts []string
	for _, m := range t.members {
		if m.DataCentre == dataCentre && len(hosts) < t.config.Watchers {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// countWatchers returns how many hosts of the whole fleet watch.
func (t *Tracker) countWatchers() int {
	perDataCentre := make(map[string]int)
	count := 0
	for _, m := range t.members {
		if perDataCentre[m.DataCentre] < t.config.Watchers {
			perDataCentre[m.DataCentre]++
			count++
		}
	}
	return count
}

// waitFor returns how long each watch waits when so many hosts watch.
func (t *Tracker) waitFor(watchers int) time.Duration {
	wait := time.Duration(watchers) * t.config.WatchSpacing
	return min(max(wait, t.config.WatchMin), t.config.WatchMax)
}

func (t *Tracker) isWatcher() bool {
	return slices.Contains(t.watchers, t.config.Host)
}

func (t *Tracker) announceTo(host string) {
	if host == t.config.Host || t.holding.Version == 0 {
		return
	}
	a := Announcement{Version: t.holding.Version, Digest: t.holding.Digest}
	t.emit(Announce{Host: host, Announcement: a})
}

// announce spreads a version just put in force. A watching host tells its data
// centre, and the first of them the watching hosts elsewhere, which may be cut
// off from the object API. Any other host tells the watching hosts of its data
// centre that may not have it.
func (t *Tracker) announce() {
	if !t.isWatcher() {
		for _, host := range t.watchers {
			t.announceToLate(host)
		}
		return
	}
	for _, m := range t.members {
		if m.DataCentre == t.config.DataCentre {
			t.announceToLate(m.Host)
		}
	}
	if t.watchers[0] == t.config.Host {
		t.announceElsewhere()
	}
}

func (t *Tracker) announceElsewhere() {
	told := make(map[string]int)
	for _, m := range t.members {
		if m.DataCentre == t.config.DataCentre || told[m.DataCentre] == t.config.Watchers {
			continue
		}
		told[m.DataCentre]++
		t.announceToLate(m.Host)
	}
}

// announceToLate announces to a host that is not known to have the version.
func (t *Tracker) announceToLate(host string) {
	if t.versionOf(host) < t.holding.Version {
		t.announceTo(host)
	}
}

// versionOf returns what a peer was last heard to have in force.
func (t *Tracker) versionOf(host string) uint64 {
	if p := t.peers[host]; p != nil {
		return p.version
	}
	return 0
}

// pickPeer chooses a peer with at least the version given: one of this data
// centre if there is any.
func (t *Tracker) pickPeer(version uint64) (string, bool) {
	var near, far []string
	for _, m := range t.members {
		p := t.peers[m.Host]
		if p == nil || p.version < version || t.now < p.avoidUntil {
			continue
		}
		if m.DataCentre == t.config.DataCentre {
			near = append(near, m.Host)
		} else {
			far = append(far, m.Host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[t.random.IntN(len(near))], true
}

// avoid keeps away from a peer that failed for a while.
func (t *Tracker) avoid(host string) {
	t.peer(host).avoidUntil = t.now + t.config.PeerTimeout
}
