// Package order plans the orders to load and unload models that the engines of
// one data centre get.
//
// Core is a pure state machine. It compares the desired state of the
// configuration with what the engines report and sends the difference as
// orders, so it does not have to remember which orders it, or an earlier holder
// of the lease, has sent. Its caller serialises all calls of Step, passes a
// monotonic time that never decreases, sends a Tick at least every
// Config.TickEvery, and answers each ReadStatus and SendOrder exactly once with
// an event of the same token. The caller sends an order only before its
// NotAfter, which it checks right before sending, and waits for the answer no
// longer than until then.
//
// The ID of an order is derived from the ID of the last order that the engine
// has run, and an engine runs each ID at most once. So an order takes effect
// only on the state that it was decided on. A new holder starts on each engine
// with a barrier, which is an empty order. Once the engine reports the new
// holder's fencing number, no order of an earlier holder can take effect there
// any more, whether or not the engine checks fencing numbers, as long as the
// engine does not lose its memory.
package order
