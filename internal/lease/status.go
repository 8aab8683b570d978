package lease

import "time"

// Status is a candidate's account of itself.
type Status struct {
	Held    bool   `json:"held"`
	Fencing uint64 `json:"fencing"`
	// LeftMillis is how long the lease is still held, in milliseconds.
	LeftMillis int64 `json:"left_ms"`
	// Holder is who wrote the object as last seen, Version its version, and
	// SeenMillis for how long that version has been seen.
	Holder     string `json:"holder"`
	Version    uint64 `json:"version"`
	SeenMillis int64  `json:"seen_ms"`
	Candidates int    `json:"candidates"`
	// Failures counts calls to the object API that failed in a row.
	Failures int `json:"failures"`
	// Unresolved counts own writes whose outcome is not known.
	Unresolved int `json:"unresolved_writes"`
}

// Status returns the candidate's account of itself.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		Fencing: c.record.Fencing, Holder: c.record.Holder, Version: c.version,
		SeenMillis: (now - c.seenAt).Milliseconds(), Candidates: c.candidates,
		Failures: c.failures, Unresolved: len(c.sent),
	}
	if t, ok := c.Holding(now); ok {
		s.Held, s.LeftMillis = true, (t.Until - now).Milliseconds()
	}
	return s
}
