// Package gateway is the process that answers routed requests on the users'
// platform: it learns configuration, servers and other hosts from the
// platform's store, has internal/balance decide, and forwards requests and
// answers unchanged.
//
// One goroutine, the control thread, steps the decision core. Every request,
// every connection to another host and every watch on the store has goroutines
// of its own, which post events and carry out effects.
package gateway
