package membership

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// initialMeanSize is the first estimate of a heartbeat, in bytes.
	initialMeanSize = 120
	// meanSizeWeight is the share of a new heartbeat in the average.
	meanSizeWeight = 1.0 / 16
	// spreadShare is the share of the traffic limit for heartbeats to hosts
	// that do not watch this one; the rest is for watchers, other data
	// centres and news.
	spreadShare = 0.65
	// joinProbes is how many listed hosts are tried at once when none is known.
	joinProbes = 3
	// pushPeers is how many peers news is pushed to.
	pushPeers = 3
)

// jitter varies an interval so that hosts do not fall into step.
func (c *Core) jitter() float64 {
	return 0.5 + c.rng.Float64()
}

// due tells whether a varied interval has passed. The mean is the one of now,
// not of when the timer was set, so timers follow the number of members both
// up and down.
func (c *Core) due(since, mean time.Duration, jitter float64) bool {
	return c.now-since >= scaled(mean, jitter)
}

// interval is the mean time between two heartbeats to a host of the data
// centre that does not watch this one. It grows with the number of members.
func (c *Core) interval() time.Duration {
	if c.cfg.BytesPerSecond == 0 {
		return c.cfg.HeartbeatInterval
	}
	bytes := float64(len(c.peers())) * c.meanSize
	scaled := bytes / (spreadShare * float64(c.cfg.BytesPerSecond))
	return max(c.cfg.HeartbeatInterval, time.Duration(scaled*float64(time.Second)))
}

// intervalTo is the mean time between two heartbeats to a peer.
func (c *Core) intervalTo(m *member) time.Duration {
	if c.watchedBy(m) {
		return c.cfg.WatchInterval
	}
	return c.interval()
}

// watchedBy tells whether a peer is one of the few that watch this host.
func (c *Core) watchedBy(m *member) bool {
	return c.cfg.Watchers > 0 && c.topology.watchers[m.Host]
}

// sendDue sends the heartbeats that are due within the data centre.
func (c *Core) sendDue() {
	for _, m := range c.peers() {
		if !c.due(m.sentAt, c.intervalTo(m), m.jitter) {
			continue
		}
		size := c.heartbeat(m, false)
		if !c.watchedBy(m) {
			c.meanSize += meanSizeWeight * (float64(size) - c.meanSize)
		}
	}
}

// bridgeDue sends the heartbeats that are due to other data centres.
func (c *Core) bridgeDue() {
	c.refresh()
	for _, name := range c.siteList {
		links, bridge := c.topology.links[name]
		if !bridge {
			continue
		}
		for _, m := range links {
			if c.due(m.sentAt, c.cfg.BridgeInterval, m.jitter) {
				c.heartbeat(m, false)
			}
		}
		c.tryReach(c.sites[name])
	}
}

// tryReach tries any host of a data centre whose usual partners are silent,
// as they may have been replaced meanwhile.
func (c *Core) tryReach(s *site) {
	silent := c.now-s.contactAt > c.cfg.UnreachableAfter/2 || len(c.topology.links[s.name]) == 0
	if !silent || !c.due(s.triedAt, c.cfg.BridgeInterval, s.jitter) {
		return
	}
	s.triedAt, s.jitter = c.now, c.jitter()
	if to, ok := c.pick(c.addresses(s.name)); ok {
		c.probe(to, s.name)
	}
}

// addresses lists where hosts of a data centre may be found, in a fixed order.
func (c *Core) addresses(site string) []string {
	var found []string
	for _, name := range c.names {
		if m := c.members[name]; m.DataCentre == site {
			found = append(found, m.Address)
		}
	}
	for _, name := range c.listing {
		l := c.listed[name]
		m := c.members[name]
		if l.DataCentre == site && (m == nil || m.Address != l.Address) {
			found = append(found, l.Address)
		}
	}
	return found
}

func (c *Core) pick(from []string) (string, bool) {
	if len(from) == 0 {
		return "", false
	}
	return from[c.rng.IntN(len(from))], true
}

// probeDue tries hosts of the data centre that are dead or merely listed.
func (c *Core) probeDue() {
	alone := len(c.peers()) == 0
	if c.now < c.probeAt || (c.cfg.DeadProbeInterval == 0 && !alone) {
		return
	}
	mean, count := c.cfg.DeadProbeInterval, 1
	if alone {
		mean, count = c.cfg.HeartbeatInterval, joinProbes
	}
	c.probeAt = c.now + scaled(mean, c.jitter())
	from := c.lost()
	for range min(count, len(from)) {
		i := c.rng.IntN(len(from))
		c.probe(from[i], c.self.DataCentre)
		from = append(from[:i], from[i+1:]...)
	}
}

// lost lists addresses in this data centre where no live member is known.
func (c *Core) lost() []string {
	var found []string
	for _, name := range c.names {
		m := c.members[name]
		if m.DataCentre == c.self.DataCentre && m.State == wire.Dead && c.cfg.DeadProbeInterval > 0 {
			found = append(found, m.Address)
		}
	}
	for _, name := range c.listing {
		l := c.listed[name]
		m := c.members[name]
		known := m != nil && m.Address == l.Address
		if l.DataCentre == c.self.DataCentre && name != c.self.Host && !known {
			found = append(found, l.Address)
		}
	}
	return found
}

// list takes the platform's list of hosts.
func (c *Core) list(hosts []ListedHost) {
	c.listed = make(map[string]ListedHost, len(hosts))
	c.listing = c.listing[:0]
	for _, h := range hosts {
		if h.Name == "" || h.DataCentre == "" || h.Address == "" || h.Address == c.self.Address {
			continue
		}
		c.listed[h.Name] = h
		c.listing = insertName(c.listing, h.Name)
		c.site(h.DataCentre)
	}
}

// push schedules news to go to a few peers soon.
func (c *Core) push() {
	if c.pushAt == 0 {
		c.pushAt = c.now + scaled(c.cfg.PushDelay, c.jitter())
	}
}

// pushDue sends news to a few random peers and to other data centres.
func (c *Core) pushDue() {
	if c.pushAt == 0 || c.now < c.pushAt || !c.traffic.affords(0) {
		return
	}
	c.pushAt = 0
	peers := append([]*member(nil), c.peers()...)
	for range min(pushPeers, len(peers)) {
		i := c.rng.IntN(len(peers))
		c.heartbeat(peers[i], false)
		peers = append(peers[:i], peers[i+1:]...)
	}
	for _, m := range c.links() {
		c.heartbeat(m, false)
	}
}

func scaled(d time.Duration, by float64) time.Duration {
	return time.Duration(by * float64(d))
}
