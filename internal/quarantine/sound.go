package quarantine

import "time"

// soundParts remembers when parts of prompts were last seen in a sound answer. It
// forgets them after one to two times the memory, or sooner when they are too many.
type soundParts struct {
	memory          time.Duration
	limit           int
	current, former map[string]time.Duration
	rotatedAt       time.Duration
}

// newSoundParts returns soundParts without any.
func newSoundParts(memory time.Duration, limit int) soundParts {
	return soundParts{memory: memory, limit: limit, current: make(map[string]time.Duration)}
}

// record remembers a part.
func (s *soundParts) record(part string, now time.Duration) {
	if now-s.rotatedAt > s.memory || len(s.current) >= s.limit/2 {
		s.former, s.current, s.rotatedAt = s.current, make(map[string]time.Duration), now
	}
	s.current[part] = now
}

// recent reports whether a part was seen within the memory.
func (s *soundParts) recent(part string, now time.Duration) bool {
	seenAt, known := s.current[part]
	if !known {
		seenAt, known = s.former[part]
	}
	return known && now-seenAt <= s.memory
}
