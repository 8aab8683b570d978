// Package balance decides on which upstreams routed requests run, when one is
// repeated, and when one is refused.
//
// It is a reducer: Core.Step takes one event with the time and returns effects
// as data. It does no I/O and reads no clock, so that the load that each
// decision answers can be played in a test.
//
// For model servers the core keeps a book of the work on every server: its own
// and, from their messages, that of the other hosts. From the book and the
// declared arithmetic of the engines (pass.go) it predicts the next pause and
// the first event of each stream, and places a prompt where the streams already
// there and the new one stay within their objectives (place.go). A long prompt
// is read by several servers, and one larger than a server's memory is held by
// several (group.go).
package balance
