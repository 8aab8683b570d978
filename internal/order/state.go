package order

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxBarriers is how many empty orders an engine gets that does not report
// the fencing number of the last one.
const maxBarriers = 5

// idPrefix begins the ID of every order; a number follows.
const idPrefix = "order-"

// state is what is believed of one engine.
type state struct {
	Engine
	// due is when the status is read next; reading says that token's read,
	// asked at askedAt, is in flight.
	due      time.Duration
	reading  bool
	token    uint64
	askedAt  time.Duration
	failures int

	// known says that status was read in this term, fresh that no order was
	// sent since.
	known, fresh bool
	status       Status
	// statusAt is when the report was asked for.
	statusAt time.Duration
	// loadSent lists what was ordered to be loaded since the report.
	loadSent []string
	// unsettled says that an order of this term may still be run, as long as
	// the engine's last order is the one named by unsettledAfter.
	unsettled      bool
	unsettledAfter string
	// answered says that an order was answered as taken since the report, and
	// skip how many IDs behind the last order are known to be used up.
	answered bool
	skip     uint64
	// barriers counts the orders that the engine has run without reporting
	// this term's number; barred says that it reports it.
	barriers int
	barred   bool
	// loadingSince is when the loads in progress were first seen.
	loadingSince time.Duration

	pending *pending
}

// pending is an order whose answer is awaited.
type pending struct {
	token  uint64
	load   []string
	unload []string
}

func (s *state) has(name string) bool {
	return slices.Contains(s.status.Models, name)
}

func (s *state) loads(name string) bool {
	return slices.Contains(s.status.Loading, name) || slices.Contains(s.loadSent, name)
}

// busy says whether the engine loads anything.
func (s *state) busy() bool {
	return len(s.status.Loading)+len(s.loadSent) > 0
}

// steady says whether the engine holds what it reported until it gets another
// order or dies.
func (s *state) steady() bool {
	return s.fresh && s.barrierDone()
}

// hasOther says whether the engine serves another version of a model.
func (s *state) hasOther(m Model) bool {
	return slices.ContainsFunc(s.status.Models, func(held string) bool {
		name, version, adapter := split(held)
		return name == m.Name && version != m.Version && adapter == ""
	})
}

// ready says whether the engine serves the model with its adapters.
func (s *state) ready(m Model) bool {
	for _, name := range m.held() {
		if !s.has(name) {
			return false
		}
	}
	return true
}

// nextID is the only ID that may follow the last order that the engine has
// run, whoever gave it.
func (s *state) nextID() string {
	last := s.status.LastOrder
	if last == "" {
		return idPrefix + strconv.FormatUint(1+s.skip, 10)
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(last, idPrefix), 10, 62)
	if err != nil {
		n = xxhash.Sum64String(last) >> 8
	}
	return idPrefix + strconv.FormatUint(n+1+s.skip, 10)
}

// dead says whether the engine has ceased to answer.
func (c *Core) dead(s *state) bool {
	return s.failures >= c.cfg.DeadAfter
}

// usable says whether the engine can hold models.
func (c *Core) usable(s *state) bool {
	return s.known && !s.Leaving && !c.dead(s)
}

// readDue reads the statuses that are due, except while an order is in flight.
func (c *Core) readDue(now time.Duration) {
	for _, s := range c.engines {
		if s.reading || s.pending != nil || now < s.due {
			continue
		}
		s.reading = true
		s.token, s.askedAt = c.nextToken(), now
		c.emit(ReadStatus{Engine: s.Name, Address: s.Address, Token: s.token})
	}
}

func (c *Core) statusRead(now time.Duration, e StatusRead) {
	s := find(c.engines, e.Engine)
	if s == nil || !s.reading || s.token != e.Token {
		return
	}
	s.reading = false
	if e.Failed {
		c.readFailed(now, s)
		return
	}
	if c.dead(s) {
		c.emit(EngineLivenessChanged{Engine: s.Name})
	}
	s.failures = 0
	if !s.fresh || !s.status.equal(e.Status) {
		c.planAt = now
	}
	c.learn(now, s, e.Status)
	s.due = now + c.jitter(c.idle())
	if s.busy() {
		s.due = now + c.jitter(c.cfg.ActiveEvery)
	}
}

func (s Status) equal(other Status) bool {
	return s.LastOrder == other.LastOrder && s.LastFencing == other.LastFencing &&
		slices.Equal(s.Models, other.Models) && slices.Equal(s.Loading, other.Loading)
}

// learn takes an engine's report.
func (c *Core) learn(now time.Duration, s *state, report Status) {
	if len(s.status.Loading) == 0 || !s.known {
		s.loadingSince = now
	}
	s.count(report)
	s.known, s.fresh, s.loadSent = true, true, nil
	s.status, s.statusAt = report, s.askedAt
	if report.LastOrder != s.unsettledAfter {
		s.unsettled = false
	}
	barred := report.LastFencing == c.term.Fencing
	if s.barred && !barred {
		c.emit(EngineReset{Engine: s.Name})
	}
	if barred || s.barred {
		s.barriers = 0
	}
	s.barred = barred
	if report.LastFencing > c.term.Fencing {
		c.emit(FencingOutdated{Engine: s.Name, Fencing: report.LastFencing})
	}
}

// count compares a report with the one before the last order. An order that was
// answered as taken and is not the last one had an ID that was used up before,
// as a late order may do to an engine that forgot its orders.
func (s *state) count(report Status) {
	switch {
	case s.known && report.LastOrder != s.status.LastOrder:
		s.skip = 0
		if s.answered {
			s.barriers++
		}
	case s.answered:
		s.skip++
	}
	s.answered = false
}

func (c *Core) readFailed(now time.Duration, s *state) {
	s.failures++
	s.fresh = false
	if s.failures == c.cfg.DeadAfter {
		c.planAt = now
		c.emit(EngineLivenessChanged{Engine: s.Name, Dead: true})
	}
	s.due = now + c.jitter(c.cfg.ActiveEvery)
	if c.dead(s) {
		s.due = now + c.jitter(c.idle())
	}
}

// idle is the mean time between two reads of an engine with nothing to do.
func (c *Core) idle() time.Duration {
	scaled := time.Duration(float64(len(c.engines)) / c.cfg.ReadRate * float64(time.Second))
	return max(c.cfg.ReadMin, scaled)
}

func (c *Core) orderDone(now time.Duration, e OrderDone) {
	s := find(c.engines, e.Engine)
	if s == nil || s.pending == nil || s.pending.token != e.Token {
		return
	}
	s.pending = nil
	s.fresh = false
	s.due = now
	switch e.Outcome {
	case Taken:
		s.answered = true
	case Unknown:
		s.unsettled, s.unsettledAfter = true, s.status.LastOrder
		s.due = now + c.jitter(c.cfg.ActiveEvery)
	case NotRun, Fenced:
		s.due = now + c.jitter(c.cfg.ActiveEvery)
	}
}
