package lease

import "time"

// Status describes a candidate's current state for operators.
type Status struct {
	// Held reports whether the candidate holds the lease, and Fencing is the
	// fencing number of the last known record.
	Held    bool   `json:"held"`
	Fencing uint64 `json:"fencing"`
	// LeftMillis is how long the lease is still held, in milliseconds.
	LeftMillis int64 `json:"left_ms"`
	// Holder is the name in the last known record, Version the version of the
	// object, and SeenMillis how long ago, in milliseconds, this candidate
	// first saw that version.
	Holder     string `json:"holder"`
	Version    uint64 `json:"version"`
	SeenMillis int64  `json:"seen_ms"`
	// Candidates is the number of candidates, this one included.
	Candidates int `json:"candidates"`
	// Failures is the number of consecutive failed calls to the object API.
	Failures int `json:"failures"`
	// Unresolved is the number of this candidate's writes whose outcome is not
	// known.
	Unresolved int `json:"unresolved_writes"`
}

// Status returns the candidate's state at the time now.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		Fencing: c.record.Fencing, Holder: c.record.Holder, Version: c.version,
		SeenMillis: (now - c.versionSeenAt).Milliseconds(), Candidates: c.candidates,
		Failures: c.failedCalls, Unresolved: len(c.unresolvedWrites),
	}
	if t, ok := c.Holding(now); ok {
		s.Held, s.LeftMillis = true, (t.Until - now).Milliseconds()
	}
	return s
}
