package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Event is an input of Core.Step: an answer to an effect, a request to shut
// down, or the passing of time.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// LeaseEvent passes an answer to the lease.
type LeaseEvent struct{ Event lease.Event }

// OrderEvent passes an answer to the order planner.
type OrderEvent struct{ Event order.Event }

// HostsRead answers a ReadHosts. Hosts is set only if the read did not fail.
type HostsRead struct {
	Failed bool
	Hosts  []platform.Host
}

// ConfigurationRead answers a ReadConfiguration.
type ConfigurationRead struct {
	Failed bool
	// Version is the version of the accepted configuration, 0 if there is none.
	Version uint64
	// Configuration is nil if Version is not above the version asked for.
	Configuration *intent.Configuration
}

// Shutdown asks for a graceful stop, which ends with the Stopped effect.
type Shutdown struct{}

func (Tick) event()              {}
func (LeaseEvent) event()        {}
func (OrderEvent) event()        {}
func (HostsRead) event()         {}
func (ConfigurationRead) event() {}
func (Shutdown) event()          {}

// Effect is an output of Core.Step: something that the caller has to carry out
// or to log.
type Effect interface{ effect() }

// LeaseEffect asks the caller to carry out an effect of the lease.
type LeaseEffect struct{ Effect lease.Effect }

// OrderEffect asks the caller to carry out an effect of the order planner.
type OrderEffect struct{ Effect order.Effect }

// ReadHosts asks for the platform's list of hosts.
type ReadHosts struct{}

// ReadConfiguration asks for the accepted configuration once its version is
// higher than Above. If there is no such version within Wait, the answer
// carries the version alone.
type ReadConfiguration struct {
	Above uint64
	Wait  time.Duration
}

// ConfigurationApplied reports that the orders now follow a configuration.
type ConfigurationApplied struct{ Version uint64 }

// Stopped reports that the Shutdown is complete.
type Stopped struct{}

func (LeaseEffect) effect()          {}
func (OrderEffect) effect()          {}
func (ReadHosts) effect()            {}
func (ReadConfiguration) effect()    {}
func (ConfigurationApplied) effect() {}
func (Stopped) effect()              {}
