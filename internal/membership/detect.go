package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// detectFailures checks all hosts of the data centre for silence. It probes,
// then suspects, and then declares dead those that do not answer.
func (c *Core) detectFailures() {
	for _, m := range c.peers() {
		c.checkPeer(m)
	}
}

// checkPeer takes the step of failure detection that is due for one peer. A
// suspect is declared dead after SuspicionTimeout by every host of the data
// centre; all earlier steps are taken only by the hosts that watch the peer. A
// leaving host that does not answer a probe is declared dead without suspicion.
func (c *Core) checkPeer(m *member) {
	if m.State == wire.Suspect && c.now-m.changedAt > c.cfg.SuspicionTimeout {
		c.declareState(m, wire.Dead)
		return
	}
	if m.State == wire.Suspect || !c.topology.watched[m.Host] {
		return
	}
	if c.now-m.lastReceivedAt <= c.maxSilence() {
		m.probedAt = 0
		return
	}
	switch {
	case m.probedAt == 0:
		m.probedAt = c.now
		c.sendHeartbeat(m, true)
	case c.now-m.probedAt <= c.cfg.ProbeTimeout:
	case m.State == wire.Leaving:
		c.declareState(m, wire.Dead)
	default:
		c.declareState(m, wire.Suspect)
		c.sendHeartbeat(m, true)
	}
}

// maxSilence returns the time for which a watched host may be silent before it
// is probed.
func (c *Core) maxSilence() time.Duration {
	interval := c.cfg.WatchInterval
	if c.cfg.Watchers == 0 {
		interval = c.heartbeatInterval()
	}
	return time.Duration(c.cfg.SilenceIntervals) * interval
}

// declareState sets the state of a member that this host itself has detected,
// and gossips it.
func (c *Core) declareState(m *member, state wire.State) {
	entry := m.Member
	entry.State = state
	c.merge(entry)
}
