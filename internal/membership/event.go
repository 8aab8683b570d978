package membership

import "github.com/chestnutline/chestnutline/internal/wire"

// Event is one input of Core.Step: Received, DirectoryListed, LoadsChanged,
// UpstreamsChanged, ConfigurationKnown, Leave or Stop.
type Event interface {
	event()
}

// MessageReceived is a message from another host.
type MessageReceived struct {
	// From is the address where the sender listens.
	From    string
	Message wire.Message
}

// ListedHost is one host of the platform's list.
type ListedHost struct {
	Name       string
	DataCentre string
	// Address is where the host listens for other hosts, as ip:port.
	Address string
}

// HostsListed is the platform's list of hosts as read last. It gives
// addresses to try: a listed host counts as alive only when heard from, and a
// host that is not listed is not thereby dead.
type HostsListed struct {
	Hosts []ListedHost
}

// LoadsChanged gives this host's whole work in flight, by upstream.
type LoadsChanged struct {
	Loads []wire.UpstreamLoad
}

// UpstreamsChanged gives the upstreams that this host believes to be
// suspect or leaving.
type UpstreamsChanged struct {
	Suspected []string
	Leaving   []string
}

// ConfigurationApplied tells the version of the configuration in force here.
type ConfigurationApplied struct {
	Version uint64
}

// Leave announces that this host finishes its work and then stops.
type Leave struct{}

// Stop announces that this host's process ends now, with no work left.
type Stop struct{}

func (MessageReceived) event()      {}
func (HostsListed) event()          {}
func (LoadsChanged) event()         {}
func (UpstreamsChanged) event()     {}
func (ConfigurationApplied) event() {}
func (Leave) event()                {}
func (Stop) event()                 {}

// Effect is one output of the Core: Send, MemberChanged, IncarnationReplaced,
// DigestReceived, DataCentreChanged, SelfIncarnation or Superseded.
type Effect interface {
	effect()
}

// Send asks for a message to be sent; losing it is harmless.
type Send struct {
	// To is the address of the receiver, as ip:port.
	To      string
	Message wire.Message
}

// MemberChanged tells what is now believed of a host.
type MemberChanged struct {
	Host        string
	DataCentre  string
	Address     string
	State       wire.State
	Incarnation uint64
}

// IncarnationReplaced tells that a host's process of the incarnation Old is
// gone, since a later one of the same name is heard of.
type IncarnationReplaced struct {
	Host           string
	OldIncarnation uint64
	// OldState is what was believed of the old incarnation. One that was
	// leaving may still be finishing its work beside the new one.
	OldState wire.State
}

// DigestReceived is what another host says of itself.
type DigestReceived struct {
	Host        string
	DataCentre  string
	Incarnation uint64
	// ConfigVersion is the highest configuration version the host knows of.
	ConfigVersion uint64
	// Loads replace what was known of the host's work on these upstreams;
	// Requests 0 means none. Work on other upstreams is unchanged.
	Loads []wire.UpstreamLoad
	// Suspected and Leaving replace the host's lists. Both are empty in
	// digests from other data centres.
	Suspected []string
	Leaving   []string
}

// ReachabilityChanged tells whether another data centre can be reached.
type ReachabilityChanged struct {
	DataCentre string
	Reachable  bool
}

// IncarnationRaised tells that this host goes by a higher incarnation than it
// was started with, since an earlier run at this address had a higher one
// (the wall clock went back). Work of this process must carry the new one.
type IncarnationRaised struct {
	Incarnation uint64
}

// Superseded tells that another process with this host's name and a later
// incarnation runs at another address. This process must finish and stop.
type Superseded struct {
	Address     string
	Incarnation uint64
}

func (Send) effect()                {}
func (MemberChanged) effect()       {}
func (IncarnationReplaced) effect() {}
func (DigestReceived) effect()      {}
func (ReachabilityChanged) effect() {}
func (IncarnationRaised) effect()   {}
func (Superseded) effect()          {}
