package order

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// jitterShare is the largest deviation of a random wait from its mean, as a
// share of the mean.
const jitterShare = 0.5

// Core plans the orders to the engines of one data centre. It is not safe for
// concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	effects []Effect
	// lastToken is the token of the latest read or order.
	lastToken uint64

	// term is the latest term; termActive reports whether it was in force at
	// the last step.
	termActive bool
	term       Term
	// loadsAllowedAt is the time from which the current term may order loads.
	loadsAllowedAt time.Duration

	desired DesiredState
	// engines holds the state of every listed engine, sorted by name.
	engines []*engineState
	// nextPlanAt is the time of the next planning round if no event brings it
	// forward.
	nextPlanAt time.Duration
	// absentModels lists the desired models that no usable engine serves in any
	// version, sorted by name.
	absentModels []string
}

// New returns a Core without engines and without a desired state. It returns an
// error if the configuration is invalid.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "configure the orders")
	}
	return &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1))}, nil
}

// Step applies one event at the time now and returns the effects that the
// caller has to carry out, in order.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	if c.termActive && now >= c.term.Until {
		c.termActive = false
	}
	switch e := event.(type) {
	case Term:
		c.startTerm(now, e)
	case TermEnded:
		c.termActive = false
	case DesiredStateChanged:
		c.setDesired(e.Desired)
		c.nextPlanAt = now
	case EnginesListed:
		c.setEngines(now, e.Engines)
	case StatusRead:
		c.handleStatusRead(now, e)
	case OrderDone:
		c.handleOrderDone(now, e)
		c.nextPlanAt = now
	}
	c.runDueWork(now)
	return c.effects
}

// runDueWork requests the status reads that are due and, when planning is due,
// sends barriers and plans orders. It does nothing outside a term.
func (c *Core) runDueWork(now time.Duration) {
	if !c.termActive {
		return
	}
	c.requestDueStatuses(now)
	if now < c.nextPlanAt {
		return
	}
	c.nextPlanAt = now + c.cfg.ReadMin
	c.sendBarriers(now)
	c.plan(now)
}

// InFlight returns the number of orders whose answer is still awaited.
func (c *Core) InFlight() int {
	n := 0
	for _, s := range c.engines {
		if s.pending != nil {
			n++
		}
	}
	return n
}

// emit adds an effect to the result of the current step.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// nextToken returns a token that was not used before.
func (c *Core) nextToken() uint64 {
	c.lastToken++
	return c.lastToken
}

// startTerm starts a term, or extends the current one if the fencing number is
// the same. A new term discards what an earlier term learned about the engines
// and keeps only the reads and orders that are in flight.
func (c *Core) startTerm(now time.Duration, t Term) {
	sameTerm := c.term.Fencing == t.Fencing
	c.term = t
	c.termActive = now < t.Until
	if sameTerm {
		return
	}
	c.loadsAllowedAt = now + c.randomUpTo(c.cfg.StartSpread)
	for _, s := range c.engines {
		*s = engineState{Engine: s.Engine, pending: s.pending, readToken: s.readToken, readInFlight: s.readInFlight}
		s.nextReadAt = now + c.firstReadDelay()
	}
}

// firstReadDelay draws a random delay that spreads the first reads of all
// engines over time, at StartRate engines a second.
func (c *Core) firstReadDelay() time.Duration {
	return c.randomUpTo(time.Duration(float64(len(c.engines)) / c.cfg.StartRate * float64(time.Second)))
}

// setDesired replaces the desired state unless the given one is of an older
// configuration version.
func (c *Core) setDesired(d DesiredState) {
	if d.Version >= c.desired.Version {
		c.desired = d
	}
}

// setEngines replaces the list of engines of the data centre. An engine whose
// name and address are unchanged keeps its state.
func (c *Core) setEngines(now time.Duration, engines []Engine) {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	engines = slices.CompactFunc(engines, func(a, b Engine) bool { return a.Name == b.Name })
	old := c.engines
	c.engines = make([]*engineState, 0, len(engines))
	for _, e := range engines {
		s := findEngine(old, e.Name)
		if s == nil || s.Address != e.Address {
			s = &engineState{nextReadAt: now + c.jittered(c.cfg.ActiveEvery)}
		}
		s.Engine = e
		c.engines = append(c.engines, s)
	}
}

// findEngine returns the state of the engine with the given name, or nil. The
// list must be sorted by name.
func findEngine(engines []*engineState, name string) *engineState {
	i, found := slices.BinarySearchFunc(engines, name, func(s *engineState, n string) int { return strings.Compare(s.Name, n) })
	if !found {
		return nil
	}
	return engines[i]
}

// jittered draws a random time around the given mean.
func (c *Core) jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterShare + 2*jitterShare*c.random.Float64()))
}

// randomUpTo draws a random time between 0 and the limit.
func (c *Core) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) * c.random.Float64())
}
