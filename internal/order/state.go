package order

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOrdersWithoutFencing is the number of orders that an engine may run without
// reporting the fencing number of the last one. After that it gets no more empty
// orders and counts as if earlier orders were barred.
const maxOrdersWithoutFencing = 5

// orderIDPrefix is the start of the ID of every order; a number follows.
const orderIDPrefix = "order-"

// engineState is the last known state of one engine.
type engineState struct {
	Engine
	// nextReadAt is the time of the next status read. readInFlight reports that
	// the read with the token readToken, sent at readSentAt, is not answered
	// yet.
	nextReadAt   time.Duration
	readInFlight bool
	readToken    uint64
	readSentAt   time.Duration
	// failedReads is the number of consecutive failed status reads.
	failedReads int

	// statusKnown reports that status was read in this term, and statusCurrent
	// that no order was sent to the engine since.
	statusKnown, statusCurrent bool
	status                     Status
	// statusSentAt is the time at which the read that returned status was sent.
	statusSentAt time.Duration
	// orderedLoads lists the names ordered to be loaded since the last status
	// report.
	orderedLoads []string
	// unresolved reports that an order of this term, whose outcome is unknown,
	// may still be run. It can be run only as long as the engine's last order
	// is the one with the ID unresolvedAfter.
	unresolved      bool
	unresolvedAfter string
	// orderTaken reports that an order was answered as taken since the last
	// status report. usedIDs is the number of IDs after the last order's that
	// are known to be used up.
	orderTaken bool
	usedIDs    uint64
	// ordersWithoutFencing counts the orders that the engine has run without
	// reporting the fencing number of this term; reportsTermFencing is true if
	// its last status report has that number.
	ordersWithoutFencing int
	reportsTermFencing   bool
	// loadingSince is the time at which the loads in progress were first
	// observed.
	loadingSince time.Duration

	// pending is the order whose answer is awaited, or nil.
	pending *pendingOrder
}

// pendingOrder is an order whose answer is awaited.
type pendingOrder struct {
	token  uint64
	load   []string
	unload []string
}

// serves reports whether the engine serves a model or adapter of the given
// name.
func (s *engineState) serves(name string) bool {
	return slices.Contains(s.status.Models, name)
}

// isLoading reports whether the engine loads the name or was ordered to.
func (s *engineState) isLoading(name string) bool {
	return slices.Contains(s.status.Loading, name) || slices.Contains(s.orderedLoads, name)
}

// loadsAnything reports whether the engine loads anything or was ordered to.
func (s *engineState) loadsAnything() bool {
	return len(s.status.Loading)+len(s.orderedLoads) > 0
}

// hasStableStatus reports whether the engine keeps what it reported until it
// gets another order or dies.
func (s *engineState) hasStableStatus() bool {
	return s.statusCurrent && s.earlierOrdersBarred()
}

// servesOtherVersion reports whether the engine serves another version of the
// model.
func (s *engineState) servesOtherVersion(m Model) bool {
	return slices.ContainsFunc(s.status.Models, func(held string) bool {
		name, version, adapter := splitHeldName(held)
		return name == m.Name && version != m.Version && adapter == ""
	})
}

// servesWithAdapters reports whether the engine serves the desired version of
// the model with all its adapters.
func (s *engineState) servesWithAdapters(m Model) bool {
	for _, name := range m.heldNames() {
		if !s.serves(name) {
			return false
		}
	}
	return true
}

// nextOrderID returns the only ID that may follow the last order that the
// engine has run, no matter which holder sent that order.
func (s *engineState) nextOrderID() string {
	last := s.status.LastOrder
	if last == "" {
		return orderIDPrefix + strconv.FormatUint(1+s.usedIDs, 10)
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(last, orderIDPrefix), 10, 62)
	if err != nil {
		// The ID has another form. Its hash takes the place of the number;
		// the shift keeps the additions below from overflowing.
		n = xxhash.Sum64String(last) >> 8
	}
	return orderIDPrefix + strconv.FormatUint(n+1+s.usedIDs, 10)
}

// dead reports whether the engine has stopped answering.
func (c *Core) dead(s *engineState) bool {
	return s.failedReads >= c.cfg.DeadAfter
}

// usable reports whether models can be placed on the engine.
func (c *Core) usable(s *engineState) bool {
	return s.statusKnown && !s.Leaving && !c.dead(s)
}

// requestDueStatuses requests the status reads that are due, except for engines
// with a read or an order in flight.
func (c *Core) requestDueStatuses(now time.Duration) {
	for _, s := range c.engines {
		if s.readInFlight || s.pending != nil || now < s.nextReadAt {
			continue
		}
		s.readInFlight = true
		s.readToken, s.readSentAt = c.nextToken(), now
		c.emit(ReadStatus{Engine: s.Name, Address: s.Address, Token: s.readToken})
	}
}

// handleStatusRead applies the answer to a status read. Answers with an old
// token are ignored.
func (c *Core) handleStatusRead(now time.Duration, e StatusRead) {
	s := findEngine(c.engines, e.Engine)
	if s == nil || !s.readInFlight || s.readToken != e.Token {
		return
	}
	s.readInFlight = false
	if e.Failed {
		c.handleReadFailure(now, s)
		return
	}
	if c.dead(s) {
		c.emit(EngineLivenessChanged{Engine: s.Name})
	}
	s.failedReads = 0
	if !s.statusCurrent || !s.status.equal(e.Status) {
		c.nextPlanAt = now
	}
	c.applyStatus(now, s, e.Status)
	s.nextReadAt = now + c.jittered(c.idleReadInterval())
	if s.loadsAnything() {
		s.nextReadAt = now + c.jittered(c.cfg.ActiveEvery)
	}
}

// equal reports whether two statuses are the same.
func (s Status) equal(other Status) bool {
	return s.LastOrder == other.LastOrder && s.LastFencing == other.LastFencing &&
		slices.Equal(s.Models, other.Models) && slices.Equal(s.Loading, other.Loading)
}

// applyStatus stores an engine's status report and updates what follows from it.
func (c *Core) applyStatus(now time.Duration, s *engineState, report Status) {
	if len(s.status.Loading) == 0 || !s.statusKnown {
		s.loadingSince = now
	}
	s.trackOrderIDs(report)
	s.statusKnown, s.statusCurrent, s.orderedLoads = true, true, nil
	s.status, s.statusSentAt = report, s.readSentAt
	if report.LastOrder != s.unresolvedAfter {
		s.unresolved = false
	}
	reportsFencing := report.LastFencing == c.term.Fencing
	if s.reportsTermFencing && !reportsFencing {
		c.emit(EngineReset{Engine: s.Name})
	}
	if reportsFencing || s.reportsTermFencing {
		s.ordersWithoutFencing = 0
	}
	s.reportsTermFencing = reportsFencing
	if report.LastFencing > c.term.Fencing {
		c.emit(FencingOutdated{Engine: s.Name, Fencing: report.LastFencing})
	}
}

// trackOrderIDs compares a report with the one from before the last order. If
// an order was answered as taken but is not the engine's last one, its ID was
// already used up. This can happen when an engine that lost its memory runs a
// delayed earlier order.
func (s *engineState) trackOrderIDs(report Status) {
	switch {
	case s.statusKnown && report.LastOrder != s.status.LastOrder:
		s.usedIDs = 0
		if s.orderTaken {
			s.ordersWithoutFencing++
		}
	case s.orderTaken:
		s.usedIDs++
	}
	s.orderTaken = false
}

// handleReadFailure counts a failed status read and schedules the next one.
func (c *Core) handleReadFailure(now time.Duration, s *engineState) {
	s.failedReads++
	s.statusCurrent = false
	if s.failedReads == c.cfg.DeadAfter {
		c.nextPlanAt = now
		c.emit(EngineLivenessChanged{Engine: s.Name, Dead: true})
	}
	s.nextReadAt = now + c.jittered(c.cfg.ActiveEvery)
	if c.dead(s) {
		s.nextReadAt = now + c.jittered(c.idleReadInterval())
	}
}

// idleReadInterval returns the mean time between two status reads of an idle
// engine.
func (c *Core) idleReadInterval() time.Duration {
	scaled := time.Duration(float64(len(c.engines)) / c.cfg.ReadRate * float64(time.Second))
	return max(c.cfg.ReadMin, scaled)
}

// handleOrderDone applies the outcome of an order and schedules a status read.
// Answers with an old token are ignored.
func (c *Core) handleOrderDone(now time.Duration, e OrderDone) {
	s := findEngine(c.engines, e.Engine)
	if s == nil || s.pending == nil || s.pending.token != e.Token {
		return
	}
	s.pending = nil
	s.statusCurrent = false
	s.nextReadAt = now
	switch e.Outcome {
	case Taken:
		s.orderTaken = true
	case Unknown:
		s.unresolved, s.unresolvedAfter = true, s.status.LastOrder
		s.nextReadAt = now + c.jittered(c.cfg.ActiveEvery)
	case NotRun, Fenced:
		s.nextReadAt = now + c.jittered(c.cfg.ActiveEvery)
	}
}
