// Package promise holds tests that start real processes, inject faults into
// them, and check what the system guarantees whatever fails: one test file for
// each guarantee. The processes run on a range of loopback addresses that each
// test has for itself. The package has no code beside the tests.
package promise
