// Package soak tests gateways under random faults for a longer time. It runs the
// real gateway program as separate processes next to stand-ins of the platform.
// Processes are stopped, paused, killed and started again; connections are delayed,
// reset, cut or left open without data; the store and the servers misbehave. Faults
// come one after the other and overlap.
//
// Callers keep sending requests and an operator keeps submitting configurations
// throughout. What callers, servers and the store saw is recorded in one History.
// The guarantees are checked against the history alone (check.go), without input or
// output, so that a test can show for each check that it fails when it should.
//
// All faults follow from a seed. The order in which processes run does not, so that
// two runs with the same seed may differ.
package soak
