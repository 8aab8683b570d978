package dispatch

import "sort"

// prefixTable remembers which prompt prefixes an engine has cached. Events
// come late and with gaps; after a gap nothing is believed until new events.
type prefixTable struct {
	cached map[uint64]uint64
	// order lists prefixes by age for eviction beyond the bound.
	order []prefixEntry
	next  uint64
}

// prefixEntry is a prefix with the sequence of the event that named it.
type prefixEntry struct {
	prefix   uint64
	sequence uint64
}

func (t *prefixTable) reset(next uint64) {
	t.cached = nil
	t.order = t.order[:0]
	t.next = next
}

func (t *prefixTable) apply(change CacheChange, bound int) {
	t.next = change.Sequence + 1
	if change.Evicted {
		delete(t.cached, change.Prefix)
		return
	}
	if t.cached == nil {
		t.cached = make(map[uint64]uint64)
	}
	t.cached[change.Prefix] = change.Sequence
	t.order = append(t.order, prefixEntry{prefix: change.Prefix, sequence: change.Sequence})
	for len(t.order) > bound {
		t.dropOldest()
	}
}

func (t *prefixTable) dropOldest() {
	oldest := t.order[0]
	t.order = t.order[1:]
	if t.cached[oldest.prefix] == oldest.sequence {
		delete(t.cached, oldest.prefix)
	}
}

// longest returns how many of the leading blocks are cached. An engine caches
// a block only behind the ones before it, so the blocks are searched by halves.
func (t *prefixTable) longest(prefixes []uint64) int {
	if len(t.cached) == 0 || len(prefixes) == 0 || !t.has(prefixes[0]) {
		return 0
	}
	return 1 + sort.Search(len(prefixes)-1, func(i int) bool { return !t.has(prefixes[i+1]) })
}

func (t *prefixTable) has(prefix uint64) bool {
	_, ok := t.cached[prefix]
	return ok
}

// cacheReported applies cache events; a gap voids what was known and asks
// for the rest again from the newest sequence.
func (c *Core) cacheReported(e CacheReported) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	for _, change := range e.Changes {
		if change.Sequence < u.prefixes.next {
			continue
		}
		if change.Sequence > u.prefixes.next {
			u.prefixes.reset(change.Sequence)
		}
		u.prefixes.apply(change, c.cfg.MaxPrefixes)
	}
	if e.Next < u.prefixes.next {
		// The engine started over: its cache is empty.
		u.prefixes.reset(0)
		c.emit(Resync{Upstream: u.name, Address: u.address, From: 0})
	}
}

// cachedTokens is the length of the request's prefix that the engine has cached.
func cachedTokens(u *upstream, r *request) int {
	blocks := u.prefixes.longest(r.Prefixes)
	return min(blocks*r.BlockTokens, max(0, r.PromptTokens-1))
}
