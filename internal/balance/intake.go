package balance

import "time"

const (
	// intakeBurst is how much of a limit, beyond one request, may be begun at once.
	// A larger value lets a server be used fully when requests come unevenly. A
	// smaller one leaves more of what servers tolerate for requests that several
	// hosts begin before they know of each other's.
	intakeBurst = 500 * time.Millisecond
	// turnsPerTick is the mean number of hosts that may give a waiting request to
	// the same limited server at the same tick. Requests that wait at many hosts
	// would otherwise all be sent once the server may get one.
	turnsPerTick = 2.0
)

// intake bounds the requests that a server gets from all hosts together while it
// names a limit. It is a leaky bucket: each request that any host is known to begin
// there fills it by one, and it drains at the limit's rate. Requests that other
// hosts begin at the same moment overfill it, and are made up for later.
type intake struct {
	// limit is the number of requests a second; 0 if the server names none.
	limit float64
	// level is the number of requests in the bucket at the time updatedAt.
	level     float64
	updatedAt time.Duration
	// waitingTurn is set while a request that waits on this host may be sent.
	waitingTurn bool
}

// capacity returns the number of requests that the bucket holds.
func (i *intake) capacity() float64 { return 1 + i.limit*intakeBurst.Seconds() }

// levelAt returns the number of requests in the bucket at the given time.
func (i *intake) levelAt(now time.Duration) float64 {
	return max(0, i.level-i.limit*(now-i.updatedAt).Seconds())
}

// setLimit changes the limit. The bucket of a server that begins to name one is
// full, as the server already has more than it can bear.
func (i *intake) setLimit(perSecond float64, now time.Duration) {
	level, began := i.levelAt(now), i.limit == 0
	i.limit, i.updatedAt = perSecond, now
	if began {
		level = i.capacity()
	}
	i.level = level
}

// recordStart counts a request that a host begins on the server.
func (i *intake) recordStart(now time.Duration) {
	if i.limit > 0 {
		i.level, i.updatedAt, i.waitingTurn = i.levelAt(now)+1, now, false
	}
}

// admitsAt returns the time from which on the server may get another request, as
// far as is known now.
func (i *intake) admitsAt(now time.Duration) time.Duration {
	if i.limit == 0 {
		return now
	}
	excess := max(0, i.levelAt(now)+1-i.capacity())
	return now + time.Duration(excess/i.limit*float64(time.Second))
}

// admits reports whether the server may get another request. The request waits on
// this host or has just arrived.
func (i *intake) admits(waiting bool, now time.Duration) bool {
	return i.limit == 0 || i.admitsAt(now) <= now && (!waiting || i.waitingTurn)
}

// handleLimitObserved records the limit that a server names.
func (c *Core) handleLimitObserved(e LimitObserved, now time.Duration) {
	u := c.upstreams[e.Upstream]
	if u == nil || u.intake.limit == e.PerSecond {
		return
	}
	c.emit(UpstreamLimitChanged{Upstream: u.ID, Host: e.Host, Before: u.intake.limit, PerSecond: e.PerSecond})
	u.intake.setLimit(e.PerSecond, now)
}

// drawWaitingTurns draws for each limited server whether requests that wait on this
// host may be sent to it.
func (c *Core) drawWaitingTurns() {
	for _, pool := range c.servicePools {
		for _, u := range pool.upstreams {
			if u.intake.limit > 0 {
				u.intake.waitingTurn = c.random.Float64()*float64(c.otherHosts+1) < turnsPerTick
			}
		}
	}
}

// exceedsLimits reports whether all servers of a request's service name limits that
// leave no place for it in time: what they take until the request would be refused,
// divided among the hosts, is less than what waits on this host already.
func (c *Core) exceedsLimits(r *request, now time.Duration) bool {
	timeLeft := c.refusalTime(r) - now
	admitted := 0.0
	for _, u := range c.servicePools[r.Service].upstreams {
		switch {
		case u.Draining:
		case u.intake.limit == 0:
			return false
		default:
			timeOpen := timeLeft - (u.intake.admitsAt(now) - now)
			if timeOpen >= 0 {
				admitted += 1 + u.intake.limit*timeOpen.Seconds()
			}
		}
	}
	ahead := 0
	for _, other := range c.waiting {
		if other.Service == r.Service {
			ahead++
		}
	}
	return admitted < float64(ahead*(c.otherHosts+1)+1)
}
