package experiment

import "github.com/chestnutline/chestnutline/internal/claim/shard"

// Usage holds the use of the store by one run. Reads, Writes, Conflicts and
// Throttled are numbers of calls.
type Usage struct {
	Reads, Writes, Conflicts, Throttled int
	// BytesWritten is the size of all writes that took effect, LargestBytes that
	// of the largest of them, and StoredBytes that of all objects at the end of
	// the run, in bytes.
	BytesWritten, LargestBytes, StoredBytes int
	// Decisions is the number of decisions given to callers, Granted the number
	// of those that let an action run.
	Decisions, Granted int
}

// Usage returns the use of the store by the run.
func (sim *Simulation) Usage() Usage {
	s := sim.store
	u := Usage{
		Reads: s.Reads, Writes: s.Writes, Conflicts: s.Conflicts, Throttled: s.Throttled,
		BytesWritten: s.BytesWritten, LargestBytes: s.LargestBytes,
		Granted: sim.decisionCounts[shard.Granted],
	}
	for _, o := range s.objects.List("") {
		u.StoredBytes += len(o.Value)
	}
	for _, n := range sim.decisionCounts {
		u.Decisions += n
	}
	return u
}
