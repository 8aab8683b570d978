// Package membership implements failure detection and gossip between hosts: it
// decides which hosts are alive and which messages they send to each other. It
// does no I/O, reads no clock and starts no goroutine.
//
// The caller owns a Core and uses it from one goroutine. It passes every input
// as an event to Step and calls Tick about every 100 ms. The parameter now is
// the time since the process started, on a monotonic clock, and never goes
// back. Both methods return effects, which the caller carries out in order.
// Messages may be lost, repeated or reordered. The same configuration, seed and
// calls give the same effects.
//
// Within a data centre every host sends heartbeats with its digest to all
// others: frequently to the few hosts that watch it, and to the others as often
// as the traffic limit allows. A watched host that is silent is probed, then
// suspected, and then declared dead. A suspect that receives the suspicion
// refutes it by raising its refutation counter. Between data centres, a few
// hosts of each side, chosen by rank, exchange heartbeats and updates about
// their own side. A member is declared dead only by its own data centre; the
// members of a data centre that cannot be reached are shown as suspect.
//
// Every host keeps a member table with one entry for each host it knows.
// Changed entries are gossiped as updates in the heartbeats. Each heartbeat
// also carries a hash of the sender's table; if it differs from the receiver's,
// the two hosts exchange the entries that differ.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// Core holds the membership state of one host. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng *rand.Rand

	// now is the time of the current or last call of Step or Tick.
	now time.Duration
	// lastTickAt is the time of the last call of Tick. It is valid only if
	// ticked is true.
	lastTickAt time.Duration
	ticked     bool
	// stopped is true once this host has stopped or was superseded.
	stopped bool
	// self is this host's own entry in the member table.
	self wire.Member
	// members holds the entries of all other hosts by name, and memberNames
	// their names in sorted order.
	members     map[string]*member
	memberNames []string
	// dataCentres holds the state of all other data centres by name, and
	// dataCentreNames their names in sorted order.
	dataCentres     map[string]*dataCentreState
	dataCentreNames []string
	topology        topology
	// topologyStale is true if topology must be derived again, since the
	// members or the data centres have changed.
	topologyStale bool
	// publishPending is true if the view of a member may differ from the one
	// published last.
	publishPending bool
	nextForgetAt   time.Duration
	// summaryCache holds section summaries by data centre. An entry is deleted
	// when a member of the section changes.
	summaryCache map[string]wire.SectionSummary
	// listedHosts is the platform's list of hosts by name, and listedNames the
	// names in sorted order.
	listedHosts map[string]ListedHost
	listedNames []string

	// mergingSection is true while the entries of a SyncReply are merged, and
	// sectionChanges collects those that changed the table.
	mergingSection bool
	sectionChanges []wire.Member
	// updates holds the updates that are still being gossiped, by host.
	updates map[string]*pendingUpdate
	// nextPushAt is the time of the next push of updates; 0 means that none is
	// scheduled.
	nextPushAt  time.Duration
	nextProbeAt time.Duration
	// tableSync limits the requests that compare the whole table with a host of
	// the same data centre.
	tableSync syncTimer
	// heartbeatBudget limits the bytes sent in heartbeats, tableBudget those
	// sent to exchange member tables.
	heartbeatBudget tokenBucket
	tableBudget     tokenBucket
	// meanHeartbeatBytes is the moving average of the size of heartbeats within
	// the data centre, in bytes.
	meanHeartbeatBytes float64

	// configVersion is the highest configuration version known.
	configVersion uint64
	// loads is this host's work in flight by upstream, and loadNames holds the
	// names of these upstreams in sorted order.
	loads         map[string]wire.UpstreamLoad
	loadNames     []string
	upstreamLists upstreamLists

	// effects are those that the current call has produced so far.
	effects []Effect
}

// New returns a Core that knows no other host. It returns an error if the
// configuration is not valid.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:                cfg,
		rng:                rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		members:            make(map[string]*member),
		dataCentres:        make(map[string]*dataCentreState),
		summaryCache:       make(map[string]wire.SectionSummary),
		listedHosts:        make(map[string]ListedHost),
		updates:            make(map[string]*pendingUpdate),
		loads:              make(map[string]wire.UpstreamLoad),
		heartbeatBudget:    newTokenBucket(cfg.BytesPerSecond, cfg.BurstBytes),
		tableBudget:        newTokenBucket(cfg.BytesPerSecond/tableTrafficDivisor, tableBurstFactor*cfg.BurstBytes),
		meanHeartbeatBytes: initialMeanHeartbeatBytes,
		topologyStale:      true,
	}
	c.self = wire.Member{
		Host:        cfg.Self.Name,
		DataCentre:  cfg.Self.DataCentre,
		Address:     cfg.Self.Address,
		Incarnation: cfg.Self.Incarnation,
	}
	return c, nil
}

// Self returns this host's own entry, as other hosts receive it.
func (c *Core) Self() wire.Member {
	return c.self
}

// Members returns this host's view of every other host, sorted by name. A live
// member of an unreachable data centre has the state Suspect.
func (c *Core) Members() []wire.Member {
	list := make([]wire.Member, 0, len(c.memberNames))
	for _, name := range c.memberNames {
		m := c.members[name]
		view := m.Member
		view.State = c.visibleState(m)
		list = append(list, view)
	}
	return list
}

// ConfigVersion returns the highest configuration version that this host has
// in force or has received from another host.
func (c *Core) ConfigVersion() uint64 {
	return c.configVersion
}

// Step processes one event and returns the effects for the caller to carry out.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.advance(now)
	if c.stopped {
		return c.takeEffects()
	}
	switch e := event.(type) {
	case MessageReceived:
		c.receiveMessage(e)
	case HostsListed:
		c.setListedHosts(e.Hosts)
	case LoadsChanged:
		c.setLoads(e.Loads)
	case UpstreamsChanged:
		c.setUpstreams(e)
	case ConfigurationApplied:
		c.learnConfigVersion(e.Version)
	case Leave:
		c.announceState(wire.Leaving)
	case Stop:
		c.announceState(wire.Dead)
		c.stopped = true
	}
	c.publishChanges()
	return c.takeEffects()
}

// Tick does the periodic work that is due, such as heartbeats, probes and
// failure detection, and returns the effects for the caller to carry out.
func (c *Core) Tick(now time.Duration) []Effect {
	c.resetSilenceAfterPause(now)
	c.advance(now)
	if c.stopped {
		return c.takeEffects()
	}
	c.detectFailures()
	c.sendDueHeartbeats()
	c.sendBridgeHeartbeats()
	c.probeLostHosts()
	c.pushUpdates()
	c.forgetMembers()
	c.publishChanges()
	return c.takeEffects()
}

// advance sets the current time and refills the traffic budgets.
func (c *Core) advance(now time.Duration) {
	if now <= c.now {
		return
	}
	c.heartbeatBudget.refill(now - c.now)
	c.tableBudget.refill(now - c.now)
	c.now = now
}

// resetSilenceAfterPause restarts the measurement of every silence if this host
// itself was paused, or if this is its first tick. Otherwise it would take its
// own pause for a failure of the others.
func (c *Core) resetSilenceAfterPause(now time.Duration) {
	paused := now-c.lastTickAt > c.cfg.MaxPause
	resetNeeded := paused || !c.ticked
	c.ticked, c.lastTickAt = true, now
	if !resetNeeded {
		return
	}
	for _, name := range c.memberNames {
		m := c.members[name]
		m.lastReceivedAt = now
		m.probedAt = 0
		if m.State == wire.Suspect {
			m.changedAt = now
		}
	}
	for _, name := range c.dataCentreNames {
		c.dataCentres[name].lastContactAt = now
	}
}

// takeEffects returns the collected effects and clears them.
func (c *Core) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// announceState changes this host's own state and sends it at once to the data
// centre and to the linked hosts of other data centres. It ignores a state that
// does not come after the current one.
func (c *Core) announceState(state wire.State) {
	if c.self.State >= state {
		return
	}
	c.self.State = state
	c.topologyStale = true
	delete(c.summaryCache, c.self.DataCentre)
	c.gossip(c.self)
	c.broadcast()
	for _, m := range c.links() {
		c.sendHeartbeat(m, false)
	}
}

// broadcast sends a heartbeat to every host of the data centre that is not dead.
func (c *Core) broadcast() {
	for _, m := range c.peers() {
		c.sendHeartbeat(m, false)
	}
}

// learnConfigVersion takes over a configuration version that is higher than the
// known one and schedules a push, so that other hosts learn it soon.
func (c *Core) learnConfigVersion(configVersion uint64) {
	if configVersion <= c.configVersion {
		return
	}
	c.configVersion = configVersion
	c.schedulePush()
}
