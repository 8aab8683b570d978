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
	_, w := newCoreWritingFirstClaim(NewWithT(f))
	f.Add(w.Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := shard.Decode(value)
		if err != nil {
			return
		}
		again, err := shard.Decode(table.Encode())
		if err != nil || again.Len() != table.Len() || again.Window != table.Window {
			t.Errorf("%x changes when it is encoded and decoded again: %v", value, err)
		}
	})
}

// TestEntryIsRemovedAfterRetentionTime checks that an entry is removed by the
// first write after its retention time of 50 s, and not by a write before.
func TestEntryIsRemovedAfterRetentionTime(t *testing.T) {
	for wall, want := range map[int64]int{100 + 50: 2, 100 + 51: 1} {
		g := NewWithT(t)
		config := testConfig()
		config.RetentionSeconds = 50
		c := shard.New(config)
		c.Step(0, newClaim(1))
		c.Step(0, shard.ReadDone{Result: shard.NotFound})
		c.Step(0, shard.WriteDone{Result: shard.OK, Version: 1})
		later := newClaim(2)
		later.Date, later.WallTime = wall, wall
		table, err := shard.Decode(firstOfType[shard.Write](g, c.Step(0, later)).Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(table.Len()).To(Equal(want))
	}
}
