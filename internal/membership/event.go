package membership

import "github.com/chestnutline/chestnutline/internal/wire"

// Event is one input of Core.Step: MessageReceived, HostsListed, LoadsChanged,
// UpstreamsChanged, ConfigurationApplied, Leave or Stop.
type Event interface {
	event()
}

// MessageReceived delivers a message from another host.
type MessageReceived struct {
	// From is the address where the sender listens, as ip:port.
	From string
	// Message is the decoded message.
	Message wire.Message
}

// ListedHost is one host on the platform's list of hosts.
type ListedHost struct {
	// Name is the name of the host.
	Name string
	// DataCentre is the name of the host's data centre.
	DataCentre string
	// Address is where the host listens for other hosts, as ip:port.
	Address string
}

// HostsListed delivers the platform's list of hosts as it was read last. The
// list only provides addresses to probe: a listed host counts as alive when a
// message from it arrives, and a host that is missing from the list is not
// dead for that reason.
type HostsListed struct {
	// Hosts is the whole list; it replaces the one before.
	Hosts []ListedHost
}

// LoadsChanged delivers this host's work in flight on all upstreams.
type LoadsChanged struct {
	// Loads holds one entry for each upstream with work; it replaces the list
	// before.
	Loads []wire.UpstreamLoad
}

// UpstreamsChanged delivers the upstreams that this host suspects to have
// failed and those that are about to stop.
type UpstreamsChanged struct {
	// Suspected holds the names of the suspected upstreams.
	Suspected []string
	// Leaving holds the names of the upstreams that are about to stop.
	Leaving []string
}

// ConfigurationApplied reports the version of the configuration that is in
// force on this host.
type ConfigurationApplied struct {
	// Version is the version in force.
	Version uint64
}

// Leave starts the departure of this host, which finishes its work and then
// stops. The Core announces it to the other hosts.
type Leave struct{}

// Stop reports that this host's process ends now, with no work left. The Core
// announces it to the other hosts and does nothing more afterwards.
type Stop struct{}

func (MessageReceived) event()      {}
func (HostsListed) event()          {}
func (LoadsChanged) event()         {}
func (UpstreamsChanged) event()     {}
func (ConfigurationApplied) event() {}
func (Leave) event()                {}
func (Stop) event()                 {}

// Effect is one output of the Core: Send, MemberChanged, IncarnationReplaced,
// DigestReceived, ReachabilityChanged, IncarnationRaised or Superseded.
type Effect interface {
	effect()
}

// Send asks the caller to send a message. The protocol tolerates its loss.
type Send struct {
	// To is the address of the receiver, as ip:port.
	To string
	// Message is the message to send.
	Message wire.Message
}

// MemberChanged reports the new view of a member, after its state, address or
// incarnation has changed. A host that was unknown before is reported as well.
type MemberChanged struct {
	// Host is the name of the member.
	Host string
	// DataCentre is the name of the member's data centre.
	DataCentre string
	// Address is where the member listens for other hosts, as ip:port.
	Address string
	// State is the new state. It is Suspect for a live member of an unreachable
	// data centre.
	State wire.State
	// Incarnation identifies the run of the member's process.
	Incarnation uint64
}

// IncarnationReplaced reports that one run of a host's process was replaced: an
// update about a later run under the same name has arrived.
type IncarnationReplaced struct {
	// Host is the name of the host.
	Host string
	// OldIncarnation identifies the run that was replaced.
	OldIncarnation uint64
	// OldState is the last known state of the old incarnation. One that was
	// leaving may still be finishing its work while the new one runs.
	OldState wire.State
}

// DigestReceived delivers the digest that another host sent about itself.
type DigestReceived struct {
	// Host is the name of the other host.
	Host string
	// DataCentre is the name of its data centre.
	DataCentre string
	// Incarnation identifies the run of its process.
	Incarnation uint64
	// ConfigVersion is the highest configuration version the host knows of.
	ConfigVersion uint64
	// Loads replace the last known work of the host on these upstreams;
	// Requests 0 means that it has no work there any more. Its work on other
	// upstreams is unchanged.
	Loads []wire.UpstreamLoad
	// Suspected and Leaving replace the host's lists of upstreams. Both are
	// empty in digests from other data centres.
	Suspected []string
	Leaving   []string
}

// ReachabilityChanged reports that another data centre has become reachable or
// unreachable.
type ReachabilityChanged struct {
	// DataCentre is the name of the other data centre.
	DataCentre string
	// Reachable is true if the data centre can be reached now.
	Reachable bool
}

// IncarnationRaised reports that this host now uses a higher incarnation than
// it was started with, because an earlier run at this address had a higher one
// (the wall clock was set back). Work of this process must carry the new one.
type IncarnationRaised struct {
	// Incarnation is the new incarnation.
	Incarnation uint64
}

// Superseded reports that another process with this host's name and a later
// incarnation runs at another address. This process must finish its work and
// stop; the Core does nothing more.
type Superseded struct {
	// Address is where the other process listens, as ip:port.
	Address string
	// Incarnation is the incarnation of the other process.
	Incarnation uint64
}

func (Send) effect()                {}
func (MemberChanged) effect()       {}
func (IncarnationReplaced) effect() {}
func (DigestReceived) effect()      {}
func (ReachabilityChanged) effect() {}
func (IncarnationRaised) effect()   {}
func (Superseded) effect()          {}
