package shard

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is the first element of an encoded table.
const formatVersion = 1

// Sizes in bytes, used to keep a table below the store's limit for values.
const (
	// MaxCodeBytes and MaxBodyBytes bound what an outcome records.
	MaxCodeBytes = 64
	MaxBodyBytes = 512
	// entryBytes bounds an encoded entry without code and body.
	entryBytes = 80
	// headerBytes bounds the encoded table without entries.
	headerBytes = 32
)

// ID identifies an action: a digest of organisation, kind and idempotency key.
type ID [16]byte

// Token identifies one attempt at an action. Incarnation is drawn at random at
// process start, Attempt counts within the process, so no two attempts share one.
type Token struct {
	Incarnation uint64
	Attempt     uint64
}

// Outcome is what a repeated request is answered with.
type Outcome struct {
	// Status is the upstream's status.
	Status int
	// Code is a stable error code, empty after success.
	Code string
	// Body is the upstream's answer, or empty if it was longer than MaxBodyBytes.
	Body []byte
	// Truncated says that the answer was too long to record.
	Truncated bool
}

// bounded returns the outcome within the sizes that a table reserves.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	if len(o.Code) > MaxCodeBytes {
		o.Code = o.Code[:MaxCodeBytes]
	}
	return o
}

// Entry is the record of one action.
type Entry struct {
	ID          ID
	Token       Token
	Fingerprint uint64
	// Date is the key's date in Unix seconds.
	Date int64
	// Deadline is the attempt's time limit in Unix seconds.
	Deadline int64
	// Done says that Outcome is recorded; otherwise the action may be running.
	Done    bool
	Outcome Outcome
}

// bytes bounds the encoded size. A claimed entry reserves room for its
// outcome, so that recording one never fails for want of space.
func (e Entry) bytes() int {
	if !e.Done {
		return entryBytes + MaxCodeBytes + MaxBodyBytes
	}
	return entryBytes + len(e.Outcome.Code) + len(e.Outcome.Body)
}

// Table is the content of one shard object.
type Table struct {
	// Window is the newest window that the object was used for.
	Window  uint64
	entries map[ID]Entry
	size    int
}

// NewTable returns an empty table.
func NewTable(window uint64) *Table {
	return &Table{Window: window, entries: make(map[ID]Entry), size: headerBytes}
}

// Get returns the entry with the ID given.
func (t *Table) Get(id ID) (Entry, bool) {
	e, ok := t.entries[id]
	return e, ok
}

// Len is the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Bytes bounds the encoded size with all outcomes recorded.
func (t *Table) Bytes() int {
	return t.size
}

// Entries returns the entries ordered by ID.
func (t *Table) Entries() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int {
		return bytes.Compare(a.ID[:], b.ID[:])
	})
}

func (t *Table) set(e Entry) {
	t.remove(e.ID)
	t.entries[e.ID] = e
	t.size += e.bytes()
}

func (t *Table) remove(id ID) {
	if e, ok := t.entries[id]; ok {
		t.size -= e.bytes()
		delete(t.entries, id)
	}
}

func (t *Table) clone() *Table {
	return &Table{Window: t.Window, entries: maps.Clone(t.entries), size: t.size}
}

// prune drops the entries dated before the Unix second given.
func (t *Table) prune(before int64) {
	for id, e := range t.entries {
		if e.Date < before {
			t.remove(id)
		}
	}
}

// wireEntry is an entry as encoded.
type wireEntry struct {
	ID          []byte
	Incarnation uint64
	Attempt     uint64
	Fingerprint uint64
	Date        int64
	Deadline    int64
	Done        bool
	Status      int
	Code        string
	Body        []byte
	Truncated   bool
}

type wireTable struct {
	Format  int
	Window  uint64
	Entries []wireEntry
}

// Encode returns the table's bytes, equal for equal tables.
func (t *Table) Encode() ([]byte, error) {
	w := wireTable{Format: formatVersion, Window: t.Window}
	for _, e := range t.Entries() {
		w.Entries = append(w.Entries, wireEntry{
			ID: e.ID[:], Incarnation: e.Token.Incarnation, Attempt: e.Token.Attempt,
			Fingerprint: e.Fingerprint, Date: e.Date, Deadline: e.Deadline, Done: e.Done,
			Status: e.Outcome.Status, Code: e.Outcome.Code, Body: e.Outcome.Body, Truncated: e.Outcome.Truncated,
		})
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&w); err != nil {
		return nil, errors.Wrap(err, "encode claims")
	}
	return buffer.Bytes(), nil
}

// Decode reads a table's bytes.
func Decode(value []byte) (*Table, error) {
	var w wireTable
	if err := msgpack.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	if w.Format != formatVersion {
		return nil, errors.Errorf("decode claims: format %d is not known", w.Format)
	}
	t := NewTable(w.Window)
	for _, e := range w.Entries {
		if len(e.ID) != len(ID{}) {
			return nil, errors.Errorf("decode claims: an ID has %d bytes", len(e.ID))
		}
		t.set(Entry{
			ID: ID(e.ID), Token: Token{Incarnation: e.Incarnation, Attempt: e.Attempt},
			Fingerprint: e.Fingerprint, Date: e.Date, Deadline: e.Deadline, Done: e.Done,
			Outcome: Outcome{Status: e.Status, Code: e.Code, Body: e.Body, Truncated: e.Truncated},
		})
	}
	return t, nil
}
