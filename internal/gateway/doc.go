// Package gateway implements the process that answers routed requests on the
// users' platform. It reads the configuration, the registered servers and the
// other hosts from the platform's store, lets internal/balance decide which
// upstream gets a request, and forwards requests and answers unchanged.
//
// One goroutine, the control thread, runs the decision core. Every request,
// every connection to another host and every watch on the store has goroutines
// of its own, which post events to the control thread and carry out the effects
// that the core returns.
package gateway
