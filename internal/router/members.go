package router

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// peerReceived passes a message to the core that it concerns.
func (c *Core) peerReceived(now time.Duration, e MessageReceived) {
	if m, ok := e.Message.(wire.TopicMessage); ok {
		c.carriedReceived(now, e.From, m)
		return
	}
	c.membershipEffects(now, c.members.Step(now, membership.MessageReceived{From: e.From, Message: e.Message}))
}

func (c *Core) membershipEffects(now time.Duration, effects []membership.Effect) {
	for _, f := range effects {
		switch m := f.(type) {
		case membership.Send:
			c.emit(SendMessage{To: m.To, Message: m.Message})
		case membership.MemberChanged:
			c.memberChanged(now, m)
		case membership.DigestReceived:
			c.digestReceived(now, m)
		case membership.IncarnationReplaced:
			c.emit(MembershipEffect{Effect: m})
			leaving := m.OldState == wire.Leaving
			c.dispatched(now, dispatch.HostReplaced{Host: m.Host, OldIncarnation: m.OldIncarnation, OldLeaving: leaving})
		case membership.IncarnationRaised:
			c.emit(MembershipEffect{Effect: m})
			c.dispatched(now, dispatch.IncarnationRaised{Incarnation: m.Incarnation})
		case membership.Superseded, membership.ReachabilityChanged:
			c.emit(MembershipEffect{Effect: m})
		}
	}
}

func (c *Core) memberChanged(now time.Duration, m membership.MemberChanged) {
	c.emit(MembershipEffect{Effect: m})
	c.addresses[m.Host] = m.Address
	if m.State == wire.Dead {
		delete(c.addresses, m.Host)
	}
	if m.DataCentre == c.cfg.Dispatch.DataCentre {
		c.dispatched(now, dispatch.HostChanged{
			Host:        m.Host,
			Incarnation: m.Incarnation,
			State:       hostState(m.State),
		})
	}
	c.configured(now, configuration.MembersChanged{Members: c.liveMembers()})
}

// hostState maps a member's state; a suspect or leaving host still owns its work.
func hostState(s wire.State) dispatch.HostState {
	if s == wire.Dead {
		return dispatch.HostDead
	}
	return dispatch.HostAlive
}

func (c *Core) liveMembers() []configuration.Member {
	var live []configuration.Member
	for _, m := range c.members.Members() {
		if m.State == wire.Alive {
			live = append(live, configuration.Member{Host: m.Host, DataCentre: m.DataCentre})
		}
	}
	if !c.leaving {
		self := c.members.Self()
		live = append(live, configuration.Member{Host: self.Host, DataCentre: self.DataCentre})
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Host < live[j].Host })
	return live
}

func (c *Core) digestReceived(now time.Duration, m membership.DigestReceived) {
	c.configured(now, configuration.PeerVersion{Host: m.Host, Version: m.ConfigVersion})
	if m.DataCentre != c.cfg.Dispatch.DataCentre {
		return
	}
	work := make([]dispatch.PeerWork, len(m.Loads))
	for i, l := range m.Loads {
		work[i] = dispatch.PeerWork{
			Upstream:      l.Upstream,
			Requests:      l.Requests,
			PrefillTokens: l.PrefillTokens,
			LongTokens:    l.LongPromptTokens,
			MemoryTokens:  l.MemoryTokens,
		}
	}
	c.dispatched(now, dispatch.PeerReported{Host: m.Host, Work: work})
	for _, name := range m.Leaving {
		c.dispatched(now, dispatch.UpstreamLeaving{Name: name})
	}
}
