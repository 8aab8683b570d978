package router

import (
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// The events of the Core.
type (
	// Tick reports that time has passed. The caller must deliver it about every
	// 10 ms.
	Tick struct{}
	// DispatchEvent carries an event about a request or an upstream to the
	// dispatch core.
	DispatchEvent struct{ Event dispatch.Event }
	// MessageReceived carries a message from another host. From is the address
	// where the sender listens.
	MessageReceived struct {
		From    string
		Message wire.Message
	}
	// HostsListed carries the platform's current list of all hosts and
	// upstreams.
	HostsListed struct{ Hosts []platform.Host }
	// ConfigurationEvent carries an event about fetching and distributing the
	// configuration to the configuration tracker.
	ConfigurationEvent struct{ Event configuration.Event }
	// Shutdown reports that the process was asked to stop. The host takes no
	// new requests and stops once the requests in flight have ended.
	Shutdown struct{}
)

func (Tick) event()               {}
func (DispatchEvent) event()      {}
func (MessageReceived) event()    {}
func (HostsListed) event()        {}
func (ConfigurationEvent) event() {}
func (Shutdown) event()           {}

// Effect is an output of Core.Step, which the caller carries out.
type Effect interface{ effect() }

// The effects of the Core.
type (
	// DispatchEffect carries an effect of the dispatch core on a request or an
	// upstream.
	DispatchEffect struct{ Effect dispatch.Effect }
	// SendMessage asks for a message to be sent to another host; To is the
	// address of that host. The message may be lost.
	SendMessage struct {
		To      string
		Message wire.Message
	}
	// ConfigurationEffect carries an effect of the configuration tracker, such
	// as reading a version from the store or applying it.
	ConfigurationEffect struct{ Effect configuration.Effect }
	// MembershipEffect reports a change in what this host knows of the members,
	// for the log, the metrics and the forwarding of claims.
	MembershipEffect struct{ Effect membership.Effect }
	// UpstreamsKnown reports that the first list of upstreams has been
	// received.
	UpstreamsKnown struct{}
	// ProbeUpstreams replaces the set of upstreams to probe.
	ProbeUpstreams struct{ Targets []Target }
)

// Target is an upstream to probe.
type Target struct {
	Name    string
	Address string
	// Service names the plain service; it is empty for an engine.
	Service string
	// Remote reports whether the upstream is in another data centre.
	Remote bool
}

func (DispatchEffect) effect()      {}
func (SendMessage) effect()         {}
func (ConfigurationEffect) effect() {}
func (MembershipEffect) effect()    {}
func (UpstreamsKnown) effect()      {}
func (ProbeUpstreams) effect()      {}
