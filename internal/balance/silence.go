package balance

import "time"

// HasAlternative reports whether another upstream could take a request now whose current
// attempt is silent. Until then the attempt is better kept: a sound server may fall silent
// for a moment, and a request that is taken from it only to wait is lost to its answer. An
// attempt for which servers hold memory is given up in any case.
func (c *Core) HasAlternative(requestNumber uint64, attempt int, now time.Duration) bool {
	r := c.requestOfAttempt(requestNumber, attempt)
	if r == nil || r.forwardedTo != nil || len(r.reservations) > 0 {
		return true
	}
	if c.stopsBeforeAnswer(r, now) || !c.budgetOfService(r.Service).canSpend(now, &c.config, c.otherHosts+1) {
		return false
	}
	p := c.place(r, now)
	return p != nil && p.members[0] != r.members[0]
}
