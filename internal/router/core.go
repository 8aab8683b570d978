package router

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Config joins the configurations of the three cores.
type Config struct {
	Dispatch      dispatch.Config
	Membership    membership.Config
	Configuration configuration.Config
	// MembershipInterval is the time between two ticks of the membership core.
	// The configuration tracker is ticked every configuration.MaxTickInterval,
	// and the dispatch core at each Tick.
	MembershipInterval time.Duration
}

// Core is the decision core of a host. It passes each event to the core that
// the event concerns, and passes the decisions of that core on to the others.
type Core struct {
	cfg      Config
	dispatch *dispatch.Core
	members  *membership.Core
	tracker  *configuration.Tracker

	// effects collects the effects of the current step.
	effects []Effect
	// memberAddresses holds the address of every other host that is not known
	// to be dead, by host name.
	memberAddresses map[string]string
	// upstreams is the list of upstreams in force, by name.
	upstreams upstreamList
	// upstreamsKnown reports whether a list of upstreams has been received.
	// Until then this host requests the list from another host, the next time
	// at nextListRequest. listRequests counts these requests.
	upstreamsKnown  bool
	nextListRequest time.Duration
	listRequests    int
	// nextMembershipTick and nextTrackerTick are the times of the next ticks of
	// the cores that are ticked less often than dispatch.
	nextMembershipTick time.Duration
	nextTrackerTick    time.Duration
	// leaving reports whether the host is shutting down.
	leaving bool
}

// New returns a core that knows no other host and no upstream. It fails if one
// of the configurations is not valid.
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
		cfg:             cfg,
		dispatch:        d,
		members:         m,
		tracker:         configuration.New(cfg.Configuration),
		memberAddresses: make(map[string]string),
		upstreams:       make(upstreamList),
	}, nil
}

// Step processes one event and returns the effects to carry out. The returned
// slice is valid until the next call.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.effects = c.effects[:0]
	switch e := ev.(type) {
	case Tick:
		c.tick(now)
	case DispatchEvent:
		c.stepDispatch(now, e.Event)
	case MessageReceived:
		c.receiveMessage(now, e)
	case HostsListed:
		c.applyHostList(now, e)
	case ConfigurationEvent:
		c.stepTracker(now, e.Event)
	case Shutdown:
		c.shutdown(now)
	}
	return c.effects
}

// emit adds an effect to those that the current step returns.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// tick passes the time on to the dispatch core, and to the other two cores when
// their intervals have passed.
func (c *Core) tick(now time.Duration) {
	c.stepDispatch(now, dispatch.Tick{})
	if now >= c.nextMembershipTick {
		c.nextMembershipTick = now + c.cfg.MembershipInterval
		c.publishLocalState(now)
		c.requestUpstreamList(now)
		c.applyMembershipEffects(now, c.members.Tick(now))
	}
	if now >= c.nextTrackerTick {
		c.nextTrackerTick = now + configuration.MaxTickInterval
		c.stepTracker(now, configuration.Tick{})
	}
}

// publishLocalState gives the membership core the work in flight and the
// unavailable upstreams of this host, which the next heartbeats carry to other
// hosts.
func (c *Core) publishLocalState(now time.Duration) {
	work := c.dispatch.OwnWork()
	loads := make([]wire.UpstreamLoad, len(work))
	for i, w := range work {
		loads[i] = wire.UpstreamLoad{
			Upstream:         w.Upstream,
			Requests:         w.Requests,
			PrefillTokens:    w.PrefillTokens,
			LongPromptTokens: w.LongPromptTokens,
			MemoryTokens:     w.MemoryTokens,
		}
	}
	c.applyMembershipEffects(now, c.members.Step(now, membership.LoadsChanged{Loads: loads}))
	suspected, leaving := c.dispatch.UnavailableUpstreams()
	e := membership.UpstreamsChanged{Suspected: suspected, Leaving: leaving}
	c.applyMembershipEffects(now, c.members.Step(now, e))
}

// stepDispatch passes an event to the dispatch core and emits its effects. Once
// the dispatch core has no requests left, it announces to the other hosts that
// this process ends.
func (c *Core) stepDispatch(now time.Duration, ev dispatch.Event) {
	drained := false
	for _, f := range c.dispatch.Step(now, ev) {
		c.emit(DispatchEffect{Effect: f})
		_, isDrained := f.(dispatch.Drained)
		drained = drained || isDrained
	}
	if drained {
		c.applyMembershipEffects(now, c.members.Step(now, membership.Stop{}))
	}
}

// shutdown starts to drain the host: it announces to the other hosts that this
// one is leaving, and lets the dispatch core finish the requests in flight.
func (c *Core) shutdown(now time.Duration) {
	c.leaving = true
	c.applyMembershipEffects(now, c.members.Step(now, membership.Leave{}))
	c.stepDispatch(now, dispatch.Shutdown{})
}

// Ready reports whether the host can serve callers: a configuration is in
// force, the upstreams are known and the host is not leaving.
func (c *Core) Ready() bool {
	return c.tracker.Ready() && c.upstreamsKnown && !c.leaving
}

// ConfigVersion returns the version of the configuration in force, 0 if there
// is none.
func (c *Core) ConfigVersion() uint64 {
	return c.tracker.Snapshot().Version
}

// Leaving reports whether the host is shutting down.
func (c *Core) Leaving() bool {
	return c.leaving
}
