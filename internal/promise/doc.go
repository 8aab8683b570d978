// Package promise holds tests of what the system guarantees in spite of faults,
// with one test file for each guarantee. The tests start real processes and
// inject faults into them. Each test runs its processes on a range of loopback
// addresses of its own. The package has no code besides the tests.
package promise
