package ledger

import "math/bits"

// turn returns the place in the order in which entries give way for memory: answers whose
// callers take nothing, then unfinished requests, the heads that are read most slowly,
// unread answers, unfinished messages, and connections on which nothing comes.
func turn(class Class, s stage) int {
	const first, last = -1, 4
	switch {
	case s == stalled:
		return first
	case s == idle:
		return last
	case class == Request:
		return 0
	case class == Connection:
		return 1
	case class == Answer:
		return 2
	default:
		return 3
	}
}

// victim returns who must give way so that an entry can have more bytes; that may be the
// entry itself. It returns nil if nobody can. Among unfinished requests, answers and
// messages it is the newest of the largest, sizes being compared by powers of two: one
// that is old and has come far goes on. Among small ones and among heads it is the oldest,
// since the shortest time suffices for them, and among idle connections the one that is
// idle for longest.
// With ofClass, only the entries of the same class are asked.
func (l *Ledger) victim(growing *Entry, bytes int64, ofClass bool) *Entry {
	var best *Entry
	var bestTurn, bestSize int
	for _, e := range l.entries {
		if e.stage == kept || ofClass && e.class != growing.class {
			continue
		}
		size := e.bytes
		if e == growing {
			size += bytes
		}
		entryTurn, entrySize := turn(e.class, e.stage), bits.Len64(uint64(size))
		if best != nil && !givesWayBefore(e, entryTurn, entrySize, best, bestTurn, bestSize) {
			continue
		}
		best, bestTurn, bestSize = e, entryTurn, entrySize
	}
	return best
}

// givesWayBefore reports whether entry a gives way before entry b.
func givesWayBefore(a *Entry, turnA, sizeA int, b *Entry, turnB, sizeB int) bool {
	switch {
	case turnA != turnB:
		return turnA < turnB
	case a.class == Connection:
		return a.since < b.since
	case sizeA != sizeB:
		return sizeA > sizeB
	case sizeA < bits.Len64(smallBytes):
		return a.since < b.since
	default:
		return a.since > b.since
	}
}

// connectionVictim returns who must give way so that a new connection can be taken: the
// answer of which nothing is taken for longest, then the connection that is idle for
// longest, then the head and then the request that are being read for longest. It returns nil if nobody can.
func (l *Ledger) connectionVictim() *Entry {
	var best *Entry
	rank := func(e *Entry) int {
		switch {
		case e.stage == stalled:
			return -1
		case e.stage == idle:
			return 0
		case e.class == Connection:
			return 1
		default:
			return 2
		}
	}
	for _, e := range l.entries {
		if e.stage == kept || e.connection == nil {
			continue
		}
		if best == nil || rank(e) < rank(best) || rank(e) == rank(best) && e.since < best.since {
			best = e
		}
	}
	return best
}
