package experiment

import (
	"os"
	"testing"
	"time"
)

// storeWrites is the platform's write limit.
const storeWrites = 500

// TestMeasureSizes prints the table of the design note with CLAIM_SIZES=all,
// otherwise one short row of each way.
func TestMeasureSizes(t *testing.T) {
	sizes := Sizes()
	if os.Getenv("CLAIM_SIZES") != "all" {
		sizes = sizes[:1]
		sizes[0].ArrivalDuration = 5 * time.Second
	}
	var figures []Figures
	for _, size := range sizes {
		for _, way := range []Way{PerKey, EveryHost, Owners} {
			figures = append(figures, Measure(way, size, 1))
		}
	}
	if err := Print(os.Stdout, figures); err != nil {
		t.Fatal(err)
	}
}

// TestBatchingFitsTheStore has 460 actions a second: two writes for each are
// beyond the store, one writer per shard is within it.
func TestBatchingFitsTheStore(t *testing.T) {
	size := Sizes()[3]
	size.ArrivalDuration = 5 * time.Second
	naive, owners := Measure(PerKey, size, 1), Measure(Owners, size, 1)
	if naive.ThrottledPerSecond == 0 {
		t.Errorf("one object per key is not throttled: %+v", naive)
	}
	if owners.WritesPerSecond > storeWrites || owners.ThrottledPerSecond > 0 || owners.GrantedShare < 0.999 {
		t.Errorf("owners do not fit the store: %+v", owners)
	}
}
