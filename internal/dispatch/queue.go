package dispatch

import (
	"sort"
	"time"
)

// queue holds the waiting requests, ordered by virtual deadline and then by ID.
type queue struct {
	items []*request
}

// queuedBefore reports whether a comes before b in the queue.
func queuedBefore(a, b *request) bool {
	if a.virtualDeadline != b.virtualDeadline {
		return a.virtualDeadline < b.virtualDeadline
	}
	return a.ID < b.ID
}

// index returns the position of a request in the queue, or the one at which it
// would be inserted.
func (q *queue) index(r *request) int {
	return sort.Search(len(q.items), func(i int) bool { return !queuedBefore(q.items[i], r) })
}

// insert adds a request at its place in the order.
func (q *queue) insert(r *request) {
	i := q.index(r)
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = r
}

// remove takes a request out of the queue; it does nothing if the request is
// not in it.
func (q *queue) remove(r *request) {
	i := q.index(r)
	if i >= len(q.items) || q.items[i] != r {
		return
	}
	copy(q.items[i:], q.items[i+1:])
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
}

// workAhead sums the prefill time and the KV memory, in tokens, of the requests
// that are not behind the given virtual deadline.
func (q *queue) workAhead(virtualDeadline time.Duration) (prefillTime time.Duration, memoryTokens int) {
	for _, r := range q.items {
		if r.virtualDeadline > virtualDeadline {
			return prefillTime, memoryTokens
		}
		prefillTime += r.cost.prefillTime
		memoryTokens += r.totalTokens()
	}
	return prefillTime, memoryTokens
}
