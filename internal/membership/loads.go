package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// prefillTokensPerRequest is the number of prompt tokens that one request
	// counts for when the changes of loads are compared to decide which loads to
	// send first.
	prefillTokensPerRequest = 1000
	// loadResendAge is the age from which a load is sent again although it has
	// not changed, as the message that carried it may have been lost.
	loadResendAge = 5 * time.Second
	// minLoadsIntervalShare is the minimum time between two heartbeats with
	// loads to one host, as a share of the mean heartbeat interval.
	minLoadsIntervalShare = 0.5
	// estimatedLoadBytes is the estimated size of one load in a heartbeat, and
	// estimatedBaseBytes that of the rest of the heartbeat.
	estimatedLoadBytes = 24
	estimatedBaseBytes = 60
)

// sentLoad is a load as it was last sent to a member, with the time of sending.
type sentLoad struct {
	wire.UpstreamLoad
	sentAt time.Duration
}

// setLoads replaces this host's work in flight. Upstreams without work are left
// out.
func (c *Core) setLoads(loads []wire.UpstreamLoad) {
	c.loads = make(map[string]wire.UpstreamLoad, len(loads))
	c.loadNames = c.loadNames[:0]
	for _, l := range loads {
		if l.Requests > 0 && l.Upstream != "" {
			c.loads[l.Upstream] = l
			c.loadNames = insertName(c.loadNames, l.Upstream)
		}
	}
}

// dueLoads returns the loads to send in a heartbeat to the member, or none if
// the last ones were sent too recently: a watcher gets heartbeats more often
// than loads.
func (c *Core) dueLoads(m *member) []wire.UpstreamLoad {
	if m.loadsSentAt > 0 && !c.isDue(m.loadsSentAt, c.heartbeatInterval(), minLoadsIntervalShare) {
		return nil
	}
	m.loadsSentAt = c.now
	return c.selectLoads(m)
}

// selectLoads picks the loads that differ most from those last sent to the
// member. If there is space left, it adds one that was sent long ago.
func (c *Core) selectLoads(m *member) []wire.UpstreamLoad {
	changed := c.changedLoads(m)
	maxLoads := c.maxLoadsPerHeartbeat()
	if len(changed) > maxLoads {
		changed = changed[:maxLoads]
	}
	for _, l := range changed {
		m.sentLoads[l.Upstream] = sentLoad{UpstreamLoad: l, sentAt: c.now}
	}
	if oldest, ok := c.oldestSentLoad(m); ok && len(changed) < maxLoads {
		changed = append(changed, oldest.UpstreamLoad)
		m.recordResent(oldest, c.now)
	}
	return changed
}

// changedLoads returns the loads that differ from those last sent to the
// member, the largest difference first. An upstream that no longer has work is
// among them with a load of 0.
func (c *Core) changedLoads(m *member) []wire.UpstreamLoad {
	if m.sentLoads == nil {
		m.sentLoads = make(map[string]sentLoad)
	}
	var changed []wire.UpstreamLoad
	for _, name := range c.loadNames {
		if l := c.loads[name]; l != m.sentLoads[name].UpstreamLoad {
			changed = append(changed, l)
		}
	}
	for name, last := range m.sentLoads {
		if _, ok := c.loads[name]; !ok && last.Requests > 0 {
			changed = append(changed, wire.UpstreamLoad{Upstream: name})
		}
	}
	sort.Slice(changed, func(i, j int) bool {
		a, b := loadDifference(changed[i], m.sentLoads), loadDifference(changed[j], m.sentLoads)
		if a != b {
			return a > b
		}
		return changed[i].Upstream < changed[j].Upstream
	})
	return changed
}

// oldestSentLoad returns the load that was sent longest ago, and whether there
// is one that is at least loadResendAge old.
func (c *Core) oldestSentLoad(m *member) (sentLoad, bool) {
	var oldest sentLoad
	found := false
	for _, load := range m.sentLoads {
		earlier := !found || load.sentAt < oldest.sentAt || (load.sentAt == oldest.sentAt && load.Upstream < oldest.Upstream)
		if c.now-load.sentAt >= loadResendAge && earlier {
			oldest, found = load, true
		}
	}
	return oldest, found
}

// recordResent records that a load was sent again. An upstream without work is
// deleted, since its load need not be sent a further time.
func (m *member) recordResent(l sentLoad, now time.Duration) {
	if l.Requests == 0 {
		delete(m.sentLoads, l.Upstream)
		return
	}
	l.sentAt = now
	m.sentLoads[l.Upstream] = l
}

// loadDifference returns how much a load differs from the one last sent, in
// tokens of prompts and memory.
func loadDifference(l wire.UpstreamLoad, sentLoads map[string]sentLoad) int {
	before := sentLoads[l.Upstream]
	return absDifference(l.PrefillTokens, before.PrefillTokens) +
		absDifference(l.MemoryTokens, before.MemoryTokens) +
		prefillTokensPerRequest*absDifference(l.Requests, before.Requests)
}

func absDifference(a, b int) int {
	return max(a-b, b-a)
}

// maxLoadsPerHeartbeat returns the number of loads that a heartbeat can carry
// within the traffic limit at the shortest interval. The result is between
// MinLoads and MaxLoads.
func (c *Core) maxLoadsPerHeartbeat() int {
	if c.cfg.BytesPerSecond == 0 {
		return c.cfg.MaxLoads
	}
	perSecond := peerHeartbeatShare * float64(c.cfg.BytesPerSecond)
	perHeartbeat := perSecond * c.cfg.HeartbeatInterval.Seconds() / float64(max(1, len(c.peers())))
	fit := (int(perHeartbeat) - estimatedBaseBytes - c.cfg.OverheadBytes) / estimatedLoadBytes
	return min(max(fit, c.cfg.MinLoads), c.cfg.MaxLoads)
}
