package balance

import (
	"fmt"
	"time"
)

// reserveMemory asks all memory holders of a plan for their part of the memory
// at once. If one of them refuses, handleReservationResult releases the whole
// group's memory. A request never waits for memory while it holds some, so two
// requests can't block each other.
func (c *Core) reserveMemory(r *request, p *plan, now time.Duration) {
	r.renewedAt = now
	r.unconfirmed = p.memoryHolders
	for _, u := range p.members[:p.memoryHolders] {
		m := Member{
			Upstream: u.ID, Address: u.Address, ReservedTokens: p.reservedTokens,
			ReservationID: fmt.Sprintf("%s-%x-%d-%d", c.config.Host, c.bootNumber, r.RequestNumber, r.attempt),
		}
		r.reservations = append(r.reservations, m)
		c.emit(ReserveMemory{RequestNumber: r.RequestNumber, Attempt: r.attempt, Member: m, Hold: c.config.Hold})
	}
}

// handleReservationResult sends the request once all holders have reserved the
// memory. If one of them has not, it releases all reservations and puts the
// request back into the queue.
func (c *Core) handleReservationResult(e ReservationResult, now time.Duration) {
	r := c.requestOfAttempt(e.RequestNumber, e.Attempt)
	if r == nil || r.sent || r.pendingPlan == nil {
		return
	}
	if e.OK {
		r.unconfirmed--
		if r.unconfirmed > 0 {
			return
		}
		if c.isQuarantined(r, now) && !r.isTrial {
			c.endAttempt(r, FailureCallerLeft, now)
			r.lastCode = CodePromptQuarantined
			c.endRequest(r, now)
			return
		}
		if !c.mayStillBeSent(r, r.pendingPlan, now) {
			c.endAttempt(r, FailureNoCapacity, now)
			c.enqueue(r, now)
			return
		}
		c.sendAttempt(r, r.pendingPlan, now)
		return
	}
	if u := c.upstreams[e.Upstream]; u != nil {
		c.recordReservationFailure(u, e.Class, now)
	}
	c.endAttempt(r, FailureNoCapacity, now)
	r.shortage = ShortageReservation
	r.earliestRetry = now + reservationBackoff + time.Duration(c.random.Int64N(int64(reservationBackoff)))
	c.enqueue(r, now)
}

// recordReservationFailure records what a failed reservation shows about the
// server.
func (c *Core) recordReservationFailure(u *upstream, class FailureClass, now time.Duration) {
	if class == FailureNotConnected {
		c.recordOutcome(u, FailureNotConnected, now, now)
		return
	}
	u.avoidUntil = max(u.avoidUntil, now+noCapacityBackoff)
}

// renewalsPerHold is the number of times that a reservation is renewed within
// the time for which it is held.
const renewalsPerHold = 2

// renewReservations renews the reservations of the memory in use.
func (c *Core) renewReservations(now time.Duration) {
	for _, r := range c.requests {
		if len(r.reservations) == 0 || !r.sent || now-r.renewedAt < c.config.Hold/renewalsPerHold {
			continue
		}
		r.renewedAt = now
		for _, m := range r.reservations {
			c.emit(ReserveMemory{RequestNumber: r.RequestNumber, Attempt: r.attempt, Member: m, Hold: c.config.Hold, Renewal: true})
		}
	}
}
