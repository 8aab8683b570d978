package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// initialMeanHeartbeatBytes is the initial estimate of the mean size of a
	// heartbeat, in bytes.
	initialMeanHeartbeatBytes = 120
	// meanHeartbeatWeight is the weight of a new heartbeat in the moving average
	// of the sizes.
	meanHeartbeatWeight = 1.0 / 16
	// peerHeartbeatShare is the share of the traffic limit for heartbeats to
	// hosts of the data centre that do not watch this one. The rest is for
	// watchers, other data centres and updates.
	peerHeartbeatShare = 0.65
	// joinProbes is the number of listed hosts that are probed at once while
	// this host knows no peer.
	joinProbes = 3
	// pushPeers is the number of peers that new updates are pushed to.
	pushPeers = 3
)

// randomJitter returns a random factor from 0.5 to 1.5 for an interval. It
// keeps the timers of the hosts from becoming synchronised.
func (c *Core) randomJitter() float64 {
	return 0.5 + c.rng.Float64()
}

// isDue reports whether an interval with jitter has passed since a time. The
// mean is the current one, not that of the time when the timer was set, so the
// timers adapt when the number of members rises or falls.
func (c *Core) isDue(since, mean time.Duration, jitter float64) bool {
	return c.now-since >= scaleDuration(mean, jitter)
}

// heartbeatInterval returns the mean time between two heartbeats to a host of
// the data centre that does not watch this one. It grows with the number of
// members, so that the heartbeats stay within the traffic limit.
func (c *Core) heartbeatInterval() time.Duration {
	if c.cfg.BytesPerSecond == 0 {
		return c.cfg.HeartbeatInterval
	}
	bytes := float64(len(c.peers())) * c.meanHeartbeatBytes
	seconds := bytes / (peerHeartbeatShare * float64(c.cfg.BytesPerSecond))
	return max(c.cfg.HeartbeatInterval, time.Duration(seconds*float64(time.Second)))
}

// heartbeatIntervalTo returns the mean time between two heartbeats to the peer.
func (c *Core) heartbeatIntervalTo(m *member) time.Duration {
	if c.isWatcher(m) {
		return c.cfg.WatchInterval
	}
	return c.heartbeatInterval()
}

// isWatcher reports whether the peer is one of the few hosts that watch this
// one. It is always false if every host watches every other one.
func (c *Core) isWatcher(m *member) bool {
	return c.cfg.Watchers > 0 && c.topology.watchers[m.Host]
}

// sendDueHeartbeats sends the heartbeats that are due within the data centre
// and updates the mean size of a heartbeat.
func (c *Core) sendDueHeartbeats() {
	for _, m := range c.peers() {
		if !c.isDue(m.heartbeatSentAt, c.heartbeatIntervalTo(m), m.jitter) {
			continue
		}
		size := c.sendHeartbeat(m, false)
		if !c.isWatcher(m) {
			c.meanHeartbeatBytes += meanHeartbeatWeight * (float64(size) - c.meanHeartbeatBytes)
		}
	}
}

// sendBridgeHeartbeats sends the heartbeats that are due to other data centres,
// if this host is a bridge to them.
func (c *Core) sendBridgeHeartbeats() {
	c.refreshTopology()
	for _, name := range c.dataCentreNames {
		links, isBridge := c.topology.links[name]
		if !isBridge {
			continue
		}
		for _, m := range links {
			if c.isDue(m.heartbeatSentAt, c.cfg.BridgeInterval, m.jitter) {
				c.sendHeartbeat(m, false)
			}
		}
		c.probeSilentDataCentre(c.dataCentres[name])
	}
}

// probeSilentDataCentre probes a random host of a data centre if there was no
// contact with it for more than half of UnreachableAfter, or if no host of it is
// linked with this one. The linked hosts may have been replaced meanwhile.
func (c *Core) probeSilentDataCentre(s *dataCentreState) {
	silent := c.now-s.lastContactAt > c.cfg.UnreachableAfter/2 || len(c.topology.links[s.name]) == 0
	if !silent || !c.isDue(s.lastProbedAt, c.cfg.BridgeInterval, s.jitter) {
		return
	}
	s.lastProbedAt, s.jitter = c.now, c.randomJitter()
	if to, ok := c.pickAddress(c.knownAddresses(s.name)); ok {
		c.sendProbe(to, s.name)
	}
}

// knownAddresses returns the addresses at which hosts of a data centre may
// listen, in a fixed order: those of all members, then those of listed hosts.
func (c *Core) knownAddresses(dataCentre string) []string {
	var addresses []string
	for _, name := range c.memberNames {
		if m := c.members[name]; m.DataCentre == dataCentre {
			addresses = append(addresses, m.Address)
		}
	}
	for _, name := range c.listedNames {
		l := c.listedHosts[name]
		m := c.members[name]
		if l.DataCentre == dataCentre && (m == nil || m.Address != l.Address) {
			addresses = append(addresses, l.Address)
		}
	}
	return addresses
}

// pickAddress picks an address at random. The second result is false if there
// is none.
func (c *Core) pickAddress(addresses []string) (string, bool) {
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[c.rng.IntN(len(addresses))], true
}

// probeLostHosts probes random hosts of the data centre that are dead, or that
// are listed but unknown: one host per DeadProbeInterval, or joinProbes hosts
// per HeartbeatInterval while this host knows no peer.
func (c *Core) probeLostHosts() {
	alone := len(c.peers()) == 0
	if c.now < c.nextProbeAt || (c.cfg.DeadProbeInterval == 0 && !alone) {
		return
	}
	mean, count := c.cfg.DeadProbeInterval, 1
	if alone {
		mean, count = c.cfg.HeartbeatInterval, joinProbes
	}
	c.nextProbeAt = c.now + scaleDuration(mean, c.randomJitter())
	addresses := c.lostAddresses()
	for range min(count, len(addresses)) {
		i := c.rng.IntN(len(addresses))
		c.sendProbe(addresses[i], c.self.DataCentre)
		addresses = append(addresses[:i], addresses[i+1:]...)
	}
}

// lostAddresses returns the addresses in this data centre at which no live
// member is known.
func (c *Core) lostAddresses() []string {
	var addresses []string
	for _, name := range c.memberNames {
		m := c.members[name]
		if m.DataCentre == c.self.DataCentre && m.State == wire.Dead && c.cfg.DeadProbeInterval > 0 {
			addresses = append(addresses, m.Address)
		}
	}
	for _, name := range c.listedNames {
		l := c.listedHosts[name]
		m := c.members[name]
		known := m != nil && m.Address == l.Address
		if l.DataCentre == c.self.DataCentre && name != c.self.Host && !known {
			addresses = append(addresses, l.Address)
		}
	}
	return addresses
}

// setListedHosts replaces the platform's list of hosts. It leaves out this host
// and incomplete entries.
func (c *Core) setListedHosts(hosts []ListedHost) {
	c.listedHosts = make(map[string]ListedHost, len(hosts))
	c.listedNames = c.listedNames[:0]
	for _, h := range hosts {
		if h.Name == "" || h.DataCentre == "" || h.Address == "" || h.Address == c.self.Address {
			continue
		}
		c.listedHosts[h.Name] = h
		c.listedNames = insertName(c.listedNames, h.Name)
		c.dataCentreState(h.DataCentre)
	}
}

// schedulePush schedules a push of updates after PushDelay, unless one is
// scheduled already.
func (c *Core) schedulePush() {
	if c.nextPushAt == 0 {
		c.nextPushAt = c.now + scaleDuration(c.cfg.PushDelay, c.randomJitter())
	}
}

// pushUpdates sends heartbeats with the updates to a few random peers and to
// the linked hosts of other data centres, when a scheduled push is due and the
// traffic limit allows it.
func (c *Core) pushUpdates() {
	if c.nextPushAt == 0 || c.now < c.nextPushAt || !c.heartbeatBudget.hasBudget(0) {
		return
	}
	c.nextPushAt = 0
	peers := append([]*member(nil), c.peers()...)
	for range min(pushPeers, len(peers)) {
		i := c.rng.IntN(len(peers))
		c.sendHeartbeat(peers[i], false)
		peers = append(peers[:i], peers[i+1:]...)
	}
	for _, m := range c.links() {
		c.sendHeartbeat(m, false)
	}
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
