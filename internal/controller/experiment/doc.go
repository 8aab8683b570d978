// Package experiment runs the controllers of one data centre in simulated time:
// several candidates with clocks, pauses and deaths of their own, one object
// API with limits of trust, and engines that load, forget and get orders late.
// The same seed gives the same run. It serves the history checks of lease and
// orders and the measurement of their cost.
package experiment
