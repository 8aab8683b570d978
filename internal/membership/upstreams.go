package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// maxUpstreams bounds each list of upstreams told to others.
	maxUpstreams = 32
	// listRepeats is how many heartbeats to a host carry a changed list, as
	// some may be lost.
	listRepeats = 3
	// listRefresh is the age from which unchanged lists are told again.
	listRefresh = 30 * time.Second
)

// upstreams are the lists told to others, sorted. The revision rises with
// every change.
type upstreams struct {
	suspected []string
	leaving   []string
	revision  int
}

// listing is what a member was told of the lists.
type listing struct {
	revision int
	repeats  int
	at       time.Duration
}

// setUpstreams takes this host's lists and tells the data centre at once of
// names that nobody has told before.
func (c *Core) setUpstreams(e UpstreamsChanged) {
	suspected, leaving := c.bounded(e.Suspected), c.bounded(e.Leaving)
	before := c.upstreams
	if equalNames(suspected, before.suspected) && equalNames(leaving, before.leaving) {
		return
	}
	untold := c.anyUntold(suspected, before.suspected) || c.anyUntold(leaving, before.leaving)
	c.upstreams = upstreams{suspected: suspected, leaving: leaving, revision: before.revision + 1}
	if untold {
		c.broadcast()
	}
}

// bounded returns the names sorted, if there are too many those first that no
// peer has told.
func (c *Core) bounded(names []string) []string {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	if len(sorted) <= maxUpstreams {
		return sorted
	}
	told := make(map[string]bool, len(sorted))
	for _, name := range sorted {
		told[name] = c.told(name)
	}
	sort.SliceStable(sorted, func(i, j int) bool { return !told[sorted[i]] && told[sorted[j]] })
	sorted = sorted[:maxUpstreams]
	sort.Strings(sorted)
	return sorted
}

// listFor adds the lists to a heartbeat if the member may not have them.
func (c *Core) listFor(m *member, h *wire.Heartbeat) {
	switch {
	case m.listing.revision != c.upstreams.revision:
		m.listing = listing{revision: c.upstreams.revision, repeats: listRepeats}
	case m.listing.repeats == 0 && c.now-m.listing.at < listRefresh:
		return
	case c.upstreams.revision == 0:
		return
	}
	m.listing.repeats = max(0, m.listing.repeats-1)
	m.listing.at = c.now
	h.HasUpstreamLists = true
	h.SuspectedUpstreams, h.LeavingUpstreams = c.upstreams.suspected, c.upstreams.leaving
}

// anyUntold tells whether a name is new here and no peer's digest has it, so
// that a sign which all hosts see is not broadcast by all of them.
func (c *Core) anyUntold(names, before []string) bool {
	for _, name := range names {
		if !containsName(before, name) && !c.told(name) {
			return true
		}
	}
	return false
}

func (c *Core) told(upstream string) bool {
	for _, m := range c.peers() {
		if containsName(m.suspected, upstream) || containsName(m.leaving, upstream) {
			return true
		}
	}
	return false
}

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

// containsName searches a sorted list.
func containsName(sorted []string, name string) bool {
	i := sort.SearchStrings(sorted, name)
	return i < len(sorted) && sorted[i] == name
}
