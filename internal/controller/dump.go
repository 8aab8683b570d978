package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
)

// Dump is a snapshot of a controller for operators.
type Dump struct {
	DataCentre string `json:"data_centre"`
	Holder     bool   `json:"holder"`
	// Ordering says that orders are given: the lease is held and the
	// configuration was read lately.
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
		ConfigurationVersion: c.version, Stopping: c.stopping,
		Lease: c.lease.Status(now), Orders: c.order.Dump(now, limit),
	}
}

// Holding returns the term of the lease, if it is held now.
func (c *Core) Holding(now time.Duration) (lease.Term, bool) {
	return c.lease.Holding(now)
}
