package balance

import (
	"fmt"
	"time"
)

// reserve asks all members of a plan for their part of the memory at once. No
// group waits for memory while it holds some, so none waits for another.
func (c *Core) reserve(r *request, p *plan, now time.Duration) {
	r.renewed = now
	r.missing = p.holders
	for _, u := range p.members[:p.holders] {
		m := Member{
			Upstream: u.ID, Address: u.Address, ReservedTokens: p.reserved,
			Ticket: fmt.Sprintf("%s-%x-%d-%d", c.config.Host, c.boot, r.RequestNumber, r.attempt),
		}
		r.tickets = append(r.tickets, m)
		c.emit(ReserveMemory{RequestNumber: r.RequestNumber, Attempt: r.attempt, Member: m, Hold: c.config.Hold})
	}
}

// reserved sends the request once all members have set the memory aside, and
// gives all back when one has not.
func (c *Core) reserved(e ReservationResult, now time.Duration) {
	r := c.current(e.RequestNumber, e.Attempt)
	if r == nil || r.sent || r.planned == nil {
		return
	}
	if e.OK {
		r.missing--
		if r.missing == 0 {
			c.send(r, r.planned, now)
		}
		return
	}
	if u := c.upstreams[e.Upstream]; u != nil {
		c.judgeReserved(u, e.Class, now)
	}
	c.endAttempt(r, FailureNoCapacity, now)
	r.notBefore = now + groupBackoff + time.Duration(c.random.Int64N(int64(groupBackoff)))
	c.enqueue(r, now)
}

// judgeReserved notes what a server's failure to set memory aside shows of it.
func (c *Core) judgeReserved(u *upstream, class FailureClass, now time.Duration) {
	if class == FailureNotConnected {
		c.judge(u, FailureNotConnected, now)
		return
	}
	u.avoidUntil = max(u.avoidUntil, now+fullBackoff)
}

// renewals is how many times a reservation is renewed within its lease.
const renewals = 2

// renew extends the leases of the memory in use.
func (c *Core) renew(now time.Duration) {
	for _, r := range c.requests {
		if len(r.tickets) == 0 || !r.sent || now-r.renewed < c.config.Hold/renewals {
			continue
		}
		r.renewed = now
		for _, m := range r.tickets {
			c.emit(ReserveMemory{RequestNumber: r.RequestNumber, Attempt: r.attempt, Member: m, Hold: c.config.Hold, Renewal: true})
		}
	}
}
