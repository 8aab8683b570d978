package balance

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// request is the state of one request of this host.
type request struct {
	Arrived
	// arrivedAt is when the request first arrived, at this host or, if it was told to come
	// back, at another one; cameAt is when it came here.
	arrivedAt, cameAt time.Duration
	// weight is how much the request counts when costs are compared; see
	// requestWeight.
	weight float64

	// attempt is the number of the current or last attempt, counted from 1.
	attempt int
	// possibleRuns counts the attempts that may have executed the request.
	possibleRuns int
	// arrived is set once an attempt may have reached an upstream. Until then, further
	// attempts are no retries of which the upstreams know.
	arrived bool
	// forwardedTo is the host that has the current attempt; nil if an upstream has it.
	// triedHosts holds the names of the hosts that the request was passed on to.
	forwardedTo *forwarder
	triedHosts  map[string]bool
	// tried holds the ids of the upstreams that the request was sent to, or
	// that were at fault in an attempt.
	tried map[string]bool
	// lostIn names the data centre of the last server that was lost under the request, or
	// that could not be connected to.
	lostIn string
	// members lists the upstreams of the current attempt, the leader first;
	// empty if there is none.
	members []*upstream
	// sent is set once the current attempt has been handed to an upstream, at the
	// time sentAt.
	sent   bool
	sentAt time.Duration
	// reservations lists the memory reservations of the current attempt.
	// unconfirmed is the number of those that the servers have not confirmed
	// yet.
	reservations []Member
	unconfirmed  int
	// renewedAt is when the reservations were last requested or renewed.
	renewedAt time.Duration
	// lastCode is the reason why the last attempt ended without an answer.
	// lastWasUpstreamError is set if the upstream itself answered with a
	// failure.
	lastCode             ErrorCode
	lastWasUpstreamError bool
	// partlyDelivered is set once the caller has received a part of an answer.
	partlyDelivered bool
	// earliestRetry is the time before which no new attempt is made.
	earliestRetry time.Duration
	// queuedAt is when the request arrived, or when it was queued again after
	// its last failed attempt. A failed reservation does not change it.
	queuedAt time.Duration
	// waiting is set while the request waits for capacity on this host.
	waiting bool
	// tooCostly is set when the last placement found enough capacity, but at
	// too high a cost to other requests.
	tooCostly bool
	// shortage is what the last placement lacked; harm is its cost to other requests and
	// harmLimit what was borne, as multiples of this request's weight. They are for logs.
	shortage        Shortage
	harm, harmLimit float64
	// counted and countedPlaced are set once the request is in the shares of its length.
	counted, countedPlaced bool
	// pendingPlan is the plan of the current attempt.
	pendingPlan *plan
	// firstPieceAt is when the answer of the current attempt began; 0 before.
	firstPieceAt time.Duration
	// content is the name of the request's content, once it was needed.
	content string
	// returned is set when the request has come back as it was told.
	returned bool
	// isTrial is set when the request was let through in spite of a quarantine.
	isTrial bool
	// query is the state of the question to a coordinator, for a request that waits for
	// its answer.
	query query
	// asker is the host that asks this one to choose the servers; nil for a request of
	// this host.
	asker *asker
}

// key returns the key of the request in the ledgers.
func (r *request) key() requestKey {
	if r.asker != nil {
		return requestKey{r.asker.host, r.RequestNumber}
	}
	return requestKey{requestNumber: r.RequestNumber}
}

// handleArrived places a new request, puts it into the queue or refuses it.
func (c *Core) handleArrived(e Arrived, now time.Duration) {
	r := &request{
		Arrived: e, arrivedAt: now, cameAt: now, weight: requestWeight(e.PromptTokens), tried: make(map[string]bool), queuedAt: now,
		possibleRuns: e.PriorRuns, arrived: e.PriorRuns > 0,
	}
	c.requests[e.RequestNumber] = r
	if !e.Forwarded {
		c.budgetOfService(e.Service).recordRequest(now, c.config.RetryWindow)
	}
	c.recogniseReturn(r, now)
	if code := c.unservableReason(r, now); code != "" {
		c.refuse(r, code, now)
		return
	}
	if c.isQuarantined(r, now) && !c.beginTrial(r, now) {
		c.refuse(r, CodePromptQuarantined, now)
		return
	}
	c.placeOrEnqueue(r, now)
}

// placeOrEnqueue starts an attempt of a request if there is capacity, and lets it wait
// otherwise. A request whose servers a coordinator chooses waits for its answer.
func (c *Core) placeOrEnqueue(r *request, now time.Duration) {
	r.waiting = false
	if r.query.declined || c.chooseCoordinator(now) == "" {
		if p := c.placeOrPostpone(r, now); p != nil {
			c.startAttempt(r, p, now)
			return
		}
	}
	c.enqueue(r, now)
}

// minServiceTime returns the shortest time in which an idle service could
// answer a request: the prefill shared by as many servers as possible, and the
// decoding of half of the likely answer, but at least one pass. For a request
// without a prompt, and for a service without model servers, it is minTimeLeft.
func (c *Core) minServiceTime(r *request) time.Duration {
	pool := c.servicePools[r.Service]
	if r.PromptTokens == 0 || pool == nil || pool.service == nil || pool.service.Engine == nil {
		return minTimeLeft
	}
	e := pool.service.Engine
	parts := max(1, min(maxHelpers+1, len(pool.upstreams)))
	decodeTime := time.Duration(r.AnswerTokens/optimisticAnswerDivisor) * e.StepTime
	return prefillTime(e, r.PromptTokens, parts) + max(passTime(e, 1, r.PromptTokens/parts), decodeTime)
}

// unservableReason returns why a request can't be served however long it waits;
// empty if it can be. A prompt may use the memory of as many servers as the
// largest group has, which is maxHelpers+1.
func (c *Core) unservableReason(r *request, now time.Duration) ErrorCode {
	if c.stopsBeforeAnswer(r, now) {
		return CodeStopping
	}
	pool := c.servicePools[r.Service]
	if pool == nil {
		return CodeNoUpstream
	}
	if closed := c.closedBy(r); closed != "" {
		return codeOfExclusion(closed)
	}
	accepting, usableMemory := 0, 0
	for _, u := range pool.upstreams {
		if c.barred(u, r) != "" {
			continue
		}
		accepting++
		if u.engine != nil && accepting <= maxHelpers+1 {
			usableMemory += int(usableMemoryShare * float64(u.engine.MemoryTokens))
		}
	}
	if usableMemory > 0 && r.PromptTokens+r.AnswerTokens > usableMemory {
		return CodePromptTooLarge
	}
	if r.Deadline-now < c.minServiceTime(r) {
		return CodeTooLate
	}
	return ""
}

// budgetOfService returns the retry budget of a service, which it creates if
// necessary.
func (c *Core) budgetOfService(service string) *retryBudget {
	b := c.budgets[service]
	if b == nil {
		b = &retryBudget{}
		c.budgets[service] = b
	}
	return b
}

// startAttempt begins an attempt by a plan: it enters the work in the ledgers,
// reserves memory where the plan requires it, and sends the request otherwise. It
// refuses the request if this host stops before the attempt would end.
func (c *Core) startAttempt(r *request, p *plan, now time.Duration) {
	if c.outlastsHost(r, p, now) {
		r.lastCode = CodeStopping
		c.endRequest(r, now)
		return
	}
	r.attempt++
	r.pendingPlan = p
	r.members = p.members
	r.sent, r.waiting = false, false
	r.firstPieceAt = 0
	for i, u := range p.members {
		w := newWorkItem(r, p, i)
		c.addWork(u, w, now)
		u.intake.recordStart(now)
		if p.choice == nil {
			// A coordinator counts what it chooses.
			c.recordColdStart(u, now)
		}
		c.queueWorkReport(u, w, r, now)
	}
	if p.reservedTokens > 0 {
		c.reserveMemory(r, p, now)
		return
	}
	c.sendAttempt(r, p, now)
}

// newWorkItem returns the work that a plan gives to one of its members.
func newWorkItem(r *request, p *plan, member int) *workItem {
	w := &workItem{
		key: r.key(), isLeader: member == 0, prefillTime: p.partPrefillTime,
		weight: r.weight, targetLatency: r.Route.TargetLatency, targetPieceGap: r.Route.TargetPieceGap,
		arrivedAt: r.arrivedAt, expires: r.Deadline,
	}
	switch {
	case member < p.memoryHolders:
		w.memoryTokens = p.reservedTokens
		w.contextTokens = r.PromptTokens / p.memoryHolders
	case member == 0:
		w.memoryTokens = r.PromptTokens + r.AnswerTokens
		w.contextTokens = r.PromptTokens
	}
	return w
}

// sendAttempt hands the current attempt to the leader, with its helpers and
// time limits. The limits for the pieces of the answer are set only if another
// attempt would be allowed when they are exceeded.
func (c *Core) sendAttempt(r *request, p *plan, now time.Duration) {
	r.sent, r.sentAt = true, now
	r.tried[p.members[0].ID] = true
	s := Send{
		RequestNumber: r.RequestNumber, Attempt: r.attempt, Deadline: r.Deadline,
		Members:        make([]Member, len(p.members)),
		Urgency:        urgency(r),
		ConnectTimeout: min(maxConnectTimeout, (r.Deadline-now)/connectTimeoutDivisor),
		LeaderLimited:  p.members[0].intake.limit > 0, Returned: r.returned,
		Choice: c.choiceOf(p, now),
	}
	for i, u := range p.members {
		s.Members[i] = Member{Upstream: u.ID, Address: u.Address}
		if i < len(r.reservations) {
			s.Members[i] = r.reservations[i]
		}
	}
	if r.Route.Repeatable() && r.possibleRuns+1 < r.Route.MaxRuns {
		s.FirstPieceTimeout = firstPieceTimeout(r.Route, p.predictedFirstPiece)
		s.PieceTimeout = pieceTimeout(r.Route)
	}
	c.emit(s)
}

// urgency returns the rank of a request within a server, from 0 to 9; lower
// ranks are admitted first. Shorter prompts and requests with a lower priority
// number get lower ranks.
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

// choiceOf returns the inputs of the decision for a plan: those that the coordinator sent
// with it, or those known here.
func (c *Core) choiceOf(p *plan, now time.Duration) PlacementChoice {
	if p.choice != nil {
		return *p.choice
	}
	return c.placementChoice(p, now)
}

// placementChoice returns the inputs of the decision for a plan, for logs.
func (c *Core) placementChoice(p *plan, now time.Duration) PlacementChoice {
	u := p.members[0]
	choice := PlacementChoice{
		PredictedFirstPiece: p.predictedFirstPiece, Backlog: u.backlog(now), RequestsKnown: len(u.items),
		FailureShare: u.failureShare(now), Cost: p.cost,
	}
	for _, w := range u.items {
		if w.key.host != "" {
			choice.RequestsFromPeers++
			choice.OldestReportAge = max(choice.OldestReportAge, now-w.reportedAt)
		}
	}
	return choice
}

// handleFirstPiece records that the answer of an attempt has begun.
func (c *Core) handleFirstPiece(e FirstPiece, now time.Duration) {
	r := c.requestOfAttempt(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	c.observeFirstPiece(r, now)
	c.recordAnswerBegun(r, now)
	if len(r.members) > 0 {
		r.members[0].answeredAt = now
	}
	c.recordDecoding(r.key(), now)
	c.pendingReport.Decoding = append(c.pendingReport.Decoding, r.RequestNumber)
}

// handleFinished ends a request whose answer was delivered whole.
func (c *Core) handleFinished(e Finished, now time.Duration) {
	r := c.requestOfAttempt(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	switch {
	case e.Success:
		c.recordSound(r, c.namesOf(r), now)
	case c.quarantine.Active():
		c.recordSound(r, r.contentNames(), now)
	}
	if r.forwardedTo != nil {
		c.endForward(r)
	} else {
		c.recordOutcome(r.members[0], "", r.sentAt, now)
		c.endAttempt(r, "", now)
	}
	delete(c.requests, r.RequestNumber)
}

// requestOfAttempt returns the request with the given number if the attempt is
// its current one, otherwise nil.
func (c *Core) requestOfAttempt(number uint64, attempt int) *request {
	r := c.requests[number]
	if r == nil || r.attempt != attempt || len(r.members) == 0 && r.forwardedTo == nil {
		return nil
	}
	return r
}

// endAttempt removes an attempt from the ledgers, releases its memory and adds
// its end to the next report to the other hosts.
func (c *Core) endAttempt(r *request, class FailureClass, now time.Duration) {
	for _, reservation := range r.reservations {
		c.emit(ReleaseMemory{Member: reservation})
	}
	end := ReportedEnd{RequestNumber: r.RequestNumber, Class: class}
	if len(r.members) > 0 {
		end.Upstream = r.members[0].ID
	}
	c.dropWork(r.key(), now)
	c.pendingReport.Ended = append(c.pendingReport.Ended, end)
	r.members, r.reservations, r.unconfirmed, r.pendingPlan = nil, nil, 0, nil
}

// handleAttemptFailed records the failure against the member at fault and
// retries the request if that is allowed.
func (c *Core) handleAttemptFailed(e AttemptFailed, now time.Duration) {
	r := c.requestOfAttempt(e.RequestNumber, e.Attempt)
	if r == nil {
		return
	}
	r.partlyDelivered = r.partlyDelivered || e.PartlyDelivered
	if r.forwardedTo != nil {
		c.handleForwardFailed(r, e, now)
		return
	}
	failedMember := r.members[0]
	for _, u := range r.members {
		if u.Address == e.FailedAddress {
			failedMember = u
		}
	}
	observed := e.Class
	if failedMember != r.members[0] {
		// The leader could not connect to this helper.
		observed = FailureNotConnected
	}
	if e.ConnectionBroken && failedMember == r.members[0] {
		c.recordCrash(r, failedMember, e.AnswerBegun, now)
		failedMember.recordUnreached(now)
	}
	if observed == FailureAnswerLost || observed == FailureNotConnected {
		r.lostIn = failedMember.DataCentre
	}
	c.recordOutcome(failedMember, observed, r.sentAt, now)
	r.tried[failedMember.ID] = true
	c.endAttempt(r, e.Class, now)
	if e.Class.mayHaveRun() {
		r.possibleRuns++
	}
	r.arrived = r.arrived || e.Class != FailureNotConnected
	r.lastCode = CodeUpstreamFailed
	r.lastWasUpstreamError = e.Class == FailureUpstreamError
	c.retry(r, now)
}

// retry starts another attempt of a request, or puts it into the queue, if
// another attempt is allowed and may succeed. Otherwise it ends the request.
func (c *Core) retry(r *request, now time.Duration) {
	if r.Deadline-now < minTimeLeft {
		r.lastCode = CodeTimeLimit
		c.endRequest(r, now)
		return
	}
	if c.stopsBeforeAnswer(r, now) {
		r.lastCode = CodeStopping
		c.endRequest(r, now)
		return
	}
	if r.possibleRuns > 0 && (!r.Route.Repeatable() || r.possibleRuns >= r.Route.MaxRuns) {
		c.endRequest(r, now)
		return
	}
	if r.partlyDelivered && r.Route.Kind != route.Stream {
		// Only a stream can go on where another server's answer broke off.
		c.endRequest(r, now)
		return
	}
	if c.isQuarantined(r, now) {
		r.lastCode = CodePromptQuarantined
		c.endRequest(r, now)
		return
	}
	if r.arrived && !c.budgetOfService(r.Service).trySpend(now, &c.config, c.otherHosts+1) {
		r.lastCode = CodeRetryBudgetSpent
		c.endRequest(r, now)
		return
	}
	r.queuedAt = now
	c.placeOrEnqueue(r, now)
}

// endRequest gives the final answer to a request that will not be tried again.
func (c *Core) endRequest(r *request, now time.Duration) {
	if r.asker != nil {
		c.refuseAsked(r, now)
		return
	}
	c.withdrawQuery(r)
	if r.possibleRuns == 0 {
		c.refuse(r, r.lastCode, now)
		return
	}
	delete(c.requests, r.RequestNumber)
	c.emit(Fail{RequestNumber: r.RequestNumber, Code: r.lastCode, ForwardUpstreamError: r.lastWasUpstreamError})
}

// handleCallerGone ends a request whose caller has left.
func (c *Core) handleCallerGone(e CallerGone, now time.Duration) {
	r := c.requests[e.RequestNumber]
	if r == nil {
		return
	}
	if len(r.members) > 0 {
		c.endAttempt(r, FailureCallerLeft, now)
	}
	c.endForward(r)
	c.withdrawQuery(r)
	delete(c.requests, r.RequestNumber)
	c.removeFromQueue(r)
}

// handleDeadlinePassed ends a request that still waits for room or for memory: with a
// refusal if it has not run. An attempt that is under way ends by its own time limit.
func (c *Core) handleDeadlinePassed(e DeadlinePassed, now time.Duration) {
	r := c.requests[e.RequestNumber]
	if r == nil || r.forwardedTo != nil || r.sent && len(r.members) > 0 {
		return
	}
	if len(r.members) > 0 {
		c.endAttempt(r, FailureCallerLeft, now)
	}
	c.removeFromQueue(r)
	r.lastCode = CodeOverloaded
	switch {
	case c.hostEndsAt > 0 && now < r.Deadline:
		r.lastCode = CodeStopping
	case r.possibleRuns > 0:
		r.lastCode = CodeTimeLimit
	}
	c.endRequest(r, now)
}
