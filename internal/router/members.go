package router

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// receiveMessage passes a message to the core that it concerns.
func (c *Core) receiveMessage(now time.Duration, e MessageReceived) {
	if m, ok := e.Message.(wire.TopicMessage); ok {
		c.receiveTopicMessage(now, e.From, m)
		return
	}
	c.applyMembershipEffects(now, c.members.Step(now, membership.MessageReceived{From: e.From, Message: e.Message}))
}

// applyMembershipEffects carries out the effects of the membership core and
// passes them on to the dispatch core and the configuration tracker.
func (c *Core) applyMembershipEffects(now time.Duration, effects []membership.Effect) {
	for _, f := range effects {
		switch m := f.(type) {
		case membership.Send:
			c.emit(SendMessage{To: m.To, Message: m.Message})
		case membership.MemberChanged:
			c.applyMemberChange(now, m)
		case membership.DigestReceived:
			c.applyDigest(now, m)
		case membership.IncarnationReplaced:
			c.emit(MembershipEffect{Effect: m})
			leaving := m.OldState == wire.Leaving
			c.stepDispatch(now, dispatch.HostReplaced{Host: m.Host, OldIncarnation: m.OldIncarnation, OldLeaving: leaving})
		case membership.IncarnationRaised:
			c.emit(MembershipEffect{Effect: m})
			c.stepDispatch(now, dispatch.IncarnationRaised{Incarnation: m.Incarnation})
		case membership.Superseded, membership.ReachabilityChanged:
			c.emit(MembershipEffect{Effect: m})
		}
	}
}

// applyMemberChange records the address of a host whose state changed and
// reports the change. The dispatch core gets the changes of hosts of this data
// centre only, the configuration tracker the list of all alive hosts.
func (c *Core) applyMemberChange(now time.Duration, m membership.MemberChanged) {
	c.emit(MembershipEffect{Effect: m})
	c.memberAddresses[m.Host] = m.Address
	if m.State == wire.Dead {
		delete(c.memberAddresses, m.Host)
	}
	if m.DataCentre == c.cfg.Dispatch.DataCentre {
		c.stepDispatch(now, dispatch.HostChanged{
			Host:        m.Host,
			Incarnation: m.Incarnation,
			State:       dispatchHostState(m.State),
		})
	}
	c.stepTracker(now, configuration.MembersChanged{Members: c.aliveMembers()})
}

// dispatchHostState maps a member's state to the two states of the dispatch
// core. A suspect or leaving host still owns its work, so it counts as alive.
func dispatchHostState(s wire.State) dispatch.HostState {
	if s == wire.Dead {
		return dispatch.HostDead
	}
	return dispatch.HostAlive
}

// aliveMembers returns the alive hosts of all data centres, ordered by name. It
// includes this host, unless this host is leaving.
func (c *Core) aliveMembers() []configuration.Member {
	var alive []configuration.Member
	for _, m := range c.members.Members() {
		if m.State == wire.Alive {
			alive = append(alive, configuration.Member{Host: m.Host, DataCentre: m.DataCentre})
		}
	}
	if !c.leaving {
		self := c.members.Self()
		alive = append(alive, configuration.Member{Host: self.Host, DataCentre: self.DataCentre})
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].Host < alive[j].Host })
	return alive
}

// applyDigest passes on what another host reports about itself: its
// configuration version to the tracker and, from a host of this data centre,
// its work in flight and the upstreams that it knows to be leaving to the
// dispatch core.
func (c *Core) applyDigest(now time.Duration, m membership.DigestReceived) {
	c.stepTracker(now, configuration.PeerVersion{Host: m.Host, Version: m.ConfigVersion})
	if m.DataCentre != c.cfg.Dispatch.DataCentre {
		return
	}
	work := make([]dispatch.PeerWork, len(m.Loads))
	for i, l := range m.Loads {
		work[i] = dispatch.PeerWork{
			Upstream:         l.Upstream,
			Requests:         l.Requests,
			PrefillTokens:    l.PrefillTokens,
			LongPromptTokens: l.LongPromptTokens,
			MemoryTokens:     l.MemoryTokens,
		}
	}
	c.stepDispatch(now, dispatch.PeerReported{Host: m.Host, Work: work})
	for _, name := range m.Leaving {
		c.stepDispatch(now, dispatch.UpstreamLeaving{Name: name})
	}
}
