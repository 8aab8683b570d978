// Package capacity measures the cost of the parts of the system at several sizes,
// and calculates what a node needs at the target size, for which the system is
// designed. Measure runs everything in one process with virtual time, in-memory
// networks and a few hundred loopback listeners; docs/CAPACITY.md explains the
// result.
//
// Processor time is that of this process, including garbage collection, so the
// figures are valid only for the processor on which they were measured.
package capacity

import "time"

// The target size of the system.
const (
	targetNodes         = 470
	targetDataCentres   = 16
	targetServers       = 5_300
	targetEngines       = 331 // in one data centre
	targetHosts         = 30  // in one data centre
	targetRequests      = 46_000.0
	targetOrganisations = 4_200
	targetModels        = 30
	targetChangesPerDay = 4_900
	daySeconds          = 24 * 60 * 60
)

// The limits for the control work of one node: the share of a core, the memory in
// bytes and the bytes per second.
const (
	limitCore   = 0.032
	limitMemory = 64 << 20
	limitBytes  = 3 << 10 // a second
)

// The highest rates of the object API, in calls per second.
const (
	storeWrites = 500
	storeReads  = 2_000
)

// requestsPerNode is the peak rate of requests per node and second at the target
// size.
const requestsPerNode = targetRequests / targetNodes

// sampleTime is the time for which the cost of one operation is measured.
const sampleTime = 150 * time.Millisecond
