package experiment

import (
	"os"
	"testing"
	"time"
)

// maxWritesPerSecond is the rate limit of the platform's store.
const maxWritesPerSecond = 500

// TestMeasureSizes prints the measurements of all Sizes if CLAIM_SIZES=all is
// set, otherwise one row for each strategy from a short run.
func TestMeasureSizes(t *testing.T) {
	sizes := Sizes()
	if os.Getenv("CLAIM_SIZES") != "all" {
		sizes = sizes[:1]
		sizes[0].ArrivalDuration = 5 * time.Second
	}
	var measurements []Measurement
	for _, size := range sizes {
		for _, strategy := range []Strategy{ObjectPerKey, EveryHostWrites, OneWriterPerShard} {
			measurements = append(measurements, Measure(strategy, size, 1))
		}
	}
	if err := Print(os.Stdout, measurements); err != nil {
		t.Fatal(err)
	}
}

// TestBatchingKeepsWritesWithinStoreLimit runs 460 actions a second. Two writes
// for each action exceed the store's limit, but batches from one writer per
// shard stay within it.
func TestBatchingKeepsWritesWithinStoreLimit(t *testing.T) {
	size := Sizes()[3]
	size.ArrivalDuration = 5 * time.Second
	perKey, owners := Measure(ObjectPerKey, size, 1), Measure(OneWriterPerShard, size, 1)
	if perKey.ThrottledPerSecond == 0 {
		t.Errorf("one object per key is not throttled: %+v", perKey)
	}
	if owners.WritesPerSecond > maxWritesPerSecond || owners.ThrottledPerSecond > 0 || owners.GrantedShare < 0.999 {
		t.Errorf("one writer per shard exceeds the limits of the store: %+v", owners)
	}
}
