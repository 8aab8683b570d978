package shard

import (
	"encoding/binary"
	"testing"
)

// newFilledTable returns a table of n keys whose recorded answers have 64 bytes.
func newFilledTable(n int) *Table {
	t := NewTable(1)
	for i := range n {
		e := Entry{
			Token: Token{Incarnation: 1 << 60, Attempt: uint64(i)}, Fingerprint: 1 << 60,
			Date: 1 << 30, Deadline: 1 << 30, Done: true, Outcome: Outcome{Status: 200, Body: make([]byte, 64)},
		}
		// The multiplication by an odd constant spreads the IDs.
		binary.BigEndian.PutUint64(e.ID[:], uint64(i)*0x9e3779b97f4a7c15)
		t.put(row{entry: e, encoded: e.encode()})
	}
	return t
}

func BenchmarkEncode3000(b *testing.B) {
	t := newFilledTable(3000)
	b.ReportAllocs()
	for b.Loop() {
		t.Encode()
	}
}

func BenchmarkDecode3000(b *testing.B) {
	value := newFilledTable(3000).Encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaimAndComplete measures the claims and the recorded outcomes of 14
// actions in a table of 3000 keys; together they take three writes.
func BenchmarkClaimAndComplete(b *testing.B) {
	const batch = 14
	value := newFilledTable(3000).Encode()
	config := DefaultConfig()
	config.Window, config.Pace = 1, 0
	outcome := Outcome{Status: 200, Body: make([]byte, 64)}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		c := New(config)
		version := uint64(1)
		c.Step(0, Claim{WaitUntil: 1})
		c.Step(0, ReadDone{Result: OK, Version: version, Value: value})
		b.StartTimer()
		for n := range uint64(batch) {
			e := Claim{Token: Token{Incarnation: 1, Attempt: n}, WaitUntil: 1}
			binary.BigEndian.PutUint64(e.ID[:], n|1<<63)
			c.Step(0, e)
		}
		for !c.Idle() {
			version++
			for _, effect := range c.Step(0, WriteDone{Result: OK, Version: version}) {
				if a, ok := effect.(Answer); ok {
					var id ID
					binary.BigEndian.PutUint64(id[:], a.Token.Attempt|1<<63)
					c.Step(0, Complete{ID: id, Token: a.Token, Outcome: outcome})
				}
			}
		}
	}
}
