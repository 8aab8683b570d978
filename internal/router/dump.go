package router

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
)

// Dump is a snapshot of the host's state for operators.
type Dump struct {
	Host          string               `json:"host"`
	DataCentre    string               `json:"data_centre"`
	Incarnation   uint64               `json:"incarnation"`
	Ready         bool                 `json:"ready"`
	Configuration configuration.Status `json:"configuration"`
	Members       []MemberDump         `json:"members"`
	Dispatch      dispatch.Dump        `json:"dispatch"`
}

// MemberDump is the last known state of another host.
type MemberDump struct {
	Host        string `json:"host"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// Dump returns a snapshot with at most limit members, upstreams and requests.
func (c *Core) Dump(now time.Duration, limit int) Dump {
	self := c.members.Self()
	d := Dump{
		Host:          self.Host,
		DataCentre:    self.DataCentre,
		Incarnation:   self.Incarnation,
		Ready:         c.Ready(),
		Configuration: c.tracker.Status(),
		Dispatch:      c.dispatch.Dump(now, limit),
	}
	for i, m := range c.members.Members() {
		if i == limit {
			break
		}
		d.Members = append(d.Members, MemberDump{
			Host:        m.Host,
			DataCentre:  m.DataCentre,
			Address:     m.Address,
			Incarnation: m.Incarnation,
			State:       m.State.String(),
		})
	}
	return d
}

// LocalHostCount returns the number of alive hosts in this data centre, this
// host included.
func (c *Core) LocalHostCount() int {
	n := 1
	for _, m := range c.aliveMembers() {
		if m.DataCentre == c.cfg.Dispatch.DataCentre && m.Host != c.cfg.Dispatch.Host {
			n++
		}
	}
	return n
}
