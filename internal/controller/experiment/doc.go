// Package experiment simulates the controllers of one data centre in simulated
// time: several candidates with their own clocks, pauses and restarts, one
// object API that loses, delays and refuses calls, and engines that load
// models, lose their memory and receive orders late. The same seed gives the
// same run. The checks of the history of lease and orders use it, and so does
// the measurement of their cost.
package experiment
