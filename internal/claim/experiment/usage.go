package experiment

import "github.com/chestnutline/chestnutline/internal/claim/shard"

// Usage is what a run took of the store.
type Usage struct {
	Reads, Writes, Conflicts, Throttled int
	// BytesWritten counts the writes that took effect, LargestBytes is the
	// largest object among them, StoredBytes what the store holds at the end.
	BytesWritten, LargestBytes, StoredBytes int
	// Decisions counts the decisions given to callers, Granted those that let an
	// action run.
	Decisions, Granted int
}

// Usage returns what the run took of the store.
func (w *Simulation) Usage() Usage {
	s := w.store
	u := Usage{
		Reads: s.Reads, Writes: s.Writes, Conflicts: s.Conflicts, Throttled: s.Throttled,
		BytesWritten: s.BytesWritten, LargestBytes: s.LargestBytes,
		Granted: w.counts[shard.Granted],
	}
	for _, o := range s.objects.List("") {
		u.StoredBytes += len(o.Value)
	}
	for _, n := range w.counts {
		u.Decisions += n
	}
	return u
}
