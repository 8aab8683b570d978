package experiment

import "testing"

// The controllers of 16 data centres together may use a twentieth of the object
// API's capacity, which is 2000 reads and at least 300 writes a second.
const (
	maxReadsPerSecond  = 2000.0 / 20 / 16
	maxWritesPerSecond = 300.0 / 20 / 16
)

// TestControllerCostFitsObjectAPI measures the current size, one in between and
// the target size.
func TestControllerCostFitsObjectAPI(t *testing.T) {
	sizes := []Size{
		{Candidates: 2, Engines: 6, Elsewhere: 21},
		{Candidates: 8, Engines: 80, Elsewhere: 200},
		{Candidates: 30, Engines: 331, Elsewhere: 5400},
	}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		c := Measure(size, 1)
		t.Logf("%+v", c)
		if c.StoreReads > maxReadsPerSecond || c.StoreWrites > maxWritesPerSecond {
			t.Errorf("%+v: %.2f reads and %.2f writes a second", size, c.StoreReads, c.StoreWrites)
		}
		if c.TakeoverSeconds == 0 || c.RolloutSeconds == 0 {
			t.Errorf("%+v: the takeover or the rollout took no time", size)
		}
	}
}
