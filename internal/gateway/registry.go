package gateway

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/balance"
)

const (
	// lapseHold is how long after the store's return a server is kept that is
	// missing from it: live ones register again within about two seconds.
	lapseHold = 2200 * time.Millisecond
	// minLapse is how long the store must have been away for registrations to
	// lapse: they do after three missed heartbeats of a second or more. It is
	// above the time between two answers in normal operation.
	minLapse = 3 * time.Second
	// massRemoval is the share of the servers whose removal at one time points
	// to registrations that lapsed, not to servers that left.
	massRemoval = 0.3
	// minMassRemoval is the least number of servers that counts as many.
	minMassRemoval = 3
)

// registry holds the servers' registrations as last read from the store. It
// bridges the time in which registrations are missing after an outage.
type registry struct {
	entries map[string]balance.Upstream
	// missing holds until when entries that are no longer registered are kept.
	missing map[string]time.Duration
	// unsettled is until when removals are not taken at their word.
	unsettled time.Duration
}

func newRegistry() *registry {
	return &registry{entries: make(map[string]balance.Upstream), missing: make(map[string]time.Duration)}
}

// outageEnded notes that the store answers again.
func (r *registry) outageEnded(now time.Duration) {
	r.unsettled = now + lapseHold
}

// replace takes over a complete list.
func (r *registry) replace(list []balance.Upstream, now time.Duration) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		r.put(u)
	}
	var gone []string
	for id := range r.entries {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	r.remove(gone, now)
}

func (r *registry) put(u balance.Upstream) {
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
}

// remove takes out servers that are no longer registered, at once unless their
// registrations may merely have lapsed.
func (r *registry) remove(ids []string, now time.Duration) {
	many := len(ids) >= minMassRemoval && float64(len(ids)) >= massRemoval*float64(len(r.entries))
	for _, id := range ids {
		u, known := r.entries[id]
		_, held := r.missing[id]
		switch {
		case !known || held:
		case u.Draining:
			delete(r.entries, id)
		case now < r.unsettled:
			r.missing[id] = r.unsettled
		case many:
			r.missing[id] = now + lapseHold
		default:
			delete(r.entries, id)
		}
	}
}

// settle removes the servers whose time to come back is over, and says whether
// there were any.
func (r *registry) settle(now time.Duration) bool {
	changed := false
	for id, until := range r.missing {
		if now >= until {
			delete(r.missing, id)
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// list returns the servers by id.
func (r *registry) list() []balance.Upstream {
	all := make([]balance.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		all = append(all, u)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
