// Package capacity measures what the parts of the system cost at several sizes
// and works out what a node spends at the size of the users' aim. Measure runs
// everything in one process with virtual time, in-memory networks and a few
// hundred loopback listeners; docs/CAPACITY.md explains the result.
//
// Processor time is that of this process, garbage collection included, so the
// figures hold for the processor they were measured on.
package capacity

import "time"

// The size of the users' aim.
const (
	aimNodes         = 470
	aimDataCentres   = 16
	aimServers       = 5_300
	aimEngines       = 331 // in one data centre
	aimHosts         = 30  // in one data centre
	aimRequests      = 46_000.0
	aimOrganisations = 4_200
	aimModels        = 30
	aimChangesPerDay = 4_900
	daySeconds       = 24 * 60 * 60
)

// Limits for control on one node.
const (
	limitCore   = 0.032
	limitMemory = 64 << 20
	limitBytes  = 3 << 10 // a second
)

// Rates of the object API, in calls a second.
const (
	storeWrites = 500
	storeReads  = 2_000
)

// requestsPerNode is the aim's peak, a node and second.
const requestsPerNode = aimRequests / aimNodes

// sampleTime is how long the cost of one operation is measured.
const sampleTime = 150 * time.Millisecond
