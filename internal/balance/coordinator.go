package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

const (
	// grantConfirmTime is the time after a choice for another host within which that
	// host's next report may not name it yet.
	grantConfirmTime = 300 * time.Millisecond
	// answerMemory is how long an answer is kept, in case the question is repeated.
	answerMemory = time.Second
	// maxAskedQueueLength is the largest number of requests that wait on a coordinator.
	maxAskedQueueLength = 4 * maxQueueLength
)

// asker is the host that asks a coordinator about a request, and what it said.
type asker struct {
	host string
	boot uint64
	// number is the number of the question.
	number int
	// excluded holds the ids of servers, and cutOff the data centres, to which the host
	// sends nothing.
	excluded, cutOff map[string]bool
	// answer is the final answer, given at answeredAt; nil before.
	answer     *PlacementAnswer
	answeredAt time.Duration
}

// avoids reports whether the asking host sends nothing to an upstream.
func (a *asker) avoids(u *upstream) bool {
	return a != nil && (a.excluded[u.ID] || a.cutOff[u.DataCentre])
}

// isRestricted reports whether a request may not be sent to all servers that this host
// could send it to.
func (a *asker) isRestricted() bool { return a != nil && len(a.excluded)+len(a.cutOff) > 0 }

// handlePlacementQueried chooses servers for a request of another host, lets it wait here
// or refuses it. A repeated question gets the same answer.
func (c *Core) handlePlacementQueried(e PlacementQueried, now time.Duration) {
	key := requestKey{e.Host, e.Query.RequestNumber}
	if r := c.asked[key]; r != nil && r.asker.boot == e.Query.Boot && r.asker.number == e.Query.Number {
		if r.asker.answer != nil {
			c.emit(AnswerPlacement{Host: e.Host, Answer: *r.asker.answer})
		} else {
			c.answerQueued(r)
		}
		return
	}
	c.forgetAsked(key)
	c.dropWork(key, now)
	r := newAskedRequest(e, now)
	c.asked[key] = r
	c.recordQuery(r.Service, now)
	if code := c.unservableReason(r, now); code != "" {
		r.lastCode = code
		c.refuseAsked(r, now)
		return
	}
	if p := c.placeOrPostpone(r, now); p != nil {
		c.grant(r, p, now)
		return
	}
	c.enqueue(r, now)
	if r.waiting {
		c.answerQueued(r)
	}
}

// newAskedRequest returns the request that a question describes.
func newAskedRequest(e PlacementQueried, now time.Duration) *request {
	q := e.Query
	r := &request{
		Arrived: Arrived{
			RequestNumber: q.RequestNumber, Service: q.Service, Priority: q.Priority,
			Route:        &route.Route{Kind: q.Kind, TargetLatency: q.TargetLatency, TargetPieceGap: q.TargetPieceGap},
			PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Deadline: now + q.TimeLeft, Forwarded: true, Regions: q.Regions,
			Organisation: q.Organisation,
		},
		returned: q.Returned, arrivedAt: now - q.Age, cameAt: now - q.Age + q.Away, queuedAt: now, weight: requestWeight(q.PromptTokens), tried: setOf(q.Tried),
		asker: &asker{host: e.Host, boot: q.Boot, number: q.Number, excluded: setOf(q.Excluded), cutOff: setOf(q.CutOff)},
	}
	return r
}

// setOf returns the set of some names.
func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// begin starts an attempt by a plan, or answers the host that asked about the request.
func (c *Core) begin(r *request, p *plan, now time.Duration) {
	if r.asker != nil {
		c.grant(r, p, now)
		return
	}
	c.startAttempt(r, p, now)
}

// grant answers a question with the chosen servers. Their work is entered at once, so that
// the next choice reckons with it, and is kept for as long as the answer is expected to
// take unless the asking host reports it.
func (c *Core) grant(r *request, p *plan, now time.Duration) {
	r.waiting = false
	expires := now + p.predictedFirstPiece + time.Second
	if e := p.members[0].engine; e != nil {
		expires += time.Duration(r.AnswerTokens) * e.StepTime
	}
	members := make([]string, len(p.members))
	var cold []string
	for i, u := range p.members {
		members[i] = u.ID
		if c.isCold(u, now) {
			cold = append(cold, u.ID)
		}
		w := newWorkItem(r, p, i)
		w.granted, w.reportedAt, w.expires = true, now, min(expires, r.Deadline)
		c.addWork(u, w, now)
		u.intake.recordStart(now)
		c.recordColdStart(u, now)
	}
	c.answer(r, PlacementAnswer{
		Outcome: PlacementChosen, Members: members, Cold: cold, PartPrefillTime: p.partPrefillTime,
		ReservedTokens: p.reservedTokens, MemoryHolders: p.memoryHolders, PredictedFirstPiece: p.predictedFirstPiece,
		Choice: c.placementChoice(p, now),
	}, now)
}

// refuseAsked answers a question with a refusal, for the reason lastCode.
func (c *Core) refuseAsked(r *request, now time.Duration) {
	r.waiting = false
	outcome := PlacementRefused
	if r.lastCode.concernsHost() {
		outcome = PlacementDeclined
	}
	c.answer(r, PlacementAnswer{Outcome: outcome, Code: r.lastCode, RetryAfter: c.retryAfter(r, r.lastCode, now), Shortage: r.shortage, Harm: r.harm, HarmLimit: r.harmLimit}, now)
}

// answer gives the final answer to a question.
func (c *Core) answer(r *request, a PlacementAnswer, now time.Duration) {
	a.RequestNumber, a.Number = r.RequestNumber, r.asker.number
	r.asker.answer, r.asker.answeredAt = &a, now
	c.emit(AnswerPlacement{Host: r.asker.host, Answer: a})
}

// answerQueued tells the asking host that its request waits here.
func (c *Core) answerQueued(r *request) {
	c.emit(AnswerPlacement{Host: r.asker.host, Answer: PlacementAnswer{
		RequestNumber: r.RequestNumber, Number: r.asker.number, Outcome: PlacementQueued,
	}})
}

// forgetAsked forgets a request of another host.
func (c *Core) forgetAsked(key requestKey) {
	if r := c.asked[key]; r != nil {
		c.removeFromQueue(r)
		delete(c.asked, key)
	}
}

// forgetAnswers forgets the requests that were answered some time ago.
func (c *Core) forgetAnswers(now time.Duration) {
	for key, r := range c.asked {
		if r.asker.answer != nil && now-r.asker.answeredAt > answerMemory {
			delete(c.asked, key)
		}
	}
}

// isFreshGrant reports whether this host has just chosen servers for a request that the
// asking host may not have started yet.
func (c *Core) isFreshGrant(key requestKey, now time.Duration) bool {
	r := c.asked[key]
	return r != nil && r.asker.answer != nil && r.asker.answer.Outcome == PlacementChosen && now-r.asker.answeredAt < grantConfirmTime
}

// isOtherGrant reports whether the known work of a request is a choice of this host that
// does not have the given leader, so that the end of an attempt there does not concern it.
func (c *Core) isOtherGrant(key requestKey, leader string) bool {
	r := c.asked[key]
	if leader == "" || r == nil || r.asker.answer == nil || len(r.asker.answer.Members) == 0 {
		return false
	}
	return r.asker.answer.Members[0] != leader
}

// dropOtherGrant removes work that this host has chosen for a request if the asking host
// reports work elsewhere instead.
func (c *Core) dropOtherGrant(key requestKey, reported string, now time.Duration) {
	for _, u := range c.work.find(key) {
		w := u.find(key)
		if w == nil || !w.granted {
			continue
		}
		if r := c.asked[key]; r != nil && r.asker.answer != nil {
			for _, member := range r.asker.answer.Members {
				if member == reported {
					return
				}
			}
		}
		c.removeWork(u, key, now)
	}
}

// recordQuery counts a question about a service.
func (c *Core) recordQuery(service string, now time.Duration) {
	rate := c.queryRates[service]
	if rate == nil {
		rate = &startRate{}
		c.queryRates[service] = rate
	}
	rate.recordStart(now)
}

// placementRate returns the number of requests a second for which this host chooses
// servers of a service.
func (c *Core) placementRate(service string, now time.Duration) float64 {
	own := c.budgetOfService(service).requestRate(now, c.config.RetryWindow)
	if rate := c.queryRates[service]; rate != nil && c.coordinates() {
		return own + rate.perSecond(now)
	}
	return own
}

// maxWaiting returns the largest number of requests that may wait on this host.
func (c *Core) maxWaiting() int {
	if c.coordinates() {
		return maxAskedQueueLength
	}
	return maxQueueLength
}

// doubtPath looks at this host's own path to a server to which another host of its data
// centre could not connect, since it chooses servers for that host.
func (c *Core) doubtPath(host string, u *upstream, class FailureClass, now time.Duration) {
	if class != FailureNotConnected || !c.coordinates() {
		return
	}
	for _, f := range c.forwarders {
		if f.Host == host && f.DataCentre == c.config.DataCentre {
			c.probeInDoubt(u.DataCentre, minUnreachable-1, now)
			return
		}
	}
}
