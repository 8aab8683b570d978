package shard_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(shard.NewTable(3).Encode())
	f.Add([]byte{0x93, 1, 3, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add(bytes.Repeat([]byte{0x91}, 1000))
	_, w := started(NewWithT(f))
	f.Add(w.Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := shard.Decode(value)
		if err != nil {
			return
		}
		again, err := shard.Decode(table.Encode())
		if err != nil || again.Len() != table.Len() || again.Window != table.Window {
			t.Errorf("%x does not survive encoding: %v", value, err)
		}
	})
}

// TestUndatedKeysAreKeptForTheirTime has an entry drop out with the first
// write after its time, and not before.
func TestUndatedKeysAreKeptForTheirTime(t *testing.T) {
	for wall, want := range map[int64]int{100 + 50: 2, 100 + 51: 1} {
		g := NewWithT(t)
		config := testConfig()
		config.KeepSeconds = 50
		c := shard.New(config)
		c.Step(0, claimOf(1))
		c.Step(0, shard.ReadDone{Result: shard.NotFound})
		c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
		late := claimOf(2)
		late.Date, late.Wall = wall, wall
		table, err := shard.Decode(pick[shard.Write](g, c.Step(0, late)).Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(table.Len()).To(Equal(want))
	}
}
