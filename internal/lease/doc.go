// Package lease decides which of several candidates holds a lease that is kept
// as one object in the platform's object API.
//
// Core is a pure state machine for one candidate. Its caller serialises all
// calls, passes a monotonic time that never falls, sends a Tick at least every
// Config.TickEvery, carries out Read and Write against the object API, and
// answers each exactly once with ReadDone or WriteDone. The holder asks Holding
// for the time until which it may act, and asks again right before it acts.
//
// No clocks of different hosts are compared. A holder counts its lease from
// before it sent the renewal and stops a margin early. A candidate takes over
// once it has itself seen the same object version for the lease's duration and
// a margin; an absent object is treated as a version of its own. The write is
// conditional on that version. The fencing number rises with each change of
// holder.
package lease
