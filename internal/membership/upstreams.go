package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// maxListedUpstreams is the maximum length of each list of upstreams that is
	// sent to other hosts.
	maxListedUpstreams = 32
	// listRepeats is the number of heartbeats to a host that carry a changed
	// list, as some of them may be lost.
	listRepeats = 3
	// listResendAge is the age from which unchanged lists are sent again.
	listResendAge = 30 * time.Second
)

// upstreamLists holds the lists of upstreams that are sent to other hosts. Both
// are sorted.
type upstreamLists struct {
	suspected []string
	leaving   []string
	// revision is incremented with every change of a list; 0 means that there
	// was none yet.
	revision int
}

// sentLists records which lists were sent to a member.
type sentLists struct {
	// revision is that of the lists sent last.
	revision int
	// repeatsLeft is the number of heartbeats that are still to carry them.
	repeatsLeft int
	// sentAt is the time at which they were sent last.
	sentAt time.Duration
}

// setUpstreams replaces this host's lists of upstreams. If they contain a name
// that no host has reported before, it sends them to the data centre at once.
func (c *Core) setUpstreams(e UpstreamsChanged) {
	suspected, leaving := c.limitNames(e.Suspected), c.limitNames(e.Leaving)
	before := c.upstreamLists
	if equalNames(suspected, before.suspected) && equalNames(leaving, before.leaving) {
		return
	}
	unreported := c.anyUnreported(suspected, before.suspected) || c.anyUnreported(leaving, before.leaving)
	c.upstreamLists = upstreamLists{suspected: suspected, leaving: leaving, revision: before.revision + 1}
	if unreported {
		c.broadcast()
	}
}

// limitNames returns the names in sorted order. If there are more than
// maxListedUpstreams, it prefers those that no peer has reported.
func (c *Core) limitNames(names []string) []string {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	if len(sorted) <= maxListedUpstreams {
		return sorted
	}
	reportedByPeer := make(map[string]bool, len(sorted))
	for _, name := range sorted {
		reportedByPeer[name] = c.reportedByPeer(name)
	}
	sort.SliceStable(sorted, func(i, j int) bool { return !reportedByPeer[sorted[i]] && reportedByPeer[sorted[j]] })
	sorted = sorted[:maxListedUpstreams]
	sort.Strings(sorted)
	return sorted
}

// addUpstreamLists adds the lists to a heartbeat unless the member is likely to
// have them: they were sent listRepeats times since the last change, the last
// time less than listResendAge ago.
func (c *Core) addUpstreamLists(m *member, h *wire.Heartbeat) {
	switch {
	case m.sentLists.revision != c.upstreamLists.revision:
		m.sentLists = sentLists{revision: c.upstreamLists.revision, repeatsLeft: listRepeats}
	case m.sentLists.repeatsLeft == 0 && c.now-m.sentLists.sentAt < listResendAge:
		return
	case c.upstreamLists.revision == 0:
		return
	}
	m.sentLists.repeatsLeft = max(0, m.sentLists.repeatsLeft-1)
	m.sentLists.sentAt = c.now
	h.HasUpstreamLists = true
	h.SuspectedUpstreams, h.LeavingUpstreams = c.upstreamLists.suspected, c.upstreamLists.leaving
}

// anyUnreported reports whether one of the names is new on this host and missing
// from the digests of all peers. Hence a change that all hosts observe is not
// broadcast by all of them.
func (c *Core) anyUnreported(names, before []string) bool {
	for _, name := range names {
		if !containsName(before, name) && !c.reportedByPeer(name) {
			return true
		}
	}
	return false
}

// reportedByPeer reports whether the digest of a peer lists the upstream.
func (c *Core) reportedByPeer(upstream string) bool {
	for _, m := range c.peers() {
		if containsName(m.suspectedUpstreams, upstream) || containsName(m.leavingUpstreams, upstream) {
			return true
		}
	}
	return false
}

// equalNames reports whether two lists hold the same names in the same order.
func equalNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// containsName reports whether a sorted list contains the name.
func containsName(sorted []string, name string) bool {
	i := sort.SearchStrings(sorted, name)
	return i < len(sorted) && sorted[i] == name
}
