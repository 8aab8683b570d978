// Package balance decides on which upstreams a routed request runs, when the
// request is sent again and when it is refused.
//
// The package is a state machine without side effects: Core.Step takes one
// event together with the current time and returns the effects that its caller
// must carry out, as data. It does no I/O and reads no clock, so that a test
// can simulate the load that each decision leads to.
//
// For model servers the core keeps a ledger of the work on every server: this
// host's own work and, from their reports, that of the other hosts (ledger.go,
// report.go). From the ledger and the declared engine figures it predicts the
// next pause and the first event of each stream (estimate.go). It places a
// prompt where both the streams that are already there and the new one are
// expected to meet their objectives (place.go).
//
// In a large fleet the coordinator of a data centre chooses the servers for the
// requests of all its hosts. A host asks it (coordination.go), and it answers, or
// lets the request wait in its own queue (coordinator.go).
//
// An upstream is one registered server of a service. A model server works in
// passes, and at the end of each pass every request that it decodes gets one
// event of its stream. A pause is the time between two events of a stream. A
// piece of an answer is one event of a stream, or a part of another answer.
//
// The servers that work on one prompt together are a group. Its leader answers
// the request; the other members are helpers. The prefill of a long prompt is
// shared by all members, and the KV memory of a prompt that exceeds the memory
// of one server is held by several of them (reservation.go).
package balance
