// Package order decides which orders the engines of one data centre get.
//
// Core is a pure state machine. It compares what the configuration wants with
// what the engines report and gives the difference as orders, so it needs no
// memory of what it, or an earlier holder of the lease, has ordered. Its caller
// serialises all calls of Step, passes a monotonic time that never falls, sends
// a Tick at least every Config.TickEvery, and answers each ReadStatus and Send
// exactly once with an event of the same token. A Send is carried out only
// before its NotAfter, looked up right before the order is sent, and its
// answer is waited for no longer.
//
// An order's ID follows from the last one that the engine has run, and an
// engine runs an ID once. So an order takes effect only on the state that it
// was decided on. A new holder begins on each engine with an empty order: once
// the engine reports its fencing number, no order of an earlier holder can take
// effect there any more, whether the engine checks the number or not, as long
// as the engine does not lose its memory.
package order
