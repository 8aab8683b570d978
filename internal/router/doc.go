// Package router is the reducer of an entry host: it joins the decision cores
// for requests, membership and configuration.
//
// Core takes one event at a time, passes it to the core that it concerns, and
// what that core decides on to the others. Like them it does no I/O, reads no
// clock and starts no goroutine: the same events give the same effects. The
// caller steps it from one goroutine, delivers Tick about every 10 ms, and
// carries out the effects in order. Package host does so in the real process.
package router
