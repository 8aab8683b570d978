package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// request is one request of this host.
type request struct {
	Arrived
	arrived time.Duration
	weight  float64

	attempt int
	// runs counts attempts that may have run.
	runs    int
	tried   map[string]bool
	members []*upstream
	// sent says that the current attempt was handed to an upstream.
	sent bool
	// tickets are the reservations of the current attempt; missing counts those
	// not confirmed yet.
	tickets []Member
	missing int
	renewed time.Duration
	// lastCode is why the last attempt ended without an answer.
	lastCode ErrorCode
	lastOwn  bool
	// notBefore delays the next try.
	notBefore time.Duration
	queuedAt  time.Duration
	// harmful says that there was room, at too high a cost for others.
	harmful bool
	planned *plan
}

func (r *request) key() taskKey { return taskKey{number: r.RequestNumber} }

func (c *Core) arrive(e Arrived, now time.Duration) {
	r := &request{Arrived: e, arrived: now, weight: weight(e.PromptTokens), tried: make(map[string]bool), queuedAt: now}
	c.requests[e.RequestNumber] = r
	c.budgetOf(e.Service).arrived(now, c.config.RetryWindow)
	if code := c.hopeless(r, now); code != "" {
		c.refuse(r, code, now)
		return
	}
	if p := c.placeNow(r, now); p != nil {
		c.start(r, p, now)
		return
	}
	c.enqueue(r, now)
}

// leastService is the shortest time in which an idle service could answer a
// request: reading the prompt in the most parts, and writing half of what is
// likely.
func (c *Core) leastService(r *request) time.Duration {
	g := c.groups[r.Service]
	if r.PromptTokens == 0 || g == nil || g.service == nil || g.service.Engine == nil {
		return minLeft
	}
	e := g.service.Engine
	parts := max(1, min(maxMembers+1, len(g.upstreams)))
	write := time.Duration(r.AnswerTokens/hopefulAnswer) * e.StepTime
	return readTime(e, r.PromptTokens, parts) + max(passTime(e, 1, r.PromptTokens/parts), write)
}

// hopeless says why a request can't be served by any wait; empty if it can.
func (c *Core) hopeless(r *request, now time.Duration) ErrorCode {
	g := c.groups[r.Service]
	if g == nil {
		return CodeNoUpstream
	}
	serving, memory := 0, 0
	for _, u := range g.upstreams {
		if u.Draining {
			continue
		}
		serving++
		if u.engine != nil && serving <= maxMembers+1 {
			memory += int(memoryShare * float64(u.engine.MemoryTokens))
		}
	}
	if serving == 0 {
		return CodeNoUpstream
	}
	if memory > 0 && r.PromptTokens+r.AnswerTokens > memory {
		return CodePromptTooLarge
	}
	if r.Deadline-now < c.leastService(r) {
		return CodeTooLate
	}
	return ""
}

func (c *Core) budgetOf(service string) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{}
		c.budgets[service] = b
	}
	return b
}

// start carries a plan out: it reserves memory first where the plan says so.
func (c *Core) start(r *request, p *plan, now time.Duration) {
	r.attempt++
	r.planned = p
	r.members = p.members
	r.sent = false
	for i, u := range p.members {
		w := &work{
			key: r.key(), leads: i == 0, read: p.part,
			weight: r.weight, target: r.Route.TargetLatency, gap: r.Route.TargetPieceGap,
			arrived: r.arrived, expires: r.Deadline,
		}
		switch {
		case i < p.holders:
			w.memory = p.reserved
			w.context = r.PromptTokens / p.holders
		case i == 0:
			w.memory = r.PromptTokens + r.AnswerTokens
			w.context = r.PromptTokens
		}
		u.add(w, now)
		c.tellStart(u, w, r, now)
	}
	if p.reserved > 0 {
		c.reserve(r, p, now)
		return
	}
	c.send(r, p, now)
}

func (c *Core) send(r *request, p *plan, now time.Duration) {
	r.sent = true
	r.tried[p.members[0].ID] = true
	s := Send{
		RequestNumber: r.RequestNumber, Attempt: r.attempt, Deadline: r.Deadline,
		Members:        make([]Member, len(p.members)),
		Urgency:        urgency(r),
		ConnectTimeout: min(maxConnect, (r.Deadline-now)/connectPart),
		Choice:         c.choice(p, now),
	}
	for i, u := range p.members {
		s.Members[i] = Member{Upstream: u.ID, Address: u.Address}
		if i < len(r.tickets) {
			s.Members[i] = r.tickets[i]
		}
	}
	if r.Route.Repeatable() && r.runs+1 < r.Route.MaxRuns {
		s.FirstPieceTimeout = firstWithin(r.Route, p.predicted)
		s.PieceTimeout = pieceWithin(r.Route)
	}
	c.emit(s)
}

// firstWithin is the wait for a first piece after which another upstream is
// tried. The parts of other prompts may be read ahead of one that is far from
// late, so a long prompt is left alone for half of what its caller bears:
// sending it again repeats the reading that everybody waits for.
func firstWithin(r *route.Route, predicted time.Duration) time.Duration {
	if r.Kind == route.Safe {
		return safeAnswerFactor * r.TargetLatency
	}
	return max(firstPieceFactor*predicted+firstPieceSlack, time.Duration(firstPart*float64(borne(r))))
}

// pieceWithin is the pause after which a stream goes on elsewhere.
func pieceWithin(r *route.Route) time.Duration {
	return max(minPieceWithin, time.Duration(piecePart*float64(borne(r))))
}

// borne is how long callers wait for a stream's first or next event.
func borne(r *route.Route) time.Duration {
	return max(minBorne, bornePauses*r.TargetPieceGap, borneTargets*r.TargetLatency)
}

// urgency is the rank within a server: shorter prompts and higher priorities
// are admitted first.
func urgency(r *request) int {
	const lowest, middle = 9, 5
	if r.PromptTokens == 0 {
		return middle
	}
	rank := r.Priority
	for tokens := r.PromptTokens; tokens > tokensPerWeight; tokens /= 4 {
		rank++
	}
	return min(lowest, max(0, rank))
}

func (c *Core) choice(p *plan, now time.Duration) PlacementChoice {
	u := p.members[0]
	ch := PlacementChoice{
		PredictedFirstPiece: p.predicted, Backlog: u.backlog(now), RequestsKnown: len(u.works),
		FailureShare: u.failureShare(now), Cost: p.cost,
	}
	for _, w := range u.works {
		if w.key.host != "" {
			ch.RequestsFromPeers++
			ch.OldestReportAge = max(ch.OldestReportAge, now-w.told)
		}
	}
	return ch
}

func (c *Core) firstPiece(e FirstPiece, now time.Duration) {
	r := c.current(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	c.noteWriting(r.key(), now)
	c.news.Decoding = append(c.news.Decoding, r.RequestNumber)
}

// noteWriting ends a prompt's reading on all its members. Members that only
// read have no more to do with it.
func (c *Core) noteWriting(key taskKey, now time.Duration) {
	for _, u := range c.upstreams {
		w := u.find(key)
		if w == nil {
			continue
		}
		u.endRead(w, now)
		if !w.leads && w.memory == 0 {
			u.remove(key, now)
		}
	}
}

func (c *Core) finish(e Finished, now time.Duration) {
	r := c.current(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	c.judge(r.members[0], "", now)
	c.endAttempt(r, "", now)
	delete(c.requests, r.RequestNumber)
}

// current returns a request if the attempt is the one under way.
func (c *Core) current(number uint64, attempt int) *request {
	r := c.requests[number]
	if r == nil || r.attempt != attempt || len(r.members) == 0 {
		return nil
	}
	return r
}

// endAttempt takes an attempt off the books, gives its memory back and tells
// the other hosts.
func (c *Core) endAttempt(r *request, class FailureClass, now time.Duration) {
	for _, ticket := range r.tickets {
		c.emit(ReleaseMemory{Member: ticket})
	}
	end := ReportedEnd{RequestNumber: r.RequestNumber, Class: class}
	if len(r.members) > 0 {
		end.Upstream = r.members[0].ID
	}
	c.dropWork(r.key(), now)
	c.news.Ended = append(c.news.Ended, end)
	r.members, r.tickets, r.missing, r.planned = nil, nil, 0, nil
}

func (c *Core) dropWork(key taskKey, now time.Duration) {
	for _, u := range c.upstreams {
		u.remove(key, now)
	}
}

func (c *Core) attemptFailed(e AttemptFailed, now time.Duration) {
	r := c.current(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	culprit := r.members[0]
	for _, u := range r.members {
		if u.Address == e.FailedAddress {
			culprit = u
		}
	}
	seen := e.Class
	if culprit != r.members[0] {
		// The server asked could not work with this one.
		seen = FailureNotConnected
	}
	c.judge(culprit, seen, now)
	r.tried[culprit.ID] = true
	c.endAttempt(r, e.Class, now)
	if e.Class.ran() {
		r.runs++
	}
	r.lastCode = CodeUpstreamFailed
	r.lastOwn = e.Class == FailureUpstreamError
	c.tryAgain(r, now)
}

// tryAgain repeats a request where that is allowed and may help.
func (c *Core) tryAgain(r *request, now time.Duration) {
	if r.runs > 0 && (!r.Route.Repeatable() || r.runs >= r.Route.MaxRuns) {
		c.end(r, now)
		return
	}
	if r.Deadline-now < minLeft {
		r.lastCode = CodeTimeLimit
		c.end(r, now)
		return
	}
	if !c.budgetOf(r.Service).spend(now, &c.config, c.others+1) {
		r.lastCode = CodeRetryBudgetSpent
		c.end(r, now)
		return
	}
	if p := c.placeNow(r, now); p != nil {
		c.start(r, p, now)
		return
	}
	r.queuedAt = now
	c.enqueue(r, now)
}

// end gives the final answer to a request that will not be tried again.
func (c *Core) end(r *request, now time.Duration) {
	if r.runs == 0 {
		c.refuse(r, r.lastCode, now)
		return
	}
	delete(c.requests, r.RequestNumber)
	c.emit(Fail{RequestNumber: r.RequestNumber, Code: r.lastCode, ForwardUpstreamError: r.lastOwn})
}

func (c *Core) callerGone(e CallerGone, now time.Duration) {
	r := c.requests[e.RequestNumber]
	if r == nil {
		return
	}
	if len(r.members) > 0 {
		c.endAttempt(r, FailureCallerLeft, now)
	}
	delete(c.requests, r.RequestNumber)
	c.unqueue(r)
}
