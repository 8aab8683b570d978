// Package configuration decides how the accepted configuration is kept and how
// it reaches every process.
//
// An accepted configuration is a manifest with content-addressed parts in the
// platform's object API. Package registry writes and reads it there. The
// Tracker of this package makes one process follow the newest version: it is
// a pure state machine. Its caller serialises all calls of Step, passes a
// monotonic time that never falls, sends a Tick at least every TickEvery, and
// carries out the effects in the order given. Effects may fail or their
// answers may be lost; the Tracker has timeouts of its own. Package source
// carries out the effects that concern the object API.
package configuration
