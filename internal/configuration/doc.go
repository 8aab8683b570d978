// Package configuration defines how the accepted configuration is stored and
// how it reaches every process.
//
// An accepted configuration is a manifest together with parts whose names are
// the hashes of their content. Both are kept in the platform's object API,
// where package registry writes and reads them. The Tracker of this package
// makes one process follow the newest accepted version. A Tracker is a pure
// state machine: it does no input or output, reads no clock and starts no
// goroutine. Its caller serialises all calls of Step, passes a monotonic time
// that never decreases, sends a Tick at least every MaxTickInterval, and
// carries out the returned effects in the order given. An effect may fail and
// its answer may be lost, because the Tracker has time limits of its own for
// every call. Package source carries out the effects that concern the object
// API.
package configuration
