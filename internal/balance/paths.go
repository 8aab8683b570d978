package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// minUnreachable is the number of upstreams to which connections must fail within
	// unreachableWindow for this host to be cut off from their data centre. A single
	// one may just have crashed.
	minUnreachable    = 2
	unreachableWindow = 1500 * time.Millisecond
	// firstProbeInterval and maxProbeInterval bound the time between two probes of a
	// data centre that this host is cut off from. The time doubles with each probe.
	firstProbeInterval = 250 * time.Millisecond
	maxProbeInterval   = time.Second
	// doubtInterval is the least time between two probes that look whether a failed
	// connection is due to the server or to the path.
	doubtInterval = 500 * time.Millisecond
)

// pathState is what this host's own connections have shown about its path to one data
// centre. What other hosts report says nothing about it.
type pathState struct {
	// failedAt holds, by upstream id, when a connection last failed since the last
	// one that succeeded.
	failedAt map[string]time.Duration
	// lastFailure is the latest of these times. doubtedAt is when a probe was last
	// sent because of a failed connection.
	lastFailure, doubtedAt time.Duration
	// cut is set while this host is cut off from the data centre. probeAt is when the
	// next probe is due, and probeInterval the time until the one after it.
	cut           bool
	probeAt       time.Duration
	probeInterval time.Duration
}

// path returns the state of the path to a data centre, which it creates if necessary.
func (c *Core) path(dataCentre string) *pathState {
	p := c.paths[dataCentre]
	if p == nil {
		p = &pathState{failedAt: make(map[string]time.Duration), doubtedAt: -doubtInterval}
		c.paths[dataCentre] = p
	}
	return p
}

// recordReached records that a connection which was begun at the given time succeeded.
// It is no evidence against later failures: connections that are open live on when
// new ones fail. It reports whether the data centre had been cut off until now.
func (c *Core) recordReached(u *upstream, begunAt time.Duration) bool {
	p := c.path(u.DataCentre)
	if begunAt < p.lastFailure {
		return false
	}
	clear(p.failedAt)
	if !p.cut {
		return false
	}
	p.cut = false
	c.emit(UpstreamStateChanged{Upstream: u.DataCentre, State: "data centre reached again", Cause: "connection to " + u.ID})
	return true
}

// recordUnreachable records that this host could not connect to an upstream. After the
// first failure another upstream of the data centre is probed. After the second one
// the data centre counts as cut off, and the others are looked at too.
func (c *Core) recordUnreachable(u *upstream, now time.Duration) {
	u.recordUnreached(now)
	p := c.path(u.DataCentre)
	p.failedAt[u.ID], p.lastFailure = now, now
	maps.DeleteFunc(p.failedAt, func(_ string, at time.Duration) bool { return now-at > unreachableWindow })
	if p.cut {
		return
	}
	if len(p.failedAt) < minUnreachable {
		c.probeInDoubt(u.DataCentre, minUnreachable-1, now)
		return
	}
	p.cut, p.probeInterval = true, firstProbeInterval
	p.probeAt = now
	c.emit(UpstreamStateChanged{Upstream: u.DataCentre, State: "data centre passed over", Cause: "upstreams out of reach", RequestsSeen: float64(len(p.failedAt))})
	for _, dataCentre := range c.dataCentres {
		if !c.path(dataCentre).cut {
			c.probeInDoubt(dataCentre, minUnreachable, now)
		}
	}
}

// probeInDoubt probes some upstreams of a data centre that is in service, unless that was
// done a short while ago.
func (c *Core) probeInDoubt(dataCentre string, count int, now time.Duration) {
	p := c.path(dataCentre)
	if now-p.doubtedAt < doubtInterval || c.isEvacuated(dataCentre) {
		return
	}
	p.doubtedAt = now
	c.probe(dataCentre, count)
}

// probe tries connections to some upstreams of a data centre, preferably to those that
// have not failed.
func (c *Core) probe(dataCentre string, count int) {
	p := c.path(dataCentre)
	var candidates []*upstream
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		if u := c.upstreams[id]; u.DataCentre == dataCentre {
			candidates = append(candidates, u)
		}
	}
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		return int(p.failedAt[a.ID] - p.failedAt[b.ID])
	})
	for _, u := range candidates[:min(count, len(candidates))] {
		c.emit(ProbeConnection{Upstream: u.ID, Address: u.Address, Timeout: maxConnectTimeout})
	}
}

// handleConnectionProbed records the result of a probe.
func (c *Core) handleConnectionProbed(e ConnectionProbed, now time.Duration) {
	u := c.upstreams[e.Upstream]
	switch {
	case u == nil:
	case e.Connected:
		u.backoff = 0
		u.avoidUntil = min(u.avoidUntil, now)
		c.recordAnswered(u, now, now)
	default:
		c.recordUnreachable(u, now)
		u.recordFailure(FailureNotConnected, now)
	}
}

// probePaths sends the probes that are due.
func (c *Core) probePaths(now time.Duration) {
	for _, dataCentre := range c.dataCentres {
		p := c.path(dataCentre)
		if !p.cut || now < p.probeAt || c.isEvacuated(dataCentre) {
			continue
		}
		p.probeAt = now + p.probeInterval
		p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
		c.probe(dataCentre, 1)
	}
}

// updateDataCentres lists the data centres that have upstreams, and forgets the paths
// to all others.
func (c *Core) updateDataCentres() {
	present := make(map[string]bool)
	for _, u := range c.upstreams {
		present[u.DataCentre] = true
	}
	maps.DeleteFunc(c.paths, func(dataCentre string, _ *pathState) bool { return !present[dataCentre] })
	c.dataCentres = slices.Sorted(maps.Keys(present))
}

// isUnreachable reports whether this host takes an upstream, or its data centre, to be
// out of its reach.
func (c *Core) isUnreachable(u *upstream, now time.Duration) bool {
	return u.backoff > 0 && now < u.avoidUntil || c.path(u.DataCentre).cut
}

// allUnreachable reports whether this host can't reach any server of the request's
// service.
func (c *Core) allUnreachable(r *request, now time.Duration) bool {
	for _, u := range c.upstreamsOf(r.Service) {
		if c.barred(u, r) == "" && !c.isUnreachable(u, now) {
			return false
		}
	}
	return true
}

// isCutOff reports whether this host is cut off from all data centres with upstreams that
// are in service.
func (c *Core) isCutOff() bool {
	open := c.openDataCentres()
	for _, dataCentre := range open {
		if !c.path(dataCentre).cut {
			return false
		}
	}
	return len(open) > 0
}

// isCutOffFrom reports whether this host is cut off from the data centre of an upstream that
// may serve the request. What the operator has taken out of service is out of reach of all
// hosts alike.
func (c *Core) isCutOffFrom(r *request) bool {
	anyCut := false
	for _, dataCentre := range c.dataCentres {
		anyCut = anyCut || c.path(dataCentre).cut
	}
	return anyCut && slices.ContainsFunc(c.upstreamsOf(r.Service), func(u *upstream) bool {
		return c.path(u.DataCentre).cut && c.barred(u, r) == ""
	})
}

// Isolated reports whether this host can't reach any upstream that is in service. It returns
// false if none is registered or in service: other hosts would not do better.
func (c *Core) Isolated(now time.Duration) bool {
	inService := 0
	for _, u := range c.upstreams {
		if c.isEvacuated(u.DataCentre) {
			continue
		}
		if !c.isUnreachable(u, now) {
			return false
		}
		inService++
	}
	return inService > 0
}
