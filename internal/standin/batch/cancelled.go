package batch

import api "github.com/chestnutline/chestnutline/internal/engine"

// cancelledSet remembers the ids of the most recently cancelled work items, up
// to limit of them.
type cancelledSet struct {
	known map[api.WorkID]struct{}
	ring  []api.WorkID
	next  int
	limit int
}

func newCancelledSet(limit int) cancelledSet {
	return cancelledSet{known: make(map[api.WorkID]struct{}), limit: limit}
}

func (s *cancelledSet) has(work api.WorkID) bool {
	_, ok := s.known[work]
	return ok
}

func (s *cancelledSet) add(work api.WorkID) {
	if s.has(work) {
		return
	}
	s.known[work] = struct{}{}
	if len(s.ring) < s.limit {
		s.ring = append(s.ring, work)
		return
	}
	delete(s.known, s.ring[s.next])
	s.ring[s.next] = work
	s.next = (s.next + 1) % s.limit
}
