package batch

import "container/list"

// cache is the prefix cache: it holds the hashes of prompt blocks and evicts the
// least recently used block first.
type cache struct {
	blocks  map[uint64]*list.Element
	recent  list.List // most recently used first; values are uint64
	onEvent func(prefix uint64, evicted bool)
}

func newCache(onEvent func(prefix uint64, evicted bool)) *cache {
	return &cache{blocks: make(map[uint64]*list.Element), onEvent: onEvent}
}

// lookUp returns how many leading blocks of the chain are present, and marks them
// as used. The first block is marked last, so that it counts as the most
// recently used.
func (c *cache) lookUp(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	c.markUsed(chain[:n])
	return n
}

func (c *cache) markUsed(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[chain[i]])
	}
}

// add inserts the leading blocks of the chain, at most limit of them, and evicts
// others until at most limit blocks remain.
func (c *cache) add(chain []uint64, limit int) {
	chain = chain[:min(len(chain), limit)]
	for _, prefix := range chain {
		if c.blocks[prefix] == nil {
			c.blocks[prefix] = c.recent.PushFront(prefix)
			c.onEvent(prefix, false)
		}
	}
	c.markUsed(chain)
	c.evictTo(limit)
}

// evictTo evicts the least recently used blocks until at most limit blocks
// remain.
func (c *cache) evictTo(limit int) {
	for c.recent.Len() > limit {
		last := c.recent.Back()
		prefix, _ := last.Value.(uint64)
		c.recent.Remove(last)
		delete(c.blocks, prefix)
		c.onEvent(prefix, true)
	}
}
