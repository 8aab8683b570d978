package shard

import (
	"encoding/binary"
	"testing"
)

// filled returns a table of n keys with answers of 64 bytes.
func filled(n int) *Table {
	t := NewTable(1)
	for i := range n {
		e := Entry{
			Token: Token{Incarnation: 1 << 60, Attempt: uint64(i)}, Fingerprint: 1 << 60,
			Date: 1 << 30, Deadline: 1 << 30, Done: true, Outcome: Outcome{Status: 200, Body: make([]byte, 64)},
		}
		binary.BigEndian.PutUint64(e.ID[:], uint64(i)*0x9e3779b97f4a7c15)
		t.put(row{entry: e, wire: e.encode()})
	}
	return t
}

func BenchmarkEncode3000(b *testing.B) {
	t := filled(3000)
	b.ReportAllocs()
	for b.Loop() {
		t.Encode()
	}
}

func BenchmarkDecode3000(b *testing.B) {
	value := filled(3000).Encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}
