package gateway

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/balance"
)

const (
	// lapseGrace is how long a server whose registration is missing after an
	// outage of the store is still kept: live servers register again within
	// about two seconds of the store's return.
	lapseGrace = 2200 * time.Millisecond
	// minLapsingOutage is the shortest outage of the store in which
	// registrations lapse. A registration lapses after three missed heartbeats,
	// which are a second or more apart. The value exceeds the time between two
	// answers of the store in normal operation.
	minLapsingOutage = 3 * time.Second
	// massRemovalShare is the share of the servers whose removal at one time
	// suggests that their registrations lapsed, and not that the servers left.
	massRemovalShare = 0.3
	// minMassRemovalCount is the smallest number of servers whose removal
	// counts as a mass removal.
	minMassRemovalCount = 3
)

// serverRegistry holds the registrations of the servers as last read from the
// store. It keeps servers for a while whose registrations are missing after an
// outage.
type serverRegistry struct {
	entries map[string]balance.Upstream
	// keptUntil holds, by server id, until when entries that are no longer
	// registered are kept.
	keptUntil map[string]time.Duration
	// lapseExpectedUntil is the time until which a removal counts as a lapsed
	// registration, and not as a server that left.
	lapseExpectedUntil time.Duration
}

// newServerRegistry returns an empty registry.
func newServerRegistry() *serverRegistry {
	return &serverRegistry{entries: make(map[string]balance.Upstream), keptUntil: make(map[string]time.Duration)}
}

// recordOutageEnd records that the store answers again after an outage.
func (r *serverRegistry) recordOutageEnd(now time.Duration) {
	r.lapseExpectedUntil = now + lapseGrace
}

// replace applies a complete list of registrations.
func (r *serverRegistry) replace(list []balance.Upstream, now time.Duration) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		r.put(u)
	}
	var removed []string
	for id := range r.entries {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	r.remove(removed, now)
}

// put adds or replaces one server.
func (r *serverRegistry) put(u balance.Upstream) {
	r.entries[u.ID] = u
	delete(r.keptUntil, u.ID)
}

// remove removes servers that are no longer registered. It removes a server at
// once unless the registration may merely have lapsed; such a server is kept
// for a while.
func (r *serverRegistry) remove(ids []string, now time.Duration) {
	massRemoval := len(ids) >= minMassRemovalCount && float64(len(ids)) >= massRemovalShare*float64(len(r.entries))
	for _, id := range ids {
		u, known := r.entries[id]
		_, kept := r.keptUntil[id]
		switch {
		case !known || kept:
		case u.Draining:
			delete(r.entries, id)
		case now < r.lapseExpectedUntil:
			r.keptUntil[id] = r.lapseExpectedUntil
		case massRemoval:
			r.keptUntil[id] = now + lapseGrace
		default:
			delete(r.entries, id)
		}
	}
}

// removeExpired removes the servers that did not register again in time, and
// reports whether there were any.
func (r *serverRegistry) removeExpired(now time.Duration) bool {
	changed := false
	for id, until := range r.keptUntil {
		if now >= until {
			delete(r.keptUntil, id)
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// list returns the servers sorted by id.
func (r *serverRegistry) list() []balance.Upstream {
	all := make([]balance.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		all = append(all, u)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
