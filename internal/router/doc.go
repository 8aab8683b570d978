// Package router contains the decision core of an entry host. It joins the
// cores that decide on requests (package dispatch), on the members of the
// system (package membership) and on the configuration (package configuration).
//
// Core takes one event at a time, passes it to the core that the event
// concerns, and passes the decisions of that core on to the other cores where
// they depend on them. Like those cores, it does no I/O, reads no clock and
// starts no goroutine, so the same sequence of events always gives the same
// effects. The caller must step the core from one goroutine, deliver Tick about
// every 10 ms, and carry out the effects in order. In a running host, package
// host is that caller.
package router
