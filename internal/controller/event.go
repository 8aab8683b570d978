package controller

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/lease"
	"github.com/chestnutline/chestnutline/internal/order"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Event is what happened.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// LeaseEvent hands an answer to the lease.
type LeaseEvent struct{ Event lease.Event }

// OrderEvent hands an answer to the orders.
type OrderEvent struct{ Event order.Event }

// HostsRead answers a ReadHosts.
type HostsRead struct {
	Failed bool
	Hosts  []platform.Host
}

// ConfigurationRead answers a ReadConfiguration.
type ConfigurationRead struct {
	Failed bool
	// Version is the accepted one, 0 for none.
	Version uint64
	// Configuration is nil when Version is not above the one asked for.
	Configuration *intent.Configuration
}

// Shutdown asks for a graceful stop, which ends with Stopped.
type Shutdown struct{}

func (Tick) event()              {}
func (LeaseEvent) event()            {}
func (OrderEvent) event()           {}
func (HostsRead) event()         {}
func (ConfigurationRead) event() {}
func (Shutdown) event()          {}

// Effect is what the caller has to do.
type Effect interface{ effect() }

// LeaseEffect carries out an effect of the lease.
type LeaseEffect struct{ Effect lease.Effect }

// OrderEffect carries out an effect of the orders.
type OrderEffect struct{ Effect order.Effect }

// ReadHosts asks for the platform's list of hosts.
type ReadHosts struct{}

// ReadConfiguration asks for the accepted configuration once its version is
// above the one given, and for the version alone when Wait has passed without.
type ReadConfiguration struct {
	Above uint64
	Wait  time.Duration
}

// ConfigurationApplied tells that the holder goes by a configuration.
type ConfigurationApplied struct{ Version uint64 }

// Stopped ends a Shutdown.
type Stopped struct{}

func (LeaseEffect) effect()             {}
func (OrderEffect) effect()             {}
func (ReadHosts) effect()         {}
func (ReadConfiguration) effect() {}
func (ConfigurationApplied) effect()        {}
func (Stopped) effect()           {}
