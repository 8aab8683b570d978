package batch

import api "github.com/chestnutline/chestnutline/internal/engine"

// cancelledSet remembers the newest cancelled works.
type cancelledSet struct {
	members map[api.WorkID]struct{}
	ring    []api.WorkID
	next    int
	limit   int
}

func newCancelledSet(limit int) cancelledSet {
	return cancelledSet{members: make(map[api.WorkID]struct{}), limit: limit}
}

func (s *cancelledSet) has(work api.WorkID) bool {
	_, ok := s.members[work]
	return ok
}

func (s *cancelledSet) add(work api.WorkID) {
	if s.has(work) {
		return
	}
	s.members[work] = struct{}{}
	if len(s.ring) < s.limit {
		s.ring = append(s.ring, work)
		return
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = work
	s.next = (s.next + 1) % s.limit
}
