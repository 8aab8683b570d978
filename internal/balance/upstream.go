package balance

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/route"
)

// upstream is what the core knows of one registered server.
type upstream struct {
	Upstream
	book
	engine *route.Engine
	// place is its position in the order of its service, from 0 to 1.
	place float64

	health
}

// health is the evidence of an upstream's state from requests.
type health struct {
	seen, failed float64
	// at is when seen and failed were last decayed.
	at time.Duration
	// avoidUntil passes the upstream over; backoff is the last such pause.
	avoidUntil time.Duration
	backoff    time.Duration
}

func (h *health) decay(now time.Duration) {
	if now <= h.at {
		return
	}
	factor := math.Exp2(-float64(now-h.at) / float64(healthHalfLife))
	h.seen *= factor
	h.failed *= factor
	h.at = now
}

// failureShare is the share of failures expected of the next request.
func (h *health) failureShare(now time.Duration) float64 {
	h.decay(now)
	return (h.failed + priorFailed) / (h.seen + priorSeen)
}

func (h *health) good(now time.Duration) {
	h.decay(now)
	h.seen++
	h.backoff = 0
	h.avoidUntil = min(h.avoidUntil, now)
}

// silentWeight is how many failures an unanswered request counts as: it costs
// its caller a time limit and not only a repeat.
const silentWeight = 3

// bad notes a failure and returns whether the upstream is passed over now.
func (h *health) bad(class FailureClass, now time.Duration) bool {
	h.decay(now)
	switch class {
	case FailureNoCapacity:
		h.avoidUntil = max(h.avoidUntil, now+fullBackoff)
		return false
	case FailureServerReplaced:
		h.avoidUntil = now + movedBackoff
		return true
	case FailureNotConnected:
		h.backoff = min(maxBackoff, max(firstBackoff, 2*h.backoff))
		h.avoidUntil = now + h.backoff
		return true
	case FailureNoResponse:
		h.seen += silentWeight
		h.failed += silentWeight
		return false
	default:
		h.seen++
		h.failed++
		return false
	}
}

// site is what requests showed of the way to one data centre.
type site struct {
	// unreached are upstreams that could not be connected to since the last
	// answer from there, with the time.
	unreached map[string]time.Duration
	// avoidUntil passes over the whole data centre.
	avoidUntil time.Duration
}

// unreachedBound is how many upstreams must be out of reach at the same time
// for their data centre to count as cut off; a single one has just crashed.
const unreachedBound = 2

const (
	// unreachedWindow is the time within which they count together.
	unreachedWindow = 1500 * time.Millisecond
	// siteBackoff is the pause between two tries to reach a data centre.
	siteBackoff = time.Second
)

func (c *Core) site(dataCentre string) *site {
	s := c.sites[dataCentre]
	if s == nil {
		s = &site{unreached: make(map[string]time.Duration)}
		c.sites[dataCentre] = s
	}
	return s
}

// noteReach notes whether an upstream was reached, and so its data centre.
func (c *Core) noteReach(u *upstream, reached bool, now time.Duration) {
	s := c.site(u.DataCentre)
	if reached {
		clear(s.unreached)
		s.avoidUntil = 0
		return
	}
	s.unreached[u.ID] = now
	for id, at := range s.unreached {
		if now-at > unreachedWindow {
			delete(s.unreached, id)
		}
	}
	if len(s.unreached) >= unreachedBound && now >= s.avoidUntil {
		s.avoidUntil = now + siteBackoff
		c.emit(UpstreamStateChanged{Upstream: u.DataCentre, State: "data centre passed over", Cause: "upstreams out of reach", RequestsSeen: float64(len(s.unreached))})
	}
}

// usable says whether new requests may be sent there.
func (u *upstream) usable(now time.Duration) bool {
	return !u.Draining && now >= u.avoidUntil
}

// group is the upstreams of one service, in their common order.
type group struct {
	service   *route.Service
	upstreams []*upstream

	starts
}

// order sorts the upstreams so that all hosts agree on their places.
func (g *group) order() {
	key := func(u *upstream) uint64 { return xxhash.Sum64String(u.ID) }
	sort.Slice(g.upstreams, func(i, j int) bool { return key(g.upstreams[i]) < key(g.upstreams[j]) })
	for i, u := range g.upstreams {
		u.place = float64(i) / float64(max(1, len(g.upstreams)-1))
	}
}

// setUpstreams takes over a list of registrations and keeps what is known of
// those that stayed.
func (c *Core) setUpstreams(list []Upstream) {
	next := make(map[string]*upstream, len(list))
	for _, g := range c.groups {
		g.upstreams = nil
	}
	for _, entry := range list {
		u := c.upstreams[entry.ID]
		if u == nil || u.Incarnation != entry.Incarnation || u.Address != entry.Address {
			u = &upstream{}
		}
		u.Upstream = entry
		next[entry.ID] = u
		g := c.group(entry.Service)
		g.upstreams = append(g.upstreams, u)
		if g.service != nil {
			u.engine = g.service.Engine
		}
	}
	c.upstreams = next
	c.orderGroups()
}

func (c *Core) setServices(services []*route.Service) {
	for _, g := range c.groups {
		g.service = nil
	}
	for _, s := range services {
		g := c.group(s.Name)
		g.service = s
		for _, u := range g.upstreams {
			u.engine = s.Engine
		}
	}
}

func (c *Core) group(service string) *group {
	g := c.groups[service]
	if g == nil {
		g = &group{}
		c.groups[service] = g
	}
	return g
}

func (c *Core) orderGroups() {
	for name, g := range c.groups {
		if len(g.upstreams) == 0 && g.service == nil {
			delete(c.groups, name)
			continue
		}
		g.order()
	}
}

// judge notes how an attempt at an upstream ended, here or at another host.
func (c *Core) judge(u *upstream, class FailureClass, now time.Duration) {
	c.noteReach(u, class != FailureNotConnected, now)
	if class == "" {
		u.good(now)
		return
	}
	if u.bad(class, now) {
		c.emit(UpstreamStateChanged{
			Upstream: u.ID, State: "passed over", Cause: string(class),
			FailureShare: u.failureShare(now), RequestsSeen: u.seen,
		})
	}
}
