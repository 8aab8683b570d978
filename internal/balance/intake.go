package balance

import "time"

const (
	// intakeBurst is how much of a limit, beyond one request, may be begun at once.
	// A larger value lets a server be used fully when requests come unevenly. A
	// smaller one leaves more of what servers tolerate for requests that several
	// hosts begin before they know of each other's.
	intakeBurst = 500 * time.Millisecond
	// placeTakers is the mean number of requests that take the same free place of a
	// limited server before their hosts know of each other. With a larger value a
	// free place is used sooner, and more often by several requests.
	placeTakers = 0.5
)

// intake bounds the requests that a server gets, by what the server has said in its
// answers. Everything that is sent to a server asks it first.
//
// While a server names a limit on the requests from all hosts together, the intake is a
// leaky bucket: each request that any host is known to begin there fills it by one, and
// it drains at the limit's rate. Requests that other hosts begin at the same moment
// overfill it, and are made up for later. While the server rests, this host sends it
// nothing; other hosts may. A server that is leaving gets nothing any more.
type intake struct {
	// limit is the number of requests a second; 0 if the server names none.
	limit float64
	// level is the number of requests in the bucket at the time updatedAt.
	level     float64
	updatedAt time.Duration
	// restUntil is the end of the rest that the server has asked this host for,
	// restElsewhereUntil of the longest one that it has asked another host for.
	restUntil, restElsewhereUntil time.Duration
	// leaving is set when the server has announced that it is shutting down.
	leaving bool
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
		i.level, i.updatedAt = i.levelAt(now)+1, now
	}
}

// rest keeps this host away from the server for some time. A shorter rest than one asked
// for before does not end that one.
func (i *intake) rest(length, now time.Duration) { i.restUntil = max(i.restUntil, now+length) }

// resting reports whether the server wants no requests from this host.
func (i *intake) resting(now time.Duration) bool { return now < i.restUntil }

// bindsBeyondRegistration reports whether the server has said something that holds even
// if its registration disappears for a while.
func (i *intake) bindsBeyondRegistration(now time.Duration) bool { return i.leaving || i.resting(now) }

// admitsAt returns the time from which on the server may get another request, as
// far as is known now.
func (i *intake) admitsAt(now time.Duration) time.Duration {
	admitsAt := max(now, i.restUntil)
	if i.limit == 0 {
		return admitsAt
	}
	excess := max(0, i.levelAt(now)+1-i.capacity())
	return max(admitsAt, now+time.Duration(excess/i.limit*float64(time.Second)))
}

// admits reports whether a request may be sent to an upstream by the limit that the upstream
// names. Under a limit, a request takes a free place only with a probability that falls with
// the number of requests that may be looking for one, since their hosts do not
// know of each other's choices at once. A waiting request tries once a tick.
func (c *Core) admits(u *upstream, r *request, now time.Duration) bool {
	if u.intake.limit == 0 {
		return true
	}
	if u.intake.admitsAt(now) > now || r.waiting && !c.ticking {
		return false
	}
	return c.random.Float64()*c.contenders(r, now) < placeTakers
}

// contenders returns the expected number of requests of all hosts that look for a
// place at the same time as this one: those that arrived since it has waited, and
// while hosts do not know of each other's choices. A host sends one at a time.
func (c *Core) contenders(r *request, now time.Duration) float64 {
	hosts := float64(c.placingHosts())
	demand := hosts * c.placementRate(r.Service, now)
	unaware := c.reportDelay + TickInterval
	return min(hosts, demand*(now-r.queuedAt+unaware).Seconds())
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

// exceedsLimits reports whether all servers of a request's service name limits that
// leave no place for it in time: what they take until the request would be refused,
// divided among the hosts, is less than what waits on this host already.
func (c *Core) exceedsLimits(r *request, now time.Duration) bool {
	timeLeft := c.refusalTime(r) - now
	admitted := 0.0
	for _, u := range c.upstreamsOf(r.Service) {
		switch {
		case c.barred(u, r) != "":
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
	return admitted < float64(ahead*c.placingHosts()+1)
}
