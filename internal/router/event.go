package router

import (
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Event is one input of the Core.
type Event interface{ event() }

// Events of the Core.
type (
	// Tick lets time pass.
	Tick struct{}
	// Dispatched is an event of requests or upstreams.
	Dispatched struct{ Event dispatch.Event }
	// PeerReceived is a message from another host, From its address.
	PeerReceived struct {
		From    string
		Message wire.Message
	}
	// HostsListed is the platform's list of hosts and upstreams.
	HostsListed struct{ Hosts []platform.Host }
	// Configured is an event of the configuration's spreading.
	Configured struct{ Event configuration.Event }
	// Shutdown says that the host stops once its work is done.
	Shutdown struct{}
)

func (Tick) event()         {}
func (Dispatched) event()   {}
func (PeerReceived) event() {}
func (HostsListed) event()  {}
func (Configured) event()   {}
func (Shutdown) event()     {}

// Effect is one output of the Core.
type Effect interface{ effect() }

// Effects of the Core.
type (
	// Work is an effect on requests and upstreams.
	Work struct{ Effect dispatch.Effect }
	// SendPeer sends a message to another host; it may be lost.
	SendPeer struct {
		To      string
		Message wire.Message
	}
	// Configure is an effect of the configuration's spreading.
	Configure struct{ Effect configuration.Effect }
	// MemberNoted tells what is now believed of a host, for the log.
	MemberNoted struct{ Effect membership.Effect }
	// Listed says that the upstreams are known for the first time.
	Listed struct{}
	// Probe gives the upstreams to watch.
	Probe struct{ Targets []Target }
)

// Target is one upstream to watch.
type Target struct {
	Name    string
	Address string
	// Service names the plain service; empty for an engine.
	Service string
	// Far says that the upstream is in another data centre.
	Far bool
}

func (Work) effect()        {}
func (SendPeer) effect()    {}
func (Configure) effect()   {}
func (MemberNoted) effect() {}
func (Listed) effect()      {}
func (Probe) effect()       {}
