package configuration

import (
	"cmp"
	"slices"
	"time"
)

// peer is the last known state of another host's process.
type peer struct {
	// versionReceived is true once the peer has reported its version, which is
	// 0 if it has none.
	versionReceived bool
	// version is the version that the peer last reported.
	version uint64
	// avoidUntil is the time from which on the peer may be asked again after a
	// failure.
	avoidUntil time.Duration
	// nextAnnouncementAt is the time from which on the version in force may be
	// announced again to a peer that reports an older one.
	nextAnnouncementAt time.Duration
}

// setMembers replaces the list of live hosts. The state of peers that left is
// removed. If this host is a watching host, it announces the version in force
// to the new hosts of its data centre.
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
	previous := t.members
	t.members = list
	t.watchers = t.watchersOf(self.DataCentre)
	t.watchWait = t.watchWaitFor(t.countWatchers())
	t.removeDepartedPeers()
	if !t.isWatcher() {
		return
	}
	for _, m := range list {
		if m.DataCentre == self.DataCentre && !containsHost(previous, m.Host) {
			t.announceTo(m.Host)
		}
	}
}

// containsHost reports whether the ordered list of members contains the host.
func containsHost(members []Member, host string) bool {
	_, found := slices.BinarySearchFunc(members, host, func(m Member, h string) int { return cmp.Compare(m.Host, h) })
	return found
}

// removeDepartedPeers removes the state of peers that are no longer members.
func (t *Tracker) removeDepartedPeers() {
	for host := range t.peers {
		if !containsHost(t.members, host) {
			delete(t.peers, host)
		}
	}
	t.updateHighestPeerVersion()
}

// updateHighestPeerVersion recomputes highestPeerVersion from the versions of
// all peers.
func (t *Tracker) updateHighestPeerVersion() {
	t.highestPeerVersion = 0
	for _, p := range t.peers {
		t.highestPeerVersion = max(t.highestPeerVersion, p.version)
	}
}

// peerFor returns the state of a peer and creates it if needed. It also creates
// one for a host that is not on the list of members yet; the next list removes
// it again unless the host is on that list.
func (t *Tracker) peerFor(host string) *peer {
	p := t.peers[host]
	if p == nil {
		p = &peer{}
		t.peers[host] = p
	}
	return p
}

// recordPeerVersion stores the version that a peer reports. It may be lower
// than the peer's last version, because the peer's process may have been
// restarted. An outdated peer gets an announcement of the version in force, at
// most once per RepairEvery.
func (t *Tracker) recordPeerVersion(host string, version, digest uint64) {
	if host == t.config.Host {
		return
	}
	p := t.peerFor(host)
	previousVersion := p.version
	p.versionReceived = true
	p.version = version
	if version >= t.highestPeerVersion {
		t.highestPeerVersion = version
	} else if previousVersion == t.highestPeerVersion {
		t.updateHighestPeerVersion()
	}
	if version == t.inForce.Version && version > 0 && digest != 0 && digest != t.inForce.Digest {
		t.reportVersionConflict(version, host)
	}
	if version < t.inForce.Version && t.now >= p.nextAnnouncementAt {
		p.nextAnnouncementAt = t.now + t.config.RepairEvery
		t.announceTo(host)
	}
}

// reportVersionConflict reports that two different manifests claim the same
// version, once for each version.
func (t *Tracker) reportVersionConflict(version uint64, host string) {
	if t.reportedConflictVersion == version {
		return
	}
	t.reportedConflictVersion = version
	t.emit(Report{Kind: ReportVersionConflict, Version: version, Host: host})
}

// watchersOf returns the hosts of a data centre that watch the object API: the
// first Watchers members in the order of their names.
func (t *Tracker) watchersOf(dataCentre string) []string {
	var hosts []string
	for _, m := range t.members {
		if m.DataCentre == dataCentre && len(hosts) < t.config.Watchers {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// countWatchers returns the number of hosts of the whole fleet that watch.
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

// watchWaitFor returns how long each watch waits when the given number of hosts
// watch.
func (t *Tracker) watchWaitFor(watchers int) time.Duration {
	wait := time.Duration(watchers) * t.config.WatchSpacing
	return min(max(wait, t.config.WatchMin), t.config.WatchMax)
}

// isWatcher reports whether this host watches the object API.
func (t *Tracker) isWatcher() bool {
	return slices.Contains(t.watchers, t.config.Host)
}

// announceTo sends an announcement of the version in force to a host, unless
// there is none or the host is this one.
func (t *Tracker) announceTo(host string) {
	if host == t.config.Host || t.inForce.Version == 0 {
		return
	}
	a := Announcement{Version: t.inForce.Version, Digest: t.inForce.Digest}
	t.emit(Announce{Host: host, Announcement: a})
}

// announceInForce announces a version that was just put in force. A watching
// host announces it to its data centre, and the first watching host also to the
// watching hosts of the other data centres, which may be cut off from the
// object API. Any other host announces it to the watching hosts of its data
// centre that may not have it yet.
func (t *Tracker) announceInForce() {
	if !t.isWatcher() {
		for _, host := range t.watchers {
			t.announceToOutdated(host)
		}
		return
	}
	for _, m := range t.members {
		if m.DataCentre == t.config.DataCentre {
			t.announceToOutdated(m.Host)
		}
	}
	if t.watchers[0] == t.config.Host {
		t.announceToOtherDataCentres()
	}
}

// announceToOtherDataCentres announces the version in force to the watching
// hosts of each other data centre.
func (t *Tracker) announceToOtherDataCentres() {
	announcements := make(map[string]int)
	for _, m := range t.members {
		if m.DataCentre == t.config.DataCentre || announcements[m.DataCentre] == t.config.Watchers {
			continue
		}
		announcements[m.DataCentre]++
		t.announceToOutdated(m.Host)
	}
}

// announceToOutdated announces the version in force to a host unless the host
// is known to have it.
func (t *Tracker) announceToOutdated(host string) {
	if t.lastKnownVersion(host) < t.inForce.Version {
		t.announceTo(host)
	}
}

// lastKnownVersion returns the version that a peer last reported, or 0 if it
// has not reported one.
func (t *Tracker) lastKnownVersion(host string) uint64 {
	if p := t.peers[host]; p != nil {
		return p.version
	}
	return 0
}

// pickPeer chooses a random peer that has at least the given version and has
// not failed recently. It prefers peers of this data centre. The result is
// false if there is no such peer.
func (t *Tracker) pickPeer(version uint64) (string, bool) {
	var preferred, others []string
	for _, m := range t.members {
		p := t.peers[m.Host]
		if p == nil || p.version < version || t.now < p.avoidUntil {
			continue
		}
		if m.DataCentre == t.config.DataCentre {
			preferred = append(preferred, m.Host)
		} else {
			others = append(others, m.Host)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return "", false
	}
	return preferred[t.random.IntN(len(preferred))], true
}

// avoidPeer excludes a peer that failed from further requests for PeerTimeout.
func (t *Tracker) avoidPeer(host string) {
	t.peerFor(host).avoidUntil = t.now + t.config.PeerTimeout
}
