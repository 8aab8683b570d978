package shard

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// draft is a Table with changes that are not applied yet. It copies only the
// changes, so that its cost depends on the number of changes and not on the
// size of the table.
type draft struct {
	base         *Table
	changed      map[ID]*row
	changedOrder []*row        // the changed rows in the order of their first change, discarded ones too
	discarded    map[*row]bool // changed rows whose entry was removed afterwards
	removed      map[ID]bool
	removedOrder []ID // the IDs in removed, in the order of their removal
	sizeBound    int  // as in Table, with the changes
}

// newDraft returns a draft of the table without changes.
func newDraft(base *Table) *draft {
	return &draft{
		base:      base,
		changed:   make(map[ID]*row),
		discarded: make(map[*row]bool),
		removed:   make(map[ID]bool),
		sizeBound: base.sizeBound,
	}
}

// get returns the entry with the given ID as it is after the changes, and
// reports whether there is one.
func (d *draft) get(id ID) (Entry, bool) {
	if r, ok := d.changed[id]; ok {
		return r.entry, true
	}
	if d.removed[id] {
		return Entry{}, false
	}
	return d.base.Get(id)
}

// set adds an entry or replaces the one with the same ID.
func (d *draft) set(e Entry) {
	if old, ok := d.get(e.ID); ok {
		d.sizeBound -= old.maxEncodedBytes()
	}
	d.sizeBound += e.maxEncodedBytes()
	if r, ok := d.changed[e.ID]; ok {
		r.entry = e
		return
	}
	r := &row{entry: e}
	d.changed[e.ID] = r
	d.changedOrder = append(d.changedOrder, r)
}

// remove deletes the entry with the given ID, if there is one.
func (d *draft) remove(id ID) {
	old, ok := d.get(id)
	if !ok {
		return
	}
	d.sizeBound -= old.maxEncodedBytes()
	if r, ok := d.changed[id]; ok {
		d.discarded[r] = true
		delete(d.changed, id)
	}
	if !d.removed[id] {
		d.removed[id] = true
		d.removedOrder = append(d.removedOrder, id)
	}
}

// removeDatedBefore removes the entries of the base table whose date is before
// the given Unix second.
func (d *draft) removeDatedBefore(before int64) {
	for _, r := range d.base.rows {
		if r.entry.Date < before {
			d.remove(r.entry.ID)
		}
	}
}

// isUnchanged reports whether the entry with the given ID is neither removed
// nor changed, so that its row of the base table is still valid.
func (d *draft) isUnchanged(id ID) bool {
	return !d.removed[id] && d.changed[id] == nil
}

// encode returns the encoded table with the changes. It panics on an encoding
// error, because writing to memory can't fail.
func (d *draft) encode() []byte {
	n := len(d.changed)
	for _, r := range d.base.rows {
		if d.isUnchanged(r.entry.ID) {
			n++
		}
	}
	var buffer bytes.Buffer
	buffer.Grow(d.sizeBound)
	w := msgpack.NewEncoder(&buffer)
	w.UseCompactInts(true)
	for _, err := range []error{
		w.EncodeArrayLen(tableFieldCount),
		w.EncodeInt(formatVersion),
		w.EncodeUint(d.base.Window),
		w.EncodeArrayLen(n),
	} {
		if err != nil {
			panic(err)
		}
	}
	for _, r := range d.base.rows {
		if d.isUnchanged(r.entry.ID) {
			buffer.Write(r.encoded)
		}
	}
	for _, r := range d.changedOrder {
		if !d.discarded[r] {
			r.encoded = r.entry.encode()
			buffer.Write(r.encoded)
		}
	}
	return buffer.Bytes()
}

// apply makes the changes in the base table and returns it. The rows must have
// been encoded before.
func (d *draft) apply() *Table {
	for _, id := range d.removedOrder {
		d.base.remove(id)
	}
	for _, r := range d.changedOrder {
		if !d.discarded[r] {
			d.base.put(*r)
		}
	}
	return d.base
}
