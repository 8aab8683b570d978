package membership

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const (
	// prefillTokensPerRequest weighs a request with no known prompt against
	// prompt tokens when choosing which changed loads to tell first.
	prefillTokensPerRequest = 1000
	// loadRefresh is the age from which a told load is told again, as the
	// message that held it may have been lost.
	loadRefresh = 5 * time.Second
	// loadsEarliest is the least time between two heartbeats with loads to one
	// host, as a share of the mean interval.
	loadsEarliest = 0.5
	// loadBytes and otherBytes estimate one load and the rest of a heartbeat.
	loadBytes  = 24
	otherBytes = 60
)

// toldLoad is a load as a member was told it last.
type toldLoad struct {
	wire.UpstreamLoad
	at time.Duration
}

// setLoads takes this host's whole work in flight.
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

// loadsDue returns the loads for a heartbeat. A watcher gets heartbeats more
// often than loads.
func (c *Core) loadsDue(m *member) []wire.UpstreamLoad {
	if m.loadsAt > 0 && !c.due(m.loadsAt, c.interval(), loadsEarliest) {
		return nil
	}
	m.loadsAt = c.now
	return c.loadsFor(m)
}

// loadsFor picks the loads that differ most from what the member was told,
// and one that was told long ago.
func (c *Core) loadsFor(m *member) []wire.UpstreamLoad {
	changed := c.changedLoads(m)
	most := c.loadsPerHeartbeat()
	if len(changed) > most {
		changed = changed[:most]
	}
	for _, l := range changed {
		m.sent[l.Upstream] = toldLoad{UpstreamLoad: l, at: c.now}
	}
	if old, ok := c.oldestLoad(m); ok && len(changed) < most {
		changed = append(changed, old.UpstreamLoad)
		m.toldAgain(old, c.now)
	}
	return changed
}

// changedLoads lists the loads that differ from what the member was told, the
// largest difference first.
func (c *Core) changedLoads(m *member) []wire.UpstreamLoad {
	if m.sent == nil {
		m.sent = make(map[string]toldLoad)
	}
	var changed []wire.UpstreamLoad
	for _, name := range c.loadNames {
		if l := c.loads[name]; l != m.sent[name].UpstreamLoad {
			changed = append(changed, l)
		}
	}
	for name, told := range m.sent {
		if _, ok := c.loads[name]; !ok && told.Requests > 0 {
			changed = append(changed, wire.UpstreamLoad{Upstream: name})
		}
	}
	sort.Slice(changed, func(i, j int) bool {
		a, b := difference(changed[i], m.sent), difference(changed[j], m.sent)
		if a != b {
			return a > b
		}
		return changed[i].Upstream < changed[j].Upstream
	})
	return changed
}

// oldestLoad returns the load told longest ago, if that is long enough.
func (c *Core) oldestLoad(m *member) (toldLoad, bool) {
	var oldest toldLoad
	found := false
	for _, told := range m.sent {
		earlier := !found || told.at < oldest.at || (told.at == oldest.at && told.Upstream < oldest.Upstream)
		if c.now-told.at >= loadRefresh && earlier {
			oldest, found = told, true
		}
	}
	return oldest, found
}

// toldAgain notes a repetition. An upstream without work needs no further one.
func (m *member) toldAgain(l toldLoad, now time.Duration) {
	if l.Requests == 0 {
		delete(m.sent, l.Upstream)
		return
	}
	l.at = now
	m.sent[l.Upstream] = l
}

func difference(l wire.UpstreamLoad, sent map[string]toldLoad) int {
	before := sent[l.Upstream]
	return distance(l.PrefillTokens, before.PrefillTokens) +
		distance(l.MemoryTokens, before.MemoryTokens) +
		prefillTokensPerRequest*distance(l.Requests, before.Requests)
}

func distance(a, b int) int {
	return max(a-b, b-a)
}

// loadsPerHeartbeat is how many loads fit the traffic limit at the shortest
// interval, within the bounds set.
func (c *Core) loadsPerHeartbeat() int {
	if c.cfg.BytesPerSecond == 0 {
		return c.cfg.MaxLoads
	}
	perSecond := spreadShare * float64(c.cfg.BytesPerSecond)
	perHeartbeat := perSecond * c.cfg.HeartbeatInterval.Seconds() / float64(max(1, len(c.peers())))
	fit := (int(perHeartbeat) - otherBytes - c.cfg.OverheadBytes) / loadBytes
	return min(max(fit, c.cfg.MinLoads), c.cfg.MaxLoads)
}
