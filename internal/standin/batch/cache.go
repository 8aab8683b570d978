package batch

import "container/list"

// cache holds names of prompt blocks, the least recently used evicted first.
type cache struct {
	blocks  map[uint64]*list.Element
	recent  list.List // newest first; values are uint64
	onEvent func(prefix uint64, evicted bool)
}

func newCache(onEvent func(prefix uint64, evicted bool)) *cache {
	return &cache{blocks: make(map[uint64]*list.Element), onEvent: onEvent}
}

// hits returns how many leading blocks of the chain are present, and marks
// them as used, the first block last.
func (c *cache) hits(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	c.touch(chain[:n])
	return n
}

func (c *cache) touch(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[chain[i]])
	}
}

// add inserts the leading blocks of the chain that fit into limit blocks.
func (c *cache) add(chain []uint64, limit int) {
	chain = chain[:min(len(chain), limit)]
	for _, prefix := range chain {
		if c.blocks[prefix] == nil {
			c.blocks[prefix] = c.recent.PushFront(prefix)
			c.onEvent(prefix, false)
		}
	}
	c.touch(chain)
	c.shrink(limit)
}

// shrink evicts until at most limit blocks remain.
func (c *cache) shrink(limit int) {
	for c.recent.Len() > limit {
		last := c.recent.Back()
		prefix, _ := last.Value.(uint64)
		c.recent.Remove(last)
		delete(c.blocks, prefix)
		c.onEvent(prefix, true)
	}
}
