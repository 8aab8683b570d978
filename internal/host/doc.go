// Package host assembles the process of an entry host. The process has a
// control thread that steps the router's core and executes its effects, a
// server for callers, one for operators and one for other hosts, and a loop
// that fetches the platform's list of hosts. The control thread is the
// goroutine that runs Loop.Run.
package host
