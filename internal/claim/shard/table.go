package shard

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is the version of the encoding, stored as the first element of
// an encoded table.
const formatVersion = 1

// tableFieldCount is the number of array elements of an encoded table.
const tableFieldCount = 3

// row is an entry with its encoded form. Encoding a table copies the encoded
// form of all rows that did not change.
type row struct {
	entry   Entry
	encoded []byte
}

// Table is the content of one shard object.
type Table struct {
	// Window is the number of the latest time window that the object was used
	// for.
	Window    uint64
	rows      []row
	index     map[ID]int // index into rows by ID
	sizeBound int        // upper bound on the encoded size, see MaxEncodedBytes
}

// NewTable returns an empty table for the given window.
func NewTable(window uint64) *Table {
	return &Table{Window: window, index: make(map[ID]int), sizeBound: maxHeaderBytes}
}

// Get returns the entry with the given ID and reports whether there is one.
func (t *Table) Get(id ID) (Entry, bool) {
	i, ok := t.index[id]
	if !ok {
		return Entry{}, false
	}
	return t.rows[i].entry, true
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.rows)
}

// MaxEncodedBytes returns an upper bound on the encoded size in bytes that
// still holds when the outcomes of all entries are recorded.
func (t *Table) MaxEncodedBytes() int {
	return t.sizeBound
}

// Entries returns a copy of the entries in the order in which they are stored.
func (t *Table) Entries() []Entry {
	all := make([]Entry, len(t.rows))
	for i, r := range t.rows {
		all[i] = r.entry
	}
	return all
}

// put adds a row or replaces the row with the same ID.
func (t *Table) put(r row) {
	t.sizeBound += r.entry.maxEncodedBytes()
	if i, ok := t.index[r.entry.ID]; ok {
		t.sizeBound -= t.rows[i].entry.maxEncodedBytes()
		t.rows[i] = r
		return
	}
	t.index[r.entry.ID] = len(t.rows)
	t.rows = append(t.rows, r)
}

// remove deletes the entry with the given ID, if there is one, and moves the
// last row into its place.
func (t *Table) remove(id ID) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	t.sizeBound -= t.rows[i].entry.maxEncodedBytes()
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.index[t.rows[i].entry.ID] = i
	t.rows[last] = row{}
	t.rows = t.rows[:last]
	delete(t.index, id)
}

// Encode returns the encoded table, as it is stored in a shard object.
func (t *Table) Encode() []byte {
	return newDraft(t).encode()
}

// Decode parses an encoded table. It returns an error if the bytes are malformed
// or the format version is unknown.
func Decode(value []byte) (*Table, error) {
	d := msgpack.NewDecoder(bytes.NewReader(value))
	fields, err := d.DecodeArrayLen()
	if err != nil || fields != tableFieldCount {
		return nil, errors.Errorf("decode claims: %d fields, %v", fields, err)
	}
	r := &fieldReader{Decoder: d}
	format := readField(r, r.DecodeInt)
	t := NewTable(readField(r, r.DecodeUint64))
	n := readField(r, r.DecodeArrayLen)
	if r.err != nil {
		return nil, errors.Wrap(r.err, "decode claims")
	}
	if format != formatVersion {
		return nil, errors.Errorf("decode claims: format %d is not known", format)
	}
	entries := newEntryDecoder()
	for range n {
		encoded := readField(r, r.DecodeRaw)
		if r.err != nil {
			return nil, errors.Wrap(r.err, "decode claims")
		}
		e, err := entries.decode(encoded)
		if err != nil {
			return nil, err
		}
		t.put(row{entry: e, encoded: bytes.Clone(encoded)})
	}
	return t, nil
}
