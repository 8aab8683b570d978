package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// Status is a snapshot of the state of a Core for operators.
type Status struct {
	// Self is this host's own entry.
	Self wire.Member `json:"self"`
	// ConfigVersion is the highest configuration version known.
	ConfigVersion uint64 `json:"config_version"`
	// Members holds one entry for each other host, sorted by name.
	Members []MemberStatus `json:"members"`
	// DataCentres holds one entry for each other data centre, sorted by name.
	DataCentres []DataCentreStatus `json:"data_centres"`
	// HeartbeatIntervalSeconds is the mean interval between two heartbeats to a
	// host of the data centre that does not watch this one.
	HeartbeatIntervalSeconds float64 `json:"heartbeat_interval_seconds"`
	// PendingUpdates is the number of updates that are still being gossiped.
	PendingUpdates int `json:"news"`
	// ListedHosts is the number of hosts on the platform's list as read last.
	ListedHosts int `json:"listed"`
}

// MemberStatus is this host's view of another host.
type MemberStatus struct {
	// Host is the name of the other host.
	Host string `json:"host"`
	// DataCentre is the name of its data centre.
	DataCentre string `json:"data_centre"`
	// Address is where it listens for other hosts, as ip:port.
	Address string `json:"address"`
	// State is the name of its state: alive, suspect, leaving or dead.
	State string `json:"state"`
	// Incarnation and Refutation are the version of its entry, as in
	// wire.Member.
	Incarnation uint64 `json:"incarnation"`
	Refutation  uint32 `json:"refutation"`
	// SecondsSinceReceived is the time since the last heartbeat from the host
	// itself, in seconds.
	SecondsSinceReceived float64 `json:"heard_seconds_ago"`
	// IsWatcher is true if the other host watches this one, and IsWatched if
	// this host watches the other one.
	IsWatcher bool `json:"watches"`
	IsWatched bool `json:"watched"`
}

// DataCentreStatus is this host's view of another data centre.
type DataCentreStatus struct {
	// DataCentre is the name of the other data centre.
	DataCentre string `json:"data_centre"`
	// Reachable is true if a message from the data centre has arrived within
	// UnreachableAfter, at this host or at a peer.
	Reachable bool `json:"reachable"`
	// SecondsSinceContact is the time since the last contact, in seconds.
	SecondsSinceContact float64 `json:"contact_seconds_ago"`
	// IsBridge is true if this host is one of those that exchange heartbeats
	// with the data centre.
	IsBridge bool `json:"bridge"`
}

// Status returns a snapshot of the state after the last call of Step or Tick.
func (c *Core) Status() Status {
	c.refreshTopology()
	s := Status{
		Self:                     c.self,
		ConfigVersion:            c.configVersion,
		HeartbeatIntervalSeconds: c.heartbeatInterval().Seconds(),
		PendingUpdates:           len(c.updates),
		ListedHosts:              len(c.listedHosts),
	}
	for _, name := range c.memberNames {
		s.Members = append(s.Members, c.memberStatus(c.members[name]))
	}
	for _, name := range c.dataCentreNames {
		_, isBridge := c.topology.links[name]
		s.DataCentres = append(s.DataCentres, DataCentreStatus{
			DataCentre:          name,
			Reachable:           c.dataCentres[name].reachable,
			SecondsSinceContact: c.secondsSince(c.dataCentres[name].lastContactAt),
			IsBridge:            isBridge,
		})
	}
	return s
}

func (c *Core) memberStatus(m *member) MemberStatus {
	return MemberStatus{
		Host:                 m.Host,
		DataCentre:           m.DataCentre,
		Address:              m.Address,
		State:                c.visibleState(m).String(),
		Incarnation:          m.Incarnation,
		Refutation:           m.Refutation,
		SecondsSinceReceived: c.secondsSince(m.lastReceivedAt),
		IsWatcher:            c.topology.watchers[m.Host],
		IsWatched:            c.topology.watched[m.Host],
	}
}

// secondsSince returns the time from at until now in seconds.
func (c *Core) secondsSince(at time.Duration) float64 {
	return (c.now - at).Seconds()
}
