package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// Dump is a snapshot of a controller for operators.
type Dump struct {
	DataCentre string `json:"data_centre"`
	// Holder reports whether this controller holds the lease.
	Holder bool `json:"holder"`
	// Ordering reports that the controller may give orders: it holds the lease,
	// read the configuration recently and is not shutting down.
	Ordering             bool         `json:"ordering"`
	ConfigurationVersion uint64       `json:"configuration_version"`
	Stopping             bool         `json:"stopping"`
	Lease                lease.Status `json:"lease"`
	Orders               order.Dump   `json:"orders"`
}

// Dump returns a snapshot with at most limit engines.
func (c *Core) Dump(now time.Duration, limit int) Dump {
	_, held := c.lease.Holding(now)
	return Dump{
		DataCentre: c.cfg.DataCentre, Holder: held, Ordering: c.ordering,
		ConfigurationVersion: c.configurationVersion, Stopping: c.stopping,
		Lease: c.lease.Status(now), Orders: c.order.Dump(now, limit),
	}
}

// Holding returns the current term of the lease, and whether this controller
// holds the lease at the time now.
func (c *Core) Holding(now time.Duration) (lease.Term, bool) {
	return c.lease.Holding(now)
}
