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
	// removalMemory is how long the removal of a server is remembered. It exceeds
	// the age of a copy from which the store is restored, which is some seconds.
	removalMemory = time.Minute
	// doubtTime is how long a server that was removed, and that a restored store
	// lists again, must stay listed until it counts as alive. The entry of one that
	// is gone lapses before, after three missed heartbeats.
	doubtTime = 10 * time.Second
)

// registration is what a server last wrote about itself, with the era of the
// store in which it was read.
type registration struct {
	balance.Upstream
	// sequence counts what the server has written in this incarnation; 0 if it is
	// not known.
	sequence uint64
	era      uint64
}

// outdatedBy reports whether a registration that was read from a restored store
// is no newer than one of the same run that was known before the restoration.
func (r registration) outdatedBy(known registration) bool {
	return known.era < r.era && known.Incarnation == r.Incarnation && r.sequence > 0 && r.sequence <= known.sequence
}

// repeats reports whether a registration is the known one, read again.
func (r registration) repeats(known registration) bool {
	return r.sequence > 0 && r.sequence == known.sequence && r.Incarnation == known.Incarnation
}

// removal is the last registration of a server that was removed, and when that
// was.
type removal struct {
	registration
	removedAt time.Duration
}

// doubt is a registration that counts from the time until on, unless it is removed
// before.
type doubt struct {
	registration
	until time.Duration
}

// serverRegistry holds the registrations of the servers as last read from the
// store. It keeps servers for a while whose registrations are missing after an
// outage.
type serverRegistry struct {
	entries map[string]registration
	// removed holds the servers that were removed lately, by id.
	removed map[string]removal
	// doubtful holds registrations that a restored store lists again although the
	// servers had been removed, by id.
	doubtful map[string]doubt
	// era is the newest era of the store in which a registration was read.
	era uint64
	// keptUntil holds, by server id, until when entries that are no longer
	// registered are kept.
	keptUntil map[string]time.Duration
	// lapseExpectedUntil is the time until which a removal counts as a lapsed
	// registration, and not as a server that left.
	lapseExpectedUntil time.Duration
}

// newServerRegistry returns an empty registry.
func newServerRegistry() *serverRegistry {
	return &serverRegistry{
		entries: make(map[string]registration), removed: make(map[string]removal),
		doubtful: make(map[string]doubt), keptUntil: make(map[string]time.Duration),
	}
}

// recordOutageEnd records that the store answers again after an outage.
func (r *serverRegistry) recordOutageEnd(now time.Duration) {
	r.lapseExpectedUntil = now + lapseGrace
}

// replace applies a complete list of registrations.
func (r *serverRegistry) replace(list []registration, now time.Duration) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		r.put(u, now)
	}
	var removed []string
	for id := range r.entries {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	for id := range r.doubtful {
		if !present[id] {
			delete(r.doubtful, id)
		}
	}
	r.remove(removed, now)
}

// put adds or replaces one server. What a store that was restored from an older
// copy has forgotten stays known: that a server is draining, and that a server was
// removed. Servers that the copy lacks count as lapsed, since they will register
// again.
func (r *serverRegistry) put(u registration, now time.Duration) {
	if u.era > r.era && len(r.entries) > 0 {
		r.recordOutageEnd(now)
	}
	r.era = max(r.era, u.era)
	if u.outdatedBy(r.removed[u.ID].registration) {
		if _, known := r.doubtful[u.ID]; !known {
			r.doubtful[u.ID] = doubt{registration: u, until: now + doubtTime}
		}
		return
	}
	delete(r.doubtful, u.ID)
	known := r.entries[u.ID]
	if u.outdatedBy(known) {
		u = known
	}
	if u.repeats(known) {
		// The time for which a server is cold counts from the first reading.
		u.ColdUntil = known.ColdUntil
	}
	r.entries[u.ID] = u
	delete(r.removed, u.ID)
	delete(r.keptUntil, u.ID)
}

// remove removes servers that are no longer registered. It removes a server at
// once unless the registration may merely have lapsed; such a server is kept
// for a while.
func (r *serverRegistry) remove(ids []string, now time.Duration) {
	massRemoval := len(ids) >= minMassRemovalCount && float64(len(ids)) >= massRemovalShare*float64(len(r.entries))
	for _, id := range ids {
		delete(r.doubtful, id)
		u, known := r.entries[id]
		_, kept := r.keptUntil[id]
		switch {
		case !known || kept:
		case u.Draining:
			r.drop(id, now)
		case now < r.lapseExpectedUntil:
			r.keptUntil[id] = r.lapseExpectedUntil
		case massRemoval:
			r.keptUntil[id] = now + lapseGrace
		default:
			r.drop(id, now)
		}
	}
}

// drop removes one server and remembers its removal, which belongs to the newest
// era.
func (r *serverRegistry) drop(id string, now time.Duration) {
	last := r.entries[id]
	last.era = r.era
	r.removed[id] = removal{registration: last, removedAt: now}
	delete(r.entries, id)
	delete(r.keptUntil, id)
}

// removeExpired removes the servers that did not register again in time, admits
// those that a restored store has listed for long enough, and reports whether there
// were any.
func (r *serverRegistry) removeExpired(now time.Duration) bool {
	changed := false
	for id, until := range r.keptUntil {
		if now >= until {
			r.drop(id, now)
			changed = true
		}
	}
	for id, d := range r.doubtful {
		if now >= d.until {
			delete(r.doubtful, id)
			delete(r.removed, id)
			r.entries[id] = d.registration
			changed = true
		}
	}
	for id, removed := range r.removed {
		if now-removed.removedAt >= removalMemory {
			delete(r.removed, id)
		}
	}
	return changed
}

// list returns the servers sorted by id.
func (r *serverRegistry) list() []balance.Upstream {
	all := make([]balance.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		all = append(all, u.Upstream)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
