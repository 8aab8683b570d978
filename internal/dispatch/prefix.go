package dispatch

import "sort"

// prefixTable records which prompt prefixes an engine has cached: those that
// the engine's cache events name, and those that this host had processed there
// itself. Events arrive late, and some are lost. After a gap in their sequence
// numbers only the prefixes that this host had processed are kept.
type prefixTable struct {
	records map[uint64]prefixRecord
	// order lists the insertions, oldest first; the oldest are dropped when
	// there are too many. An entry is out of date if its prefix was inserted
	// again or evicted since.
	order []prefixEntry
	// nextSequence is the sequence number expected of the next event, and
	// lastInsertion the number of the last insertion.
	nextSequence  uint64
	lastInsertion uint64
}

// prefixRecord holds the number of the last insertion of a prefix, and whether
// this host had the prefix processed there itself.
type prefixRecord struct {
	insertion uint64
	own       bool
}

// prefixEntry is a prefix with the number of the insertion that it was added
// by.
type prefixEntry struct {
	prefixHash uint64
	insertion  uint64
}

// dropReported drops the prefixes that are known only from events, since some
// events are lost. The next event is expected to have the given number.
func (t *prefixTable) dropReported(nextSequence uint64) {
	kept := t.order[:0]
	for _, e := range t.order {
		record, known := t.records[e.prefixHash]
		if known && record.own && record.insertion == e.insertion {
			kept = append(kept, e)
		} else if known && record.insertion == e.insertion {
			delete(t.records, e.prefixHash)
		}
	}
	t.order = kept
	t.nextSequence = nextSequence
}

// applyChange applies one cache event; the table keeps at most bound
// insertions.
func (t *prefixTable) applyChange(change CacheChange, bound int) {
	t.nextSequence = change.Sequence + 1
	if change.Evicted {
		delete(t.records, change.PrefixHash)
		return
	}
	t.add(change.PrefixHash, false, bound)
}

// add inserts a prefix. If there are then more than bound insertions, it drops
// the oldest.
func (t *prefixTable) add(prefixHash uint64, own bool, bound int) {
	if t.records == nil {
		t.records = make(map[uint64]prefixRecord)
	}
	if record, known := t.records[prefixHash]; known && record.own {
		own = true
	}
	t.lastInsertion++
	t.records[prefixHash] = prefixRecord{insertion: t.lastInsertion, own: own}
	t.order = append(t.order, prefixEntry{prefixHash: prefixHash, insertion: t.lastInsertion})
	for len(t.order) > bound {
		t.dropOldest()
	}
}

// dropOldest drops the oldest insertion, and its prefix unless it was inserted
// again since.
func (t *prefixTable) dropOldest() {
	oldest := t.order[0]
	t.order = t.order[1:]
	if t.records[oldest.prefixHash].insertion == oldest.insertion {
		delete(t.records, oldest.prefixHash)
	}
}

// cachedBlocks returns how many of a prompt's leading blocks are cached. An
// engine caches a block only together with all blocks before it, so the
// function uses a binary search.
func (t *prefixTable) cachedBlocks(prefixHashes []uint64) int {
	if len(t.records) == 0 || len(prefixHashes) == 0 || !t.has(prefixHashes[0]) {
		return 0
	}
	return 1 + sort.Search(len(prefixHashes)-1, func(i int) bool { return !t.has(prefixHashes[i+1]) })
}

// has reports whether the engine is known to have cached a prefix.
func (t *prefixTable) has(prefixHash uint64) bool {
	_, ok := t.records[prefixHash]
	return ok
}

// handleCacheReported applies the cache events of an engine in order and skips
// those that it already knows. A gap in the sequence numbers drops the prefixes
// that earlier events named; the table goes on from the first event after the
// gap.
func (c *Core) handleCacheReported(e CacheReported) {
	u := c.upstreams[e.Name]
	if u == nil {
		return
	}
	for _, change := range e.Changes {
		if change.Sequence < u.cachedPrefixes.nextSequence {
			continue
		}
		if change.Sequence > u.cachedPrefixes.nextSequence {
			u.cachedPrefixes.dropReported(change.Sequence)
		}
		u.cachedPrefixes.applyChange(change, c.maxPrefixesPerEngine())
	}
	if e.NextSequence < u.cachedPrefixes.nextSequence {
		// The engine restarted, so its cache is empty; its events are read
		// again from the first one.
		u.cachedPrefixes = prefixTable{}
		c.emit(ResyncCache{Upstream: u.name, Address: u.address, FromSequence: 0})
	}
}

// cachedPrefixTokens returns the length, in tokens, of the part of the
// request's prompt that the engine has cached. At least one token of a prompt
// is always left to be processed.
func cachedPrefixTokens(u *upstream, r *request) int {
	blocks := u.cachedPrefixes.cachedBlocks(r.PrefixHashes)
	return min(blocks*r.BlockTokens, max(0, r.PromptTokens-1))
}

// recordPrefixes records that an engine has just processed the prefixes of a
// prompt. It records nothing for a group of several engines, each of which has
// only a part of the prompt.
func (c *Core) recordPrefixes(r *request) {
	if len(r.group) != 1 {
		return
	}
	for _, prefixHash := range r.PrefixHashes {
		r.group[0].cachedPrefixes.add(prefixHash, true, c.maxPrefixesPerEngine())
	}
}

// maxPrefixesPerEngine returns the largest number of prefixes remembered for
// each engine.
func (c *Core) maxPrefixesPerEngine() int {
	return c.cfg.MaxPrefixes / max(1, len(c.engines))
}
