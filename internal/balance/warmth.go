package balance

import (
	"maps"
	"slices"
	"time"
)

// Cold servers. Which load this answers: the servers of a data centre that come back
// together while requests wait at all hosts. A cold server bears a few requests a second
// from all hosts together and crashes well above that, so that each host sends it no more
// than its share; see coldshares.go.

const (
	// coldShareWorth is by how much a cold server costs less for each part of the slots that
	// are occupied: no other host may use this host's share, while warm servers fill up with
	// requests that hosts do not know of yet.
	coldShareWorth = 0.15
	// slownessGain is the weight of one answer in the observed times to the first piece, and
	// maxColdSlowness the largest factor by which they prolong a prediction.
	slownessGain    = 0.1
	maxColdSlowness = 4.0
	// minObservedPrediction is the shortest prediction that is compared with what came.
	minObservedPrediction = 20 * time.Millisecond
	// registrationDelay is the time within which hosts learn from the store that a server was
	// started anew.
	registrationDelay = 1500 * time.Millisecond
	// minColdChange is by how much a server must stay cold longer than was known for the
	// other hosts to be told.
	minColdChange = 500 * time.Millisecond
)

// ColdCause names how a host learned that a server is cold.
type ColdCause string

// The causes. The first two are what the server says; the others are assumed.
const (
	ColdRegistered ColdCause = "registration"
	ColdAnswered   ColdCause = "answer"
	ColdNewRun     ColdCause = "new_run"
	ColdReturned   ColdCause = "returned"
	ColdTakenBack  ColdCause = "taken_back"
)

// warmth is what a host knows of how long one run of a server stays cold, and what it has
// sent there meanwhile.
type warmth struct {
	// coldUntil is the time until which the server counts as cold. What is learned later
	// prolongs it and never ends it sooner, since it may have been said before.
	coldUntil time.Duration
	// level is the number of requests in the leaky bucket of this host's share at the time
	// updatedAt. All requests fill it, so that it is right when a server becomes cold that
	// has just had some.
	level     float64
	updatedAt time.Duration
	// unreachedAt is when the server last failed to connect, or crashed, and has not answered
	// since; 0 if it has.
	unreachedAt time.Duration
	// toldUntil is the time until which the other hosts know that the server is cold.
	toldUntil time.Duration
	// share is this host's share at the version shareVersion of the list of hosts.
	share        coldShare
	shareVersion int
}

// cold reports whether the server counts as cold.
func (w *warmth) cold(now time.Duration) bool { return now < w.coldUntil }

// levelAt returns the number of requests in the bucket at the given time.
func (w *warmth) levelAt(share coldShare, now time.Duration) float64 {
	return max(0, w.level-share.perSecond*(now-w.updatedAt).Seconds())
}

// coldService returns the service of an upstream if it declares what a cold server bears,
// otherwise nil.
func (c *Core) coldService(u *upstream) *servicePool {
	pool := c.servicePools[u.Service]
	if pool == nil || pool.service == nil || pool.service.ColdPerSecond <= 0 {
		return nil
	}
	return pool
}

// isCold reports whether an upstream is cold, so that it gets only the shares of the hosts.
func (c *Core) isCold(u *upstream, now time.Duration) bool {
	return u.warmth.cold(now) && c.coldService(u) != nil
}

// setCold records that a server is cold until a time, and reports it.
func (c *Core) setCold(u *upstream, until time.Duration, cause ColdCause, host string, now time.Duration) {
	if c.coldService(u) == nil || until <= now || until <= u.warmth.coldUntil {
		return
	}
	u.warmth.coldUntil = until
	c.coldServers[u.ID] = u
	if until-max(now, u.warmth.toldUntil) >= minColdChange {
		u.warmth.toldUntil = until
		c.emit(UpstreamWarmthChanged{Upstream: u.ID, Incarnation: u.Incarnation, ColdTime: until - now, Cause: cause, Host: host})
	}
}

// assumeCold treats a server as cold for the time that its service declares.
func (c *Core) assumeCold(u *upstream, cause ColdCause, now time.Duration) {
	if pool := c.coldService(u); pool != nil {
		c.setCold(u, now+pool.service.ColdTime, cause, "", now)
	}
}

// assumeTakenBackCold treats the servers of a data centre as cold that is back in service.
func (c *Core) assumeTakenBackCold(dataCentre string, now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		if u := c.upstreams[id]; u.DataCentre == dataCentre {
			c.assumeCold(u, ColdTakenBack, now)
		}
	}
}

// assumeRestarted treats a server that is reached again as cold until its registration would
// have told that it was started anew.
func (c *Core) assumeRestarted(u *upstream, now time.Duration) {
	if pool := c.coldService(u); pool != nil {
		c.setCold(u, now+min(pool.service.ColdTime, registrationDelay), ColdReturned, "", now)
	}
}

// applyRegisteredWarmth applies what a registration says of a server's warmth. A run that
// is new to a host which has been running, and says nothing, is assumed to be cold.
func (c *Core) applyRegisteredWarmth(u *upstream, isNewRun bool, now time.Duration) {
	switch {
	case u.ColdTimeKnown:
		c.setCold(u, u.ColdUntil, ColdRegistered, "", now)
	case isNewRun && c.upstreamsKnown:
		c.assumeCold(u, ColdNewRun, now)
	}
}

// handleColdReported records what a server has said about its warmth to another host.
func (c *Core) handleColdReported(e ColdReported, now time.Duration) {
	if u := c.upstreams[e.Upstream]; u != nil && u.Incarnation == e.Incarnation {
		c.setCold(u, now+e.ColdTime, ColdAnswered, e.Host, now)
	}
}

// recordUnreached records that a server failed to connect or crashed. When it answers again
// it may have been started anew, which its registration tells later.
func (u *upstream) recordUnreached(now time.Duration) { u.warmth.unreachedAt = max(1, now) }

// recordAnswered records that a server answered a connection that was begun at the given
// time.
func (c *Core) recordAnswered(u *upstream, begunAt, now time.Duration) {
	if c.recordReached(u, begunAt) {
		for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
			if other := c.upstreams[id]; other.DataCentre == u.DataCentre {
				c.assumeRestarted(other, now)
			}
		}
	}
	if failedAt := u.warmth.unreachedAt; failedAt > 0 {
		u.warmth.unreachedAt = 0
		if begunAt >= failedAt {
			c.assumeRestarted(u, now)
		}
	}
}

// updateWarmth reports the servers that are no longer cold.
func (c *Core) updateWarmth(now time.Duration) {
	if len(c.coldServers) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.coldServers)) {
		u := c.coldServers[id]
		switch {
		case c.upstreams[id] != u:
			delete(c.coldServers, id)
		case !u.warmth.cold(now):
			delete(c.coldServers, id)
			c.emit(UpstreamWarmthChanged{Upstream: id, Incarnation: u.Incarnation})
		}
	}
}

// ColdServers returns the number of servers that count as cold. The gateway exports it as a
// gauge.
func (c *Core) ColdServers() int { return len(c.coldServers) }

// coldSlowness compares the times to the first piece of cold and of warm servers of one
// service, as multiples of the predicted times.
type coldSlowness struct{ cold, warm float64 }

// record counts one answer.
func (s *coldSlowness) record(cold bool, predicted, observed time.Duration) {
	if predicted < minObservedPrediction {
		return
	}
	ratio := min(maxColdSlowness, float64(observed)/float64(predicted))
	average := &s.warm
	if cold {
		average = &s.cold
	}
	if *average == 0 {
		*average = 1
	}
	*average += slownessGain * (ratio - *average)
}

// factor returns by how much the predictions for cold servers are too short, compared with
// those for warm ones: 1 to maxColdSlowness.
func (s *coldSlowness) factor() float64 {
	if s.cold == 0 {
		return 1
	}
	warm := s.warm
	if warm == 0 {
		warm = 1
	}
	return min(maxColdSlowness, max(1, s.cold/warm))
}

// slownessOf returns the factor by which the prediction for an upstream is prolonged.
func (c *Core) slownessOf(u *upstream, now time.Duration) float64 {
	if !c.isCold(u, now) {
		return 1
	}
	return c.servicePools[u.Service].slowness.factor()
}

// observeFirstPiece compares the time to the first piece of an attempt with the prediction.
func (c *Core) observeFirstPiece(r *request, now time.Duration) {
	if r.pendingPlan == nil || len(r.members) == 0 || r.firstPieceAt > 0 {
		return
	}
	leader := r.members[0]
	if pool := c.coldService(leader); pool != nil && r.pendingPlan.slowness > 0 {
		predicted := time.Duration(float64(r.pendingPlan.predictedFirstPiece) / r.pendingPlan.slowness)
		pool.slowness.record(leader.warmth.cold(r.sentAt), predicted, now-r.sentAt)
	}
}
