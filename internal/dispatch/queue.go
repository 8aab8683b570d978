package dispatch

import (
	"sort"
	"time"
)

// queue holds waiting requests ordered by key, then by id.
type queue struct {
	items []*request
}

func before(a, b *request) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.ID < b.ID
}

func (q *queue) index(r *request) int {
	return sort.Search(len(q.items), func(i int) bool { return !before(q.items[i], r) })
}

func (q *queue) insert(r *request) {
	i := q.index(r)
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = r
}

func (q *queue) remove(r *request) {
	i := q.index(r)
	if i >= len(q.items) || q.items[i] != r {
		return
	}
	copy(q.items[i:], q.items[i+1:])
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
}

// ahead sums what stands before a key: prefill time and KV memory.
func (q *queue) ahead(key time.Duration) (prefill time.Duration, memory int) {
	for _, r := range q.items {
		if r.key > key {
			return prefill, memory
		}
		prefill += r.cost.prefill
		memory += r.totalTokens()
	}
	return prefill, memory
}
