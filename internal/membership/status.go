package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// Status is the state of a Core for a dump.
type Status struct {
	Self          wire.Member    `json:"self"`
	ConfigVersion uint64         `json:"config_version"`
	Members       []MemberStatus `json:"members"`
	DataCentres   []SiteStatus   `json:"data_centres"`
	// HeartbeatSeconds is the mean interval to a host that does not watch this one.
	HeartbeatSeconds float64 `json:"heartbeat_interval_seconds"`
	// News is how many changed members are still being passed on.
	News int `json:"news"`
	// Listed is the length of the platform's list as read last.
	Listed int `json:"listed"`
}

// MemberStatus is what is believed of one host.
type MemberStatus struct {
	Host        string `json:"host"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Refutation  uint32 `json:"refutation"`
	// HeardSeconds is the time since a message came from the host itself.
	HeardSeconds float64 `json:"heard_seconds_ago"`
	// Watches says that the host watches this one, Watched the reverse.
	Watches bool `json:"watches"`
	Watched bool `json:"watched"`
}

// SiteStatus is what is believed of another data centre.
type SiteStatus struct {
	DataCentre     string  `json:"data_centre"`
	Reachable      bool    `json:"reachable"`
	ContactSeconds float64 `json:"contact_seconds_ago"`
	// Bridge says that this host is one of those that speak to it.
	Bridge bool `json:"bridge"`
}

// Status returns the state as of the last call of Step or Tick.
func (c *Core) Status() Status {
	c.refresh()
	s := Status{
		Self:             c.self,
		ConfigVersion:    c.version,
		HeartbeatSeconds: c.interval().Seconds(),
		News:             len(c.news),
		Listed:           len(c.listed),
	}
	for _, name := range c.names {
		s.Members = append(s.Members, c.memberStatus(c.members[name]))
	}
	for _, name := range c.siteList {
		_, bridge := c.topology.links[name]
		s.DataCentres = append(s.DataCentres, SiteStatus{
			DataCentre:     name,
			Reachable:      c.sites[name].reachable,
			ContactSeconds: c.secondsSince(c.sites[name].contactAt),
			Bridge:         bridge,
		})
	}
	return s
}

func (c *Core) memberStatus(m *member) MemberStatus {
	return MemberStatus{
		Host:         m.Host,
		DataCentre:   m.DataCentre,
		Address:      m.Address,
		State:        c.believed(m).String(),
		Incarnation:  m.Incarnation,
		Refutation:   m.Refutation,
		HeardSeconds: c.secondsSince(m.heardAt),
		Watches:      c.topology.watchers[m.Host],
		Watched:      c.topology.watched[m.Host],
	}
}

func (c *Core) secondsSince(at time.Duration) float64 {
	return (c.now - at).Seconds()
}
