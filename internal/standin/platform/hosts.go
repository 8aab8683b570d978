package platform

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/platform"
)

// HostEntry is one entry of the list as it is set.
type HostEntry struct {
	platform.Host
	// AddressFrom overrides the address for viewers of the data centres named.
	AddressFrom map[string]string `json:"via,omitempty"`
}

// hostList keeps the newest lists until they are visible.
type hostList struct {
	visible []HostEntry
	pending []pendingHosts
}

type pendingHosts struct {
	due   time.Time
	hosts []HostEntry
}

func (l *hostList) replace(hosts []HostEntry, due time.Time) {
	l.pending = append(l.pending, pendingHosts{due: due, hosts: hosts})
}

func (l *hostList) view(viewer string, now time.Time) []platform.Host {
	for len(l.pending) > 0 && !now.Before(l.pending[0].due) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	hosts := make([]platform.Host, 0, len(l.visible))
	for _, entry := range l.visible {
		host := entry.Host
		if address, ok := entry.AddressFrom[viewer]; ok {
			host.Address = address
		}
		hosts = append(hosts, host)
	}
	return hosts
}
