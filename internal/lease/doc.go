// Package lease decides which of several candidates holds a lease that is
// stored as one object in the platform's object API.
//
// Core is a pure state machine for one candidate. Its caller serialises all
// calls, passes a monotonic time that never decreases, sends a Tick at least
// every Config.TickEvery, carries out each Read and Write against the object
// API, and answers each exactly once with a ReadDone or WriteDone. The holder
// calls Holding to learn until when it may act, and calls it again right before
// it acts.
//
// The clocks of different hosts are never compared. A holder counts its lease
// from the moment before it sent the renewal and stops a margin early. A
// candidate takes over once it has itself seen the same object version for the
// lease's duration plus a margin; an absent object counts as a version of its
// own. Its write is conditional on that version. The fencing number rises with
// each change of holder.
package lease
