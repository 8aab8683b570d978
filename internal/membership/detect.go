package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// detect probes, suspects and declares dead the silent hosts of the data centre.
func (c *Core) detect() {
	for _, m := range c.peers() {
		c.detectOne(m)
	}
}

func (c *Core) detectOne(m *member) {
	if m.State == wire.Suspect && c.now-m.changedAt > c.cfg.SuspicionTimeout {
		c.declare(m, wire.Dead)
		return
	}
	if m.State == wire.Suspect || !c.topology.watched[m.Host] {
		return
	}
	if c.now-m.heardAt <= c.maxSilence() {
		m.probedAt = 0
		return
	}
	switch {
	case m.probedAt == 0:
		m.probedAt = c.now
		c.heartbeat(m, true)
	case c.now-m.probedAt <= c.cfg.ProbeTimeout:
	case m.State == wire.Leaving:
		c.declare(m, wire.Dead)
	default:
		c.declare(m, wire.Suspect)
		c.heartbeat(m, true)
	}
}

// maxSilence is how long a watched host may be silent.
func (c *Core) maxSilence() time.Duration {
	interval := c.cfg.WatchInterval
	if c.cfg.Watchers == 0 {
		interval = c.interval()
	}
	return time.Duration(c.cfg.SilenceIntervals) * interval
}

// declare takes this host's own finding about a member.
func (c *Core) declare(m *member, state wire.State) {
	u := m.Member
	u.State = state
	c.merge(u)
}
