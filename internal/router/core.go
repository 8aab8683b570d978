package router

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Config joins the configurations of the cores.
type Config struct {
	Dispatch      dispatch.Config
	Membership    membership.Config
	Configuration configuration.Config
	// MemberInterval is how often membership's clock advances; the
	// configuration's advances at its own TickEvery.
	MemberInterval time.Duration
}

// Core is the host's one reducer. It passes each event to the core that it
// concerns, and what one core decides on to the others.
type Core struct {
	cfg      Config
	dispatch *dispatch.Core
	members  *membership.Core
	tracker  *configuration.Tracker

	effects []Effect
	// addresses of the other hosts, by name.
	addresses map[string]string
	upstreams listing
	// listed says that a list of upstreams is known; until then a peer is
	// asked for one, at nextListing the next time.
	listed       bool
	nextListing  time.Duration
	listingAsked int
	// nextMember and nextTracker are when the slower clocks advance.
	nextMember  time.Duration
	nextTracker time.Duration
	leaving     bool
}

// New returns a core that knows no other host and no upstream.
func New(cfg Config) (*Core, error) {
	d, err := dispatch.New(cfg.Dispatch)
	if err != nil {
		return nil, err
	}
	m, err := membership.New(cfg.Membership)
	if err != nil {
		return nil, errors.Wrap(err, "membership configuration")
	}
	if err := cfg.Configuration.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configuration tracker")
	}
	return &Core{
		cfg:       cfg,
		dispatch:  d,
		members:   m,
		tracker:   configuration.New(cfg.Configuration),
		addresses: make(map[string]string),
		upstreams: make(listing),
	}, nil
}

// Step takes one event and returns the effects, valid until the next call.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.effects = c.effects[:0]
	switch e := ev.(type) {
	case Tick:
		c.tick(now)
	case Dispatched:
		c.dispatched(now, e.Event)
	case PeerReceived:
		c.peerReceived(now, e)
	case HostsListed:
		c.hostsListed(now, e)
	case Configured:
		c.configured(now, e.Event)
	case Shutdown:
		c.shutdown(now)
	}
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) tick(now time.Duration) {
	c.dispatched(now, dispatch.Tick{})
	if now >= c.nextMember {
		c.nextMember = now + c.cfg.MemberInterval
		c.tell(now)
		c.askForListing(now)
		c.membershipEffects(now, c.members.Tick(now))
	}
	if now >= c.nextTracker {
		c.nextTracker = now + configuration.MaxTickInterval
		c.configured(now, configuration.Tick{})
	}
}

// tell gives membership what the next heartbeats are to carry.
func (c *Core) tell(now time.Duration) {
	work := c.dispatch.OwnWork()
	loads := make([]wire.UpstreamLoad, len(work))
	for i, w := range work {
		loads[i] = wire.UpstreamLoad{
			Upstream:         w.Upstream,
			Requests:         w.Requests,
			PrefillTokens:    w.PrefillTokens,
			LongPromptTokens: w.LongTokens,
			MemoryTokens:     w.MemoryTokens,
		}
	}
	c.membershipEffects(now, c.members.Step(now, membership.LoadsChanged{Loads: loads}))
	suspected, leaving := c.dispatch.UnavailableUpstreams()
	e := membership.UpstreamsChanged{Suspected: suspected, Leaving: leaving}
	c.membershipEffects(now, c.members.Step(now, e))
}

func (c *Core) dispatched(now time.Duration, ev dispatch.Event) {
	drained := false
	for _, f := range c.dispatch.Step(now, ev) {
		c.emit(Work{Effect: f})
		_, last := f.(dispatch.Drained)
		drained = drained || last
	}
	if drained {
		c.membershipEffects(now, c.members.Step(now, membership.Stop{}))
	}
}

func (c *Core) shutdown(now time.Duration) {
	c.leaving = true
	c.membershipEffects(now, c.members.Step(now, membership.Leave{}))
	c.dispatched(now, dispatch.Shutdown{})
}

// Ready says whether a configuration is in force, the upstreams are known and
// the host is not leaving.
func (c *Core) Ready() bool {
	return c.tracker.Ready() && c.listed && !c.leaving
}

// ConfigVersion is the version of the configuration in force, 0 for none.
func (c *Core) ConfigVersion() uint64 {
	return c.tracker.Snapshot().Version
}

// Leaving says whether the host is stopping.
func (c *Core) Leaving() bool {
	return c.leaving
}
