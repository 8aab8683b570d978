// Package journal keeps a bounded account of the decisions taken for requests.
package journal

import (
	"sync"
	"time"
)

// Entry is one decision.
type Entry struct {
	// AtMillis is the time of the decision in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Decision names what was decided.
	Decision string `json:"decision"`
	// Detail tells the circumstances.
	Detail string `json:"detail,omitempty"`
}

// maxEntries bounds the entries kept for one request.
const maxEntries = 64

// Journal remembers the newest requests.
type Journal struct {
	mu      sync.Mutex
	entries map[string][]Entry
	// order lists the requests by age; next is where the oldest is replaced.
	order []string
	next  int
}

// New returns a journal for the number of requests given.
func New(requests int) *Journal {
	return &Journal{
		entries: make(map[string][]Entry, requests),
		order:   make([]string, max(1, requests)),
	}
}

// Record adds one entry to a request's account.
func (j *Journal) Record(request string, at time.Time, decision, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	account, known := j.entries[request]
	if !known {
		delete(j.entries, j.order[j.next])
		j.order[j.next] = request
		j.next = (j.next + 1) % len(j.order)
	}
	if len(account) >= maxEntries {
		return
	}
	e := Entry{AtMillis: at.UnixMilli(), Decision: decision, Detail: detail}
	j.entries[request] = append(account, e)
}

// Entries returns the entries of a request, oldest first, nil if not known.
func (j *Journal) Entries(request string) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry(nil), j.entries[request]...)
}
