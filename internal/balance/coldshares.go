package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldListShare is the part of what a cold server may get that the hosts of one list of
	// hosts send there. It is below a half, so that hosts which know of two different lists
	// stay within the bound together.
	coldListShare = 0.48
	// coldBurstShare is the part of it that may come at once: a host sends one request at
	// once, so that it decides how many hosts have a share. The rest is a rate.
	coldBurstShare = 0.5
	// standbyShare is the part of it that the hosts share which choose servers only when
	// others have failed.
	standbyShare = 0.25
	// shareDelay is the time after the first list of hosts for which a host has no share. Its
	// process may have been started anew, and the others may not know of it yet.
	shareDelay = 3 * time.Second
	// hostMemory is how long a host that is no longer listed keeps its place. It may still
	// run, and a list that was read from a restored store may lack it.
	hostMemory = 15 * time.Second
)

// coldShare is the part of one host in what a cold server gets: a leaky bucket.
type coldShare struct {
	// burst is the number of requests that may be sent at once, perSecond the rate.
	burst, perSecond float64
}

// shareHolders holds the hosts that choose servers and among which the shares of cold
// servers are divided, without any message.
type shareHolders struct {
	// names lists the hosts, those included that are remembered, and goneAt holds when these
	// were first missing. version counts the changes.
	names   []string
	goneAt  map[string]time.Duration
	version int
	// knownSince is when the first list was known, with known set.
	known      bool
	knownSince time.Duration
}

// coldHolders divides the shares of cold servers among the hosts that choose servers, and
// the smaller part among those that stand by.
type coldHolders struct{ choosing, standby shareHolders }

// shareOf returns the share of a host of a server that all hosts together may send a number
// of requests in a second.
func (h *coldHolders) shareOf(upstream, host string, total float64) coldShare {
	if len(h.standby.names) == 0 {
		return h.choosing.shareOf(upstream, host, total)
	}
	share := h.choosing.shareOf(upstream, host, (1-standbyShare)*total)
	if share == (coldShare{}) {
		share = h.standby.shareOf(upstream, host, standbyShare*total)
	}
	return share
}

// ready reports whether a host may have shares.
func (h *coldHolders) ready(now time.Duration) bool {
	return h.choosing.known && now-h.choosing.knownSince >= shareDelay
}

// version counts the changes.
func (h *coldHolders) version() int { return h.choosing.version + h.standby.version }

// replace takes a new list of hosts, and remembers those that it lacks for a while.
func (s *shareHolders) replace(hosts []string, now time.Duration) {
	if len(hosts) > 0 && !s.known {
		s.known, s.knownSince = true, now
	}
	if len(s.goneAt) == 0 && slices.Equal(s.names, hosts) {
		return
	}
	goneAt := make(map[string]time.Duration)
	listed := setOf(hosts)
	names := slices.Clone(hosts)
	for _, name := range s.names {
		if listed[name] {
			continue
		}
		at, gone := s.goneAt[name]
		if !gone {
			at = now
		}
		if now-at < hostMemory {
			goneAt[name] = at
			names = append(names, name)
		}
	}
	s.names, s.goneAt = names, goneAt
	s.version++
}

// forget drops the hosts that have been missing for long enough.
func (s *shareHolders) forget(now time.Duration) {
	for name, at := range s.goneAt {
		if now-at >= hostMemory {
			delete(s.goneAt, name)
			s.names = slices.DeleteFunc(s.names, func(other string) bool { return other == name })
			s.version++
		}
	}
}

// rank returns the place of a host among those that may have a share of a server; false if
// it is not listed. All hosts that know the same list find the same places, and the places
// of a host at different servers differ.
func (s *shareHolders) rank(upstream, host string) (int, bool) {
	own, place := shareKey(upstream, host), 0
	listed := false
	for _, name := range s.names {
		if name == host {
			_, gone := s.goneAt[name]
			listed = !gone
			continue
		}
		if key := shareKey(upstream, name); key > own || key == own && name < host {
			place++
		}
	}
	return place, listed
}

// shareKey returns the number by which a host is ranked for a server.
func shareKey(upstream, host string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + host)
}

// shareOf returns the share of a host of a server; see coldHolders.
func (s *shareHolders) shareOf(upstream, host string, total float64) coldShare {
	share, holders := divideShares(total, len(s.names))
	if place, listed := s.rank(upstream, host); listed && place < holders {
		return share
	}
	return coldShare{}
}

// divideShares returns the share of each of the first holders, for the number of hosts that
// may have one, and how many holders there are. total is what they may send in a second.
func divideShares(total float64, hosts int) (share coldShare, holders int) {
	places := max(1, int(coldBurstShare*total))
	rate := max(total-float64(places), (1-coldBurstShare)*total/2)
	holders = min(places, max(1, hosts))
	return coldShare{burst: float64(places) / float64(holders), perSecond: rate / float64(holders)}, holders
}

// coldShareOf returns this host's share of an upstream while that is cold.
func (c *Core) coldShareOf(u *upstream, now time.Duration) coldShare {
	pool := c.coldService(u)
	if pool == nil || !c.holders.ready(now) {
		return coldShare{}
	}
	w := &u.warmth
	version := c.holders.version()
	if w.shareVersion == version {
		return w.share
	}
	w.share, w.shareVersion = c.holders.shareOf(u.ID, c.config.Host, coldListShare*c.coldBound(pool)), version
	return w.share
}

// coldBound returns what a cold server of a service may get in a second from all hosts.
func (c *Core) coldBound(pool *servicePool) float64 {
	factor := c.config.ColdFactor
	if factor <= 0 {
		factor = 1
	}
	return pool.service.ColdPerSecond*factor + c.config.ColdSlack
}

// admitsCold reports whether a request may be sent to an upstream by this host's share, if
// the upstream is cold.
func (c *Core) admitsCold(u *upstream, now time.Duration) bool {
	if !c.isCold(u, now) {
		return true
	}
	share := c.coldShareOf(u, now)
	return share.burst > 0 && u.warmth.levelAt(share, now)+1 <= share.burst
}

// coldAdmitsAt returns the time from which on this host may send a request to an upstream.
func (c *Core) coldAdmitsAt(u *upstream, now time.Duration) time.Duration {
	if c.admitsCold(u, now) {
		return now
	}
	share := c.coldShareOf(u, now)
	if share.burst <= 0 || share.perSecond <= 0 {
		return u.warmth.coldUntil
	}
	excess := u.warmth.levelAt(share, now) + 1 - share.burst
	return min(u.warmth.coldUntil, now+time.Duration(excess/share.perSecond*float64(time.Second)))
}

// recordColdStart counts a request, or a part of one, that is sent to an upstream by this
// host's choice. A warm server may get more than any share, of which only so much counts
// later as keeps a second free of requests.
func (c *Core) recordColdStart(u *upstream, now time.Duration) {
	if c.coldService(u) == nil {
		return
	}
	share := c.coldShareOf(u, now)
	u.warmth.level = min(u.warmth.levelAt(share, now)+1, share.burst+share.perSecond)
	u.warmth.updatedAt = now
}

// warmOnly returns the upstreams that are not cold.
func (c *Core) warmOnly(list []*upstream, now time.Duration) []*upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u *upstream) bool { return c.isCold(u, now) })
}
