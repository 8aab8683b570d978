package balance

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/quarantine"
)

// Core makes the placement decisions of one host. It is not safe for concurrent
// use.
type Core struct {
	config     Config
	random     *rand.Rand
	bootNumber uint64

	// upstreams holds the registered servers by id, servicePools those of each
	// service by the service's name. work finds the servers of a request.
	upstreams    map[string]*upstream
	servicePools map[string]*servicePool
	work         workIndex
	// upstreamsKnown is set once servers were registered. coldServers holds those that count
	// as cold, and holders the hosts among which their shares are divided.
	upstreamsKnown bool
	coldServers    map[string]*upstream
	holders        coldHolders
	// departures holds what servers had said that are no longer registered, by id.
	departures map[string]departure
	// requests holds the host's own requests that have not ended, by request
	// number.
	requests map[uint64]*request
	// waiting lists the requests that have no upstream yet, in the order in
	// which they are to be served.
	waiting []*request
	// lastPass is when the waiting requests were last tried. placementsTried counts how
	// often servers were looked for.
	lastPass        time.Duration
	placementsTried uint64
	// budgets holds the retry budget of each service, by the service's name.
	budgets map[string]*retryBudget
	evacuations
	// dataCentres lists the data centres that have upstreams.
	dataCentres []string
	// paths holds the state of this host's path to each data centre, by its name.
	paths map[string]*pathState
	// peers holds what is known about each other host, by its name.
	peers map[string]*peer
	// forwarders holds the other hosts to which requests can be passed on.
	forwarders []*forwarder
	// otherHosts is the number of other hosts.
	otherHosts int
	// coordination is what this host knows and does where coordinators choose the servers
	// of all requests.
	coordination
	// returns holds the requests that were told to come back.
	returns returns
	// fairness compares how often prompts of different lengths get servers.
	fairness fairness
	// hostEndsAt is the time from which on this host answers nothing any more; 0 unless it
	// stops.
	hostEndsAt time.Duration
	// reportDelay is the time that a report of another host takes to arrive
	// here.
	reportDelay time.Duration
	// busyShare is the share of the candidate upstreams that have work. It is
	// computed anew for every placement.
	busyShare float64
	// slotsTaken is the share of their slots that are occupied, computed as often.
	slotsTaken float64

	// quarantine holds the parts of prompts that crash servers. answering lists the
	// attempts whose answers have begun less than soundAnswerTime ago.
	quarantine *quarantine.Table
	answering  []answeringAttempt

	// pendingReport collects what the next report will contain. lastFullReport
	// is when a report last listed all work.
	pendingReport  WorkReport
	lastFullReport time.Duration
	// toldCutOff tells whether this host last told the others that it is cut off, and
	// toldCutOffAt when.
	toldCutOff   bool
	toldCutOffAt time.Duration
	// ticking is set during the step of a Tick.
	ticking bool
	// effects collects the effects of the current step.
	effects []Effect
}

// New returns a core with the given configuration. The seed makes its random
// choices repeatable. The boot number must differ between the runs of the
// host's process. New returns an error if the configuration is not valid.
func New(config Config, seed, bootNumber uint64) (*Core, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, seed))
	table, err := quarantine.New(quarantine.DefaultConfig(), random)
	if err != nil {
		return nil, errors.Wrap(err, "configure the quarantine")
	}
	return &Core{
		config:       config,
		random:       random,
		quarantine:   table,
		bootNumber:   bootNumber,
		upstreams:    make(map[string]*upstream),
		servicePools: make(map[string]*servicePool),
		work:         make(workIndex),
		departures:   make(map[string]departure),
		coldServers:  make(map[string]*upstream),
		requests:     make(map[uint64]*request),
		budgets:      make(map[string]*retryBudget),
		evacuations:  newEvacuations(),
		paths:        make(map[string]*pathState),
		peers:        make(map[string]*peer),
		coordination: newCoordination(),
		fairness:     newFairness(),
		returns:      returns{promised: make(map[uint64]promise)},
	}, nil
}

// Step applies one event at the given time and returns the effects that the
// caller must carry out, in order. The time must not go back from one call to
// the next.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	_, c.ticking = event.(Tick)
	switch e := event.(type) {
	case Arrived:
		c.handleArrived(e, now)
	case FirstPiece:
		c.handleFirstPiece(e, now)
	case Finished:
		c.handleFinished(e, now)
	case AttemptFailed:
		c.handleAttemptFailed(e, now)
	case CallerGone:
		c.handleCallerGone(e, now)
	case DeadlinePassed:
		c.handleDeadlinePassed(e, now)
	case HostStopping:
		c.hostEndsAt = e.EndsAt
	case LimitObserved:
		c.handleLimitObserved(e, now)
	case AnswerNotice:
		c.handleAnswerNotice(e, now)
	case ReservationResult:
		c.handleReservationResult(e, now)
	case EvacuationsChanged:
		c.handleEvacuationsChanged(e, now)
	case UpstreamsChanged:
		c.setUpstreams(e.Upstreams, now)
	case ServicesChanged:
		c.setServices(e.Services, now)
	case ReportReceived:
		c.receiveReport(e.Host, e.Report, now)
	case PeersChanged:
		c.handlePeersChanged(e, now)
	case HostsAlive:
		c.handleHostsAlive(e, now)
	case PlacementQueried:
		c.handlePlacementQueried(e, now)
	case PlacementAnswered:
		c.handlePlacementAnswered(e, now)
	case ConnectionProbed:
		c.handleConnectionProbed(e, now)
	case Tick:
		c.handleTick(now)
	default:
		c.handleNews(event, now)
	}
	c.serveWaiting(now)
	c.sendReport(now, c.ticking)
	return c.effects
}

// handlePeersChanged applies a new list of hosts.
func (c *Core) handlePeersChanged(e PeersChanged, now time.Duration) {
	c.otherHosts, c.reportDelay = e.OtherHosts, e.ReportDelay
	c.setForwarders(e.Forwarders)
	c.setCoordinators(e.Coordinators, e.CoordinatedDataCentres)
	c.holders.choosing.replace(e.ChoosingHosts, now)
	c.holders.standby.replace(e.StandbyHosts, now)
}

// handleNews applies what another host has told this one, apart from its work.
func (c *Core) handleNews(event Event, now time.Duration) {
	switch e := event.(type) {
	case RestReported:
		c.handleRestReported(e, now)
	case ColdReported:
		c.handleColdReported(e, now)
	case LeavingReported:
		c.handleLeavingReported(e)
	case HostCutOff:
		c.handleHostCutOff(e, now)
	case QuarantineReported:
		c.receiveQuarantineReport(e.Report, now)
	case ReturnsReported:
		c.handleReturnsReported(e, now)
	}
}

// emit adds an effect to those that the current step returns.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// handleTick removes work of other hosts that has expired, and renews the memory
// reservations of this host's requests.
func (c *Core) handleTick(now time.Duration) {
	c.removeExpiredWork(now)
	c.renewReservations(now)
	c.forgetAnswers(now)
	c.updateQuarantine(now)
	c.holders.choosing.forget(now)
	c.holders.standby.forget(now)
	c.updateWarmth(now)
	c.probePaths(now)
	c.tellCutOff(now)
	c.tellReturns(now)
}

// Waiting returns the number of requests in the queue: those of this host, and those of
// other hosts for which it is to choose servers. The gateway exports it as a gauge.
func (c *Core) Waiting() int { return len(c.waiting) }

// InFlight returns the number of this host's requests that have been given to an
// upstream, including those whose memory is still being reserved. The gateway exports it
// as a gauge.
func (c *Core) InFlight() int {
	inFlight := len(c.requests)
	for _, r := range c.waiting {
		if r.asker == nil {
			inFlight--
		}
	}
	return inFlight
}
