// Package backpressure decides what a host does with an answer whose caller reads more
// slowly than its server sends. It answers the load of callers that read slowly or not at
// all, before servers that cut off what stays unread and hold memory until their answer is
// taken. The decision is pure; the host passes in times and sizes.
package backpressure

import "time"

// Limits bound what a caller that reads slowly costs.
type Limits struct {
	// ReadAhead is how much of an answer is taken off its server while the caller does not
	// read. A larger one frees the servers of longer answers.
	ReadAhead int64
	// Patience is how long a write to the caller may block before the answer is taken off
	// its server.
	Patience time.Duration
	// Yield is how long a caller may take nothing before what is held for it is the first to
	// give way where memory or connections lack.
	Yield time.Duration
	// Stall is how long a caller may take nothing at all before its answer is broken off.
	Stall time.Duration
	// Cut is the time unread from which on the break of an answer is put down to its
	// caller and not to its server.
	Cut time.Duration
}

// Default returns the limits for callers that wait for seconds and streams of some ten
// kilobytes.
func Default() Limits {
	return Limits{ReadAhead: 64 << 10, Patience: 250 * time.Millisecond, Yield: time.Second, Stall: 10 * time.Second, Cut: time.Second}
}

// Answer is the state of an answer while a write to its caller blocks.
type Answer struct {
	// Blocked is for how long the caller has taken nothing.
	Blocked time.Duration
	// Held is how much of the answer the host holds, read ahead of the caller.
	Held int64
	// Room is whether the host has memory for more.
	Room bool
}

// Action is what the host does next with an answer.
type Action int

const (
	// Follow leaves the answer at its server until the caller has taken what was written.
	Follow Action = iota
	// TakeOff reads the answer ahead of its caller.
	TakeOff
	// BreakOff ends the answer without an end that looks complete.
	BreakOff
)

// Decide returns what to do with an answer. An answer that is larger than what may be held
// stays at its server, which may cut it off, for as long as the caller may go on to read:
// to break it off sooner would help nobody but the server.
func (l Limits) Decide(a Answer) Action {
	switch {
	case a.Blocked >= l.Stall:
		return BreakOff
	case a.Blocked >= l.Patience && a.Room && a.Held < l.ReadAhead:
		return TakeOff
	default:
		return Follow
	}
}

// Yields reports whether what is held for an answer is the first to give way.
func (l Limits) Yields(a Answer) bool { return a.Blocked >= l.Yield }

// NextCheck returns when a write that has blocked for a time has to be decided about again.
func (l Limits) NextCheck(blocked time.Duration) time.Duration {
	for _, at := range []time.Duration{l.Patience, l.Yield, l.Stall} {
		if blocked < at {
			return at - blocked
		}
	}
	return 0
}

// End is how an answer ended at its server.
type End struct {
	// Unread is the longest time for which the server's bytes stayed unread since the
	// caller took too little.
	Unread time.Duration
	// Broken is whether the connection broke; Framed whether the answer tells its length,
	// so that its end can be told from a break.
	Broken, Framed bool
}

// Verdict is what an end means.
type Verdict int

const (
	// Complete answers may be passed on as whole.
	Complete Verdict = iota
	// Lost answers broke at their server; another server may be asked.
	Lost
	// CutUnread answers were cut off since the caller read too slowly. No other server
	// would do better, and none is to blame.
	CutUnread
)

// Judge returns what the end of an answer means. The close that ends an answer without
// framing can't be told from a cut if the answer had been unread for long.
func (l Limits) Judge(e End) Verdict {
	switch {
	case e.Unread >= l.Cut && (e.Broken || !e.Framed):
		return CutUnread
	case e.Broken:
		return Lost
	default:
		return Complete
	}
}
