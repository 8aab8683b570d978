package shard

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is the first element of an encoded table.
const formatVersion = 1

// tableFields is the number of elements of an encoded table.
const tableFields = 3

// row is an entry with its encoded form, so that a write copies the rows that
// did not change.
type row struct {
	entry Entry
	wire  []byte
}

// Table is the content of one shard object.
type Table struct {
	// Window is the newest window that the object was used for.
	Window uint64
	rows   []row
	index  map[ID]int // into rows
	size   int
}

// NewTable returns an empty table.
func NewTable(window uint64) *Table {
	return &Table{Window: window, index: make(map[ID]int), size: headerBytes}
}

// Get returns the entry with the ID given.
func (t *Table) Get(id ID) (Entry, bool) {
	i, ok := t.index[id]
	if !ok {
		return Entry{}, false
	}
	return t.rows[i].entry, true
}

// Len is the number of entries.
func (t *Table) Len() int {
	return len(t.rows)
}

// Bytes bounds the encoded size with all outcomes recorded.
func (t *Table) Bytes() int {
	return t.size
}

// Entries returns the entries in the order in which they are stored.
func (t *Table) Entries() []Entry {
	all := make([]Entry, len(t.rows))
	for i, r := range t.rows {
		all[i] = r.entry
	}
	return all
}

func (t *Table) put(r row) {
	t.size += r.entry.bytes()
	if i, ok := t.index[r.entry.ID]; ok {
		t.size -= t.rows[i].entry.bytes()
		t.rows[i] = r
		return
	}
	t.index[r.entry.ID] = len(t.rows)
	t.rows = append(t.rows, r)
}

// remove fills the gap with the last row.
func (t *Table) remove(id ID) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	t.size -= t.rows[i].entry.bytes()
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.index[t.rows[i].entry.ID] = i
	t.rows[last] = row{}
	t.rows = t.rows[:last]
	delete(t.index, id)
}

// Encode returns the table's bytes.
func (t *Table) Encode() []byte {
	return newDraft(t).encode()
}

// Decode reads a table's bytes.
func Decode(value []byte) (*Table, error) {
	d := msgpack.NewDecoder(bytes.NewReader(value))
	fields, err := d.DecodeArrayLen()
	if err != nil || fields != tableFields {
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
		wire := readField(r, r.DecodeRaw)
		if r.err != nil {
			return nil, errors.Wrap(r.err, "decode claims")
		}
		e, err := entries.decode(wire)
		if err != nil {
			return nil, err
		}
		t.put(row{entry: e, wire: bytes.Clone(wire)})
	}
	return t, nil
}
