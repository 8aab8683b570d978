// Package membership decides which hosts are alive and what they tell each
// other, without I/O, clock or goroutine.
//
// The caller owns a Core and uses it from one goroutine. It passes every input
// as an event to Step and calls Tick about every 100 ms; now is the time since
// the process started, on a monotonic clock, and never goes back. Both return
// effects, which the caller carries out in order. Messages may be lost,
// repeated or reordered. The same configuration, seed and calls give the same
// effects.
//
// Within a data centre every host keeps to all others: it sends heartbeats
// with its digest, often to the few hosts that watch it and to the others as
// the traffic limit allows. A watched host that is silent is probed, then
// suspected, then dead; a suspect that hears of it denies by raising its
// refutation. Between data centres a few hosts of each side, chosen by rank,
// exchange heartbeats and news of their own side. Only a member's own data
// centre declares it dead; members of one that cannot be reached are shown as
// suspect.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// Core is the state of membership on one host. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand

	now time.Duration
	// tickedAt is when Tick was called last, never if ticked is false.
	tickedAt time.Duration
	ticked   bool
	stopped  bool
	self     wire.Member
	members  map[string]*member
	names    []string
	sites    map[string]*site
	siteList []string
	topology topology
	// stale says that topology no longer matches the members.
	stale bool
	// unpublished says that a shown account may differ.
	unpublished bool
	forgetAt    time.Duration
	sections    map[string]wire.SectionSummary
	listed      map[string]ListedHost
	listing     []string

	// bulk says that a whole section is being merged, and found what it changed.
	bulk    bool
	found   []wire.Member
	news    map[string]*newsItem
	pushAt  time.Duration
	probeAt time.Duration
	// tables compares the whole table with hosts of the data centre.
	tables comparison
	// traffic pays for heartbeats, tableTraffic for member tables.
	traffic      bucket
	tableTraffic bucket
	// meanSize is the moving average of heartbeats within the data centre, in bytes.
	meanSize float64

	version   uint64
	loads     map[string]wire.UpstreamLoad
	loadNames []string
	upstreams upstreams

	effects []Effect
}

// New returns a Core that knows only itself. The configuration must be valid.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		members:      make(map[string]*member),
		sites:        make(map[string]*site),
		sections:     make(map[string]wire.SectionSummary),
		listed:       make(map[string]ListedHost),
		news:         make(map[string]*newsItem),
		loads:        make(map[string]wire.UpstreamLoad),
		traffic:      newBucket(cfg.BytesPerSecond, cfg.BurstBytes),
		tableTraffic: newBucket(cfg.BytesPerSecond/tableShare, tableBursts*cfg.BurstBytes),
		meanSize:     initialMeanSize,
		stale:        true,
	}
	c.self = wire.Member{
		Host:        cfg.Self.Name,
		DataCentre:  cfg.Self.DataCentre,
		Address:     cfg.Self.Address,
		Incarnation: cfg.Self.Incarnation,
	}
	return c, nil
}

// Self returns this host as the others are told of it.
func (c *Core) Self() wire.Member {
	return c.self
}

// Members returns what is believed of every other host, ordered by name.
func (c *Core) Members() []wire.Member {
	list := make([]wire.Member, 0, len(c.names))
	for _, name := range c.names {
		m := c.members[name]
		shown := m.Member
		shown.State = c.believed(m)
		list = append(list, shown)
	}
	return list
}

// ConfigVersion returns the highest configuration version heard of.
func (c *Core) ConfigVersion() uint64 {
	return c.version
}

// Step takes one event and returns the effects.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.advance(now)
	if c.stopped {
		return c.take()
	}
	switch e := event.(type) {
	case MessageReceived:
		c.receive(e)
	case HostsListed:
		c.list(e.Hosts)
	case LoadsChanged:
		c.setLoads(e.Loads)
	case UpstreamsChanged:
		c.setUpstreams(e)
	case ConfigurationApplied:
		c.learnVersion(e.Version)
	case Leave:
		c.announce(wire.Leaving)
	case Stop:
		c.announce(wire.Dead)
		c.stopped = true
	}
	c.publish()
	return c.take()
}

// Tick does what is due and returns the effects.
func (c *Core) Tick(now time.Duration) []Effect {
	c.excusePause(now)
	c.advance(now)
	if c.stopped {
		return c.take()
	}
	c.detect()
	c.sendDue()
	c.bridgeDue()
	c.probeDue()
	c.pushDue()
	c.forget()
	c.publish()
	return c.take()
}

// advance moves the time and earns the right to send.
func (c *Core) advance(now time.Duration) {
	if now <= c.now {
		return
	}
	c.traffic.earn(now - c.now)
	c.tableTraffic.earn(now - c.now)
	c.now = now
}

// excusePause starts all silence anew when this host was paused itself.
func (c *Core) excusePause(now time.Duration) {
	paused := now-c.tickedAt > c.cfg.MaxPause
	excused := paused || !c.ticked
	c.ticked, c.tickedAt = true, now
	if !excused {
		return
	}
	for _, name := range c.names {
		m := c.members[name]
		m.heardAt = now
		m.probedAt = 0
		if m.State == wire.Suspect {
			m.changedAt = now
		}
	}
	for _, name := range c.siteList {
		c.sites[name].contactAt = now
	}
}

func (c *Core) take() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// announce tells the data centre and the partners elsewhere of this host's own
// new state, at once.
func (c *Core) announce(state wire.State) {
	if c.self.State >= state {
		return
	}
	c.self.State = state
	c.stale = true
	delete(c.sections, c.self.DataCentre)
	c.spread(c.self)
	c.broadcast()
	for _, m := range c.links() {
		c.heartbeat(m, false)
	}
}

// broadcast sends a heartbeat to every live host of the data centre.
func (c *Core) broadcast() {
	for _, m := range c.peers() {
		c.heartbeat(m, false)
	}
}

func (c *Core) learnVersion(version uint64) {
	if version <= c.version {
		return
	}
	c.version = version
	c.push()
}
