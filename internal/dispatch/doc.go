// Package dispatch decides what happens to each request of one host: whether
// to admit or refuse it, when and where to send it, whether to try it again
// after a failure, and which memory on the engines to free.
//
// Core is a reducer. The code that owns it, called the caller of the core, feeds
// it events, each with the time at which it happened, and carries out the
// returned effects in order:
//
//	effects := core.Step(now, event)
//
// The contract for the caller of the core:
//
//   - Step is called from one goroutine. The returned effects are valid until
//     the next call.
//   - now is the monotonic time since the process started and never decreases.
//     The points in time in events and effects are on the same clock.
//   - Tick is delivered about every Config.TickInterval; deadlines, the
//     repetition of cancels and the queue depend on it.
//   - Every Send, Call, Resume, Reserve and Cancel effect is answered by
//     exactly one of the events that its comment names. An answer to an attempt
//     that is no longer current is ignored.
//   - Pieces of an answer do not pass through the core; the caller of the core
//     reports only the first token and the end of each attempt.
//
// Everywhere else in this package, a caller is the client that sent a request
// and waits for its answer.
//
// The core does no I/O, reads no clock and starts no goroutine. It draws random
// numbers only from a generator seeded by its Config, so the same events always
// give the same effects.
package dispatch
