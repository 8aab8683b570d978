package order

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// jitterShare is the part of a wait that is drawn at random.
const jitterShare = 0.5

// Core decides the orders of one data centre. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	effects []Effect
	token   uint64

	holding bool
	term    Term
	// loadsFrom is when this term's first load may be ordered.
	loadsFrom time.Duration

	desired DesiredState
	// engines is ordered by name.
	engines []*state
	// planAt is when the plan is due again without news.
	planAt time.Duration
	// absent lists the wanted models that no engine holds, ordered.
	absent []string
}

// New returns a Core that knows no engines and no wishes.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configure the orders")
	}
	return &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1))}, nil
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	if c.holding && now >= c.term.Until {
		c.holding = false
	}
	switch e := event.(type) {
	case Term:
		c.begin(now, e)
	case TermEnded:
		c.holding = false
	case DesiredStateChanged:
		c.want(e.Desired)
		c.planAt = now
	case EnginesListed:
		c.list(now, e.Engines)
	case StatusRead:
		c.statusRead(now, e)
	case OrderDone:
		c.orderDone(now, e)
		c.planAt = now
	}
	c.proceed(now)
	return c.effects
}

// proceed reads, bars and plans as far as it is due.
func (c *Core) proceed(now time.Duration) {
	if !c.holding {
		return
	}
	c.readDue(now)
	if now < c.planAt {
		return
	}
	c.planAt = now + c.cfg.ReadMin
	c.bar(now)
	c.plan(now)
}

// InFlight is the number of orders whose answer is awaited.
func (c *Core) InFlight() int {
	n := 0
	for _, s := range c.engines {
		if s.pending != nil {
			n++
		}
	}
	return n
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) nextToken() uint64 {
	c.token++
	return c.token
}

// begin starts or extends a term. What an earlier term knew is forgotten.
func (c *Core) begin(now time.Duration, t Term) {
	same := c.term.Fencing == t.Fencing
	c.term = t
	c.holding = now < t.Until
	if same {
		return
	}
	c.loadsFrom = now + c.upTo(c.cfg.StartSpread)
	for _, s := range c.engines {
		*s = state{Engine: s.Engine, pending: s.pending, token: s.token, reading: s.reading}
		s.due = now + c.startDelay()
	}
}

// startDelay spreads the first reads of all engines.
func (c *Core) startDelay() time.Duration {
	return c.upTo(time.Duration(float64(len(c.engines)) / c.cfg.StartRate * float64(time.Second)))
}

// want takes newer wishes; older ones are passed over.
func (c *Core) want(d DesiredState) {
	if d.Version >= c.desired.Version {
		c.desired = d
	}
}

// list takes the engines of the data centre; state of known ones is kept.
func (c *Core) list(now time.Duration, engines []Engine) {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	engines = slices.CompactFunc(engines, func(a, b Engine) bool { return a.Name == b.Name })
	old := c.engines
	c.engines = make([]*state, 0, len(engines))
	for _, e := range engines {
		s := find(old, e.Name)
		if s == nil || s.Address != e.Address {
			s = &state{due: now + c.jitter(c.cfg.ActiveEvery)}
		}
		s.Engine = e
		c.engines = append(c.engines, s)
	}
}

func find(engines []*state, name string) *state {
	i, found := slices.BinarySearchFunc(engines, name, func(s *state, n string) int { return strings.Compare(s.Name, n) })
	if !found {
		return nil
	}
	return engines[i]
}

// jitter draws a time around the mean given.
func (c *Core) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}

// upTo draws a time from 0 to the limit.
func (c *Core) upTo(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) * c.random.Float64())
}
