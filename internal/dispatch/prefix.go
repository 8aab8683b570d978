package dispatch

import "sort"

// prefixTable remembers which prompt prefixes an engine has cached: what its
// events say, and what this host had processed there itself. Events come late
// and with gaps; after a gap only the host's own knowledge is left.
type prefixTable struct {
	cached map[uint64]prefixMark
	// order lists prefixes by age for eviction beyond the bound.
	order []prefixEntry
	next  uint64
	marks uint64
}

// prefixMark tells when a prefix was noted and by whom.
type prefixMark struct {
	number uint64
	own    bool
}

// prefixEntry is a prefix with the number of the mark that it was noted under.
type prefixEntry struct {
	prefix uint64
	number uint64
}

// gap forgets what events said, as some of them are lost.
func (t *prefixTable) gap(next uint64) {
	kept := t.order[:0]
	for _, e := range t.order {
		mark, known := t.cached[e.prefix]
		if known && mark.own && mark.number == e.number {
			kept = append(kept, e)
		} else if known && mark.number == e.number {
			delete(t.cached, e.prefix)
		}
	}
	t.order = kept
	t.next = next
}

func (t *prefixTable) apply(change CacheChange, bound int) {
	t.next = change.Sequence + 1
	if change.Evicted {
		delete(t.cached, change.PrefixHash)
		return
	}
	t.note(change.PrefixHash, false, bound)
}

// note adds a prefix; the oldest gives way beyond the bound.
func (t *prefixTable) note(prefix uint64, own bool, bound int) {
	if t.cached == nil {
		t.cached = make(map[uint64]prefixMark)
	}
	if mark, known := t.cached[prefix]; known && mark.own {
		own = true
	}
	t.marks++
	t.cached[prefix] = prefixMark{number: t.marks, own: own}
	t.order = append(t.order, prefixEntry{prefix: prefix, number: t.marks})
	for len(t.order) > bound {
		t.dropOldest()
	}
}

func (t *prefixTable) dropOldest() {
	oldest := t.order[0]
	t.order = t.order[1:]
	if t.cached[oldest.prefix].number == oldest.number {
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
			u.prefixes.gap(change.Sequence)
		}
		u.prefixes.apply(change, c.prefixBound())
	}
	if e.NextSequence < u.prefixes.next {
		// The engine started over: its cache is empty.
		u.prefixes = prefixTable{}
		c.emit(ResyncCache{Upstream: u.name, Address: u.address, FromSequence: 0})
	}
}

// cachedTokens is the length of the request's prefix that the engine has cached.
func cachedTokens(u *upstream, r *request) int {
	blocks := u.prefixes.longest(r.PrefixHashes)
	return min(blocks*r.BlockTokens, max(0, r.PromptTokens-1))
}

// learnPrefixes notes that an engine has just processed a prompt's prefixes.
func (c *Core) learnPrefixes(r *request) {
	if len(r.group) != 1 {
		return
	}
	for _, prefix := range r.PrefixHashes {
		r.group[0].prefixes.note(prefix, true, c.prefixBound())
	}
}

// prefixBound is the number of prefixes remembered for each engine.
func (c *Core) prefixBound() int {
	return c.cfg.MaxPrefixes / max(1, len(c.engines))
}
