package shard

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// draft is a table with changes that are not in force yet. It costs as much as
// there are changes.
type draft struct {
	base    *Table
	changed map[ID]*row
	order   []*row // of changed, also those dropped again
	dropped map[*row]bool
	removed map[ID]bool
	gone    []ID // the keys of removed in order
	size    int
}

func newDraft(base *Table) *draft {
	return &draft{
		base:    base,
		changed: make(map[ID]*row),
		dropped: make(map[*row]bool),
		removed: make(map[ID]bool),
		size:    base.size,
	}
}

func (d *draft) get(id ID) (Entry, bool) {
	if r, ok := d.changed[id]; ok {
		return r.entry, true
	}
	if d.removed[id] {
		return Entry{}, false
	}
	return d.base.Get(id)
}

func (d *draft) set(e Entry) {
	if old, ok := d.get(e.ID); ok {
		d.size -= old.bytes()
	}
	d.size += e.bytes()
	if r, ok := d.changed[e.ID]; ok {
		r.entry = e
		return
	}
	r := &row{entry: e}
	d.changed[e.ID] = r
	d.order = append(d.order, r)
}

func (d *draft) remove(id ID) {
	old, ok := d.get(id)
	if !ok {
		return
	}
	d.size -= old.bytes()
	if r, ok := d.changed[id]; ok {
		d.dropped[r] = true
		delete(d.changed, id)
	}
	if !d.removed[id] {
		d.removed[id] = true
		d.gone = append(d.gone, id)
	}
}

// prune removes the entries dated before the Unix second given.
func (d *draft) prune(before int64) {
	for _, r := range d.base.rows {
		if r.entry.Date < before {
			d.remove(r.entry.ID)
		}
	}
}

// kept says that a row of the base is still in force.
func (d *draft) kept(id ID) bool {
	return !d.removed[id] && d.changed[id] == nil
}

// encode returns the bytes of the base with the changes. Writing to memory
// can't fail.
func (d *draft) encode() []byte {
	n := len(d.changed)
	for _, r := range d.base.rows {
		if d.kept(r.entry.ID) {
			n++
		}
	}
	var buffer bytes.Buffer
	buffer.Grow(d.size)
	w := msgpack.NewEncoder(&buffer)
	w.UseCompactInts(true)
	for _, err := range []error{
		w.EncodeArrayLen(tableFields),
		w.EncodeInt(formatVersion),
		w.EncodeUint(d.base.Window),
		w.EncodeArrayLen(n),
	} {
		if err != nil {
			panic(err)
		}
	}
	for _, r := range d.base.rows {
		if d.kept(r.entry.ID) {
			buffer.Write(r.wire)
		}
	}
	for _, r := range d.order {
		if !d.dropped[r] {
			r.wire = r.entry.encode()
			buffer.Write(r.wire)
		}
	}
	return buffer.Bytes()
}

// apply puts the changes into force and returns the base.
func (d *draft) apply() *Table {
	for _, id := range d.gone {
		d.base.remove(id)
	}
	for _, r := range d.order {
		if !d.dropped[r] {
			d.base.put(*r)
		}
	}
	return d.base
}
