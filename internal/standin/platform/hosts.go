package platform

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// HostEntry is one entry of the list of hosts, as a test or operator sets it.
type HostEntry struct {
	platform.Host
	// AddressFrom replaces the address for callers in the data centres named as
	// keys.
	AddressFrom map[string]string `json:"via,omitempty"`
}

// hostList holds the list that is visible and the newer lists that are not
// visible yet.
type hostList struct {
	visible []HostEntry
	pending []pendingList
}

// pendingList is a list of hosts that becomes visible at a later time.
type pendingList struct {
	visibleAt time.Time
	hosts     []HostEntry
}

// schedule adds a list that replaces the visible one at the time due.
func (l *hostList) schedule(hosts []HostEntry, due time.Time) {
	l.pending = append(l.pending, pendingList{visibleAt: due, hosts: hosts})
}

// visibleFrom makes the lists visible that are due at the time now, and returns
// the hosts with their addresses for callers in the data centre.
func (l *hostList) visibleFrom(dataCentre string, now time.Time) []platform.Host {
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	hosts := make([]platform.Host, 0, len(l.visible))
	for _, entry := range l.visible {
		host := entry.Host
		if address, ok := entry.AddressFrom[dataCentre]; ok {
			host.Address = address
		}
		hosts = append(hosts, host)
	}
	return hosts
}
