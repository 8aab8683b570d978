// Package controller is the reducer of a controller process: it joins the
// candidate for the data centre's lease, the orders to its engines, and the
// reading of the configuration and of the list of hosts.
//
// Core does no I/O. Its caller serialises all calls of Step, passes a monotonic
// time that never falls, sends a Tick at least every TickEvery, and answers
// each effect that asks for something exactly once.
package controller
