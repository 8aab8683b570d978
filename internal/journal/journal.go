// Package journal records the decisions taken for requests, in bounded memory, so
// that an operator can ask later what happened to a request.
package journal

import (
	"sync"
	"time"
)

// Entry is one decision taken for a request.
type Entry struct {
	// AtMillis is the time of the decision, in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Decision names what was decided.
	Decision string `json:"decision"`
	// Detail describes the circumstances of the decision; it may be empty.
	Detail string `json:"detail,omitempty"`
}

// maxEntriesPerRequest bounds the entries kept for one request; later ones are
// dropped.
const maxEntriesPerRequest = 64

// Journal keeps the entries of the newest requests. Its methods may be called from
// several goroutines.
type Journal struct {
	mu      sync.Mutex
	entries map[string][]Entry
	// requests is a ring buffer of the ids of the recorded requests; the id at the
	// index oldest is the next one to be replaced.
	requests []string
	oldest   int
}

// New returns a journal that keeps the entries of the given number of requests, at
// least 1.
func New(capacity int) *Journal {
	return &Journal{
		entries:  make(map[string][]Entry, capacity),
		requests: make([]string, max(1, capacity)),
	}
}

// Record adds one entry for a request. The first entry of a request removes the
// entries of the oldest recorded request once the journal is full.
func (j *Journal) Record(request string, at time.Time, decision, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	recorded, known := j.entries[request]
	if !known {
		delete(j.entries, j.requests[j.oldest])
		j.requests[j.oldest] = request
		j.oldest = (j.oldest + 1) % len(j.requests)
	}
	if len(recorded) >= maxEntriesPerRequest {
		return
	}
	entry := Entry{AtMillis: at.UnixMilli(), Decision: decision, Detail: detail}
	j.entries[request] = append(recorded, entry)
}

// Entries returns the entries of a request, oldest first, or nil if there are
// none.
func (j *Journal) Entries(request string) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry(nil), j.entries[request]...)
}
