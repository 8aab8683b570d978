package balance

import (
	"math/rand/v2"
	"time"
)

// Core decides. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	boot   uint64

	upstreams map[string]*upstream
	groups    map[string]*group
	requests  map[uint64]*request
	// waiting are requests without an upstream yet, in their order of service.
	waiting []*request
	budgets map[string]*budget
	// sites are the data centres by name.
	sites map[string]*site
	peers map[string]*peer
	// others is the number of other hosts.
	others int
	// newsDelay is how long news of them take.
	newsDelay time.Duration
	// activity is the share of upstreams with work in the choice under way.
	activity float64

	news      WorkReport
	toldWhole time.Duration
	effects   []Effect
}

// New returns a core. The seed makes its choices repeatable, the boot number
// tells the runs of this process apart.
func New(config Config, seed, boot uint64) (*Core, error) {
	if err := config.Validate().Err(); err != nil {
		return nil, err
	}
	return &Core{
		config:    config,
		random:    rand.New(rand.NewPCG(seed, seed)),
		boot:      boot,
		upstreams: make(map[string]*upstream),
		groups:    make(map[string]*group),
		requests:  make(map[uint64]*request),
		budgets:   make(map[string]*budget),
		sites:     make(map[string]*site),
		peers:     make(map[string]*peer),
	}, nil
}

// Step takes one event and returns what is to be done.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case Arrived:
		c.arrive(e, now)
	case FirstPiece:
		c.firstPiece(e, now)
	case Finished:
		c.finish(e, now)
	case AttemptFailed:
		c.attemptFailed(e, now)
	case CallerGone:
		c.callerGone(e, now)
	case ReservationResult:
		c.reserved(e, now)
	case UpstreamsChanged:
		c.setUpstreams(e.Upstreams)
	case ServicesChanged:
		c.setServices(e.Services)
	case ReportReceived:
		c.hear(e.Host, e.Report, now)
	case PeersChanged:
		c.others, c.newsDelay = e.OtherHosts, e.ReportDelay
	case Tick:
		c.tick(now)
	}
	c.serveWaiting(now)
	_, tick := event.(Tick)
	c.flushNews(now, tick)
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) tick(now time.Duration) {
	for _, u := range c.upstreams {
		u.expire(now)
	}
	c.renew(now)
}

// Waiting is the number of requests in the queue, InFlight that of requests
// sent, for gauges.
func (c *Core) Waiting() int { return len(c.waiting) }

// InFlight is the number of requests that an upstream has.
func (c *Core) InFlight() int { return len(c.requests) - len(c.waiting) }
