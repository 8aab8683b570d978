// Package dispatch decides what happens to each request of one host: admit or
// refuse, when and where to send, how to retry, and which memory to give back.
//
// Core is a reducer. The caller feeds it events with the time at which they
// happened and carries out the effects that come back, in order:
//
//	effects := core.Step(now, event)
//
// The contract for the caller:
//
//   - Step is called from one goroutine. The effects returned are valid until
//     the next call.
//   - now is the monotonic time since the process started and never falls.
//   - Tick is delivered about every Config.TickInterval; deadlines, timeouts of
//     cancels and the queue depend on it.
//   - Every Send, Call, Resume, Reserve and Cancel effect is answered by
//     exactly one of the events that its comment names. An answer that names an
//     attempt which is no longer current is ignored.
//   - Pieces of an answer do not pass through the core; the caller reports the
//     first token and the end of each attempt.
//
// The core does no I/O, reads no clock, starts no goroutine, and draws
// randomness only from the seed in its Config, so the same events always give
// the same effects.
package dispatch
