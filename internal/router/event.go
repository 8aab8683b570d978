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
	// DispatchEvent is an event of requests or upstreams.
	DispatchEvent struct{ Event dispatch.Event }
	// MessageReceived is a message from another host, From its address.
	MessageReceived struct {
		From    string
		Message wire.Message
	}
	// HostsListed is the platform's list of hosts and upstreams.
	HostsListed struct{ Hosts []platform.Host }
	// ConfigurationEvent is an event of the configuration's spreading.
	ConfigurationEvent struct{ Event configuration.Event }
	// Shutdown says that the host stops once its work is done.
	Shutdown struct{}
)

func (Tick) event()               {}
func (DispatchEvent) event()      {}
func (MessageReceived) event()    {}
func (HostsListed) event()        {}
func (ConfigurationEvent) event() {}
func (Shutdown) event()           {}

// Effect is one output of the Core.
type Effect interface{ effect() }

// Effects of the Core.
type (
	// DispatchEffect is an effect on requests and upstreams.
	DispatchEffect struct{ Effect dispatch.Effect }
	// SendMessage sends a message to another host; it may be lost.
	SendMessage struct {
		To      string
		Message wire.Message
	}
	// ConfigurationEffect is an effect of the configuration's spreading.
	ConfigurationEffect struct{ Effect configuration.Effect }
	// MembershipEffect tells what is now believed of a host, for the log.
	MembershipEffect struct{ Effect membership.Effect }
	// UpstreamsKnown says that the upstreams are known for the first time.
	UpstreamsKnown struct{}
	// ProbeUpstreams gives the upstreams to watch.
	ProbeUpstreams struct{ Targets []Target }
)

// Target is one upstream to watch.
type Target struct {
	Name    string
	Address string
	// Service names the plain service; empty for an engine.
	Service string
	// Remote says that the upstream is in another data centre.
	Remote bool
}

func (DispatchEffect) effect()      {}
func (SendMessage) effect()         {}
func (ConfigurationEffect) effect() {}
func (MembershipEffect) effect()    {}
func (UpstreamsKnown) effect()      {}
func (ProbeUpstreams) effect()      {}
