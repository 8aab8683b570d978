// Package controller contains the state machine of a controller process. It
// joins the candidate for the data centre's lease, the planner of the orders to
// the data centre's engines, and the reads of the configuration and of the list
// of hosts.
//
// Core does no I/O. Its caller serialises all calls of Step, passes a monotonic
// time that never decreases, sends a Tick at least every TickEvery, and answers
// each effect that asks for something exactly once.
package controller
