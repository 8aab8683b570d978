package balance

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// plan is a choice of upstreams for one request.
type plan struct {
	// members lists the leader, which answers the request, and then its
	// helpers.
	members []*upstream
	// partPrefillTime is the prefill time of the part that each member takes.
	partPrefillTime time.Duration
	// reservedTokens is the KV memory, in tokens, to reserve on each of the
	// first memoryHolders members; 0 if no memory needs to be reserved.
	reservedTokens int
	memoryHolders  int
	// predictedFirstPiece is the expected time until the first piece of the
	// answer.
	predictedFirstPiece time.Duration
	// cost is the cost of the plan to all requests, costToOthers the part of it
	// that falls on other requests.
	cost         float64
	costToOthers float64
	// choice holds the inputs of the decision if another host made it, otherwise nil.
	choice *PlacementChoice
	// slowness is the factor by which the prediction was prolonged because the leader is
	// cold; 0 if it is not known.
	slowness float64
}

// scoredUpstream is an upstream together with the cost of making it a member of
// a plan.
type scoredUpstream struct {
	upstream *upstream
	load     loadSummary
	// firstPieceDelay is the expected time until the end of the pass in which
	// the upstream would decode the first event, after its prefill.
	firstPieceDelay time.Duration
	// cost is the cost to all requests, costToOthers the part of it that falls
	// on other requests.
	cost         float64
	costToOthers float64
}

// candidates returns the upstreams that a request may be sent to now. Those
// that it was sent to before, or that were at fault in an earlier attempt, are
// returned only if there are no others.
func (c *Core) candidates(r *request, now time.Duration) []*upstream {
	var untried, alreadyTried []*upstream
	for _, u := range c.upstreamsOf(r.Service) {
		switch {
		case c.exclusionOf(u, r, now) != "":
		case r.tried[u.ID]:
			alreadyTried = append(alreadyTried, u)
		default:
			untried = append(untried, u)
		}
	}
	if len(untried) > 0 {
		return c.limitCandidates(untried)
	}
	return c.limitCandidates(alreadyTried)
}

// limitCandidates bounds the time of a choice among many upstreams: it keeps those of this
// data centre and a random part of the others, maxCandidates in all.
func (c *Core) limitCandidates(list []*upstream) []*upstream {
	if len(list) <= maxCandidates {
		return list
	}
	var near, far []*upstream
	for _, u := range list {
		if u.DataCentre == c.config.DataCentre {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	for _, group := range [][]*upstream{near, far} {
		c.random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return append(near, far...)[:maxCandidates]
}

// place chooses upstreams for a request. It returns nil if none has enough
// capacity now. A prompt is spread over the memory of several servers only if no
// leader can hold all of it, since each reservation is one more step that can
// fail.
func (c *Core) place(r *request, now time.Duration) *plan {
	candidates := c.candidates(r, now)
	if len(candidates) == 0 {
		return nil
	}
	if c.config.Policy == PolicyPlain {
		return c.placeByRequestCount(r, candidates)
	}
	e := candidates[0].engine
	if e == nil || r.PromptTokens == 0 {
		return c.placeServiceCall(r, candidates, now)
	}
	c.busyShare, c.slotsTaken = busyShare(candidates), slotsTaken(candidates, e)
	if p := c.placePrompt(r, e, candidates, false, now); p != nil {
		return p
	}
	// Orders for memory would count against what a cold server bears.
	if candidates = c.warmOnly(candidates, now); len(candidates) == 0 {
		return nil
	}
	return c.placePrompt(r, e, candidates, true, now)
}

// busyShare returns the share of the upstreams that have work. It is the part
// of a backlog's cost that counts as cost to other requests: on servers without
// other work, a prefill backlog delays no other request.
func busyShare(candidates []*upstream) float64 {
	busy := 0
	for _, u := range candidates {
		if len(u.items) > 0 {
			busy++
		}
	}
	return float64(busy) / float64(len(candidates))
}

// slotsTaken returns the share of the slots of the upstreams that are occupied.
func slotsTaken(candidates []*upstream, e *route.Engine) float64 {
	taken, all := 0, 0
	for _, u := range candidates {
		taken += u.load().leaders
		all += slotCount(u, e)
	}
	return min(1, float64(taken)/float64(max(1, all)))
}

// placeByRequestCount selects the upstream with the fewest requests. It is the
// plain policy, which serves as a baseline for the predictive one.
func (c *Core) placeByRequestCount(r *request, candidates []*upstream) *plan {
	best := candidates[c.random.IntN(len(candidates))]
	for _, u := range candidates {
		if len(u.items) < len(best.items) {
			best = u
		}
	}
	return &plan{members: []*upstream{best}}
}

// placeServiceCall selects an upstream of a service without model servers:
// preferably near, free of failures, and with few requests for its number of
// slots.
func (c *Core) placeServiceCall(_ *request, candidates []*upstream, now time.Duration) *plan {
	var best *plan
	for _, u := range candidates {
		cost := float64(len(u.items))/float64(max(1, u.Slots)) + failureCost*u.failureRisk(now)
		if u.DataCentre != c.config.DataCentre {
			cost += remoteCallCost
		}
		if best == nil || cost < best.cost {
			best = &plan{members: []*upstream{u}, cost: cost}
		}
	}
	return best
}

// remoteCallCost is the cost of an upstream in another data centre, for a
// service without model servers, as a share of its slots. The round trip there
// takes about as long as a call itself.
const remoteCallCost = 0.5

// placePrompt chooses how many servers share the prefill of a prompt, and which
// ones. If reserve is set, the KV memory is spread evenly over some of them and
// must be reserved; otherwise the leader holds all of it.
func (c *Core) placePrompt(r *request, e *route.Engine, candidates []*upstream, reserve bool, now time.Duration) *plan {
	var best *plan
	for _, parts := range c.partsToTry(r, e, len(candidates)) {
		if p := c.planForParts(r, e, candidates, parts, reserve, now); p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// partCounts are the numbers of servers that are tried for a long prompt.
var partCounts = []int{1, 2, 3, 4, 6, 8, 11, 16}

// partsToTry returns the numbers of servers to try for a request, at most as
// many as are available. A short prompt is not divided.
func (c *Core) partsToTry(r *request, e *route.Engine, available int) []int {
	if prefillTime(e, r.PromptTokens, 1) < longPrefillTime {
		return partCounts[:1]
	}
	n := sort.SearchInts(partCounts, min(available, maxHelpers+1)+1)
	return partCounts[:n]
}

// planForParts returns the best plan in which the given number of servers share
// the prefill, or nil if none fits.
func (c *Core) planForParts(r *request, e *route.Engine, candidates []*upstream, parts int, reserve bool, now time.Duration) *plan {
	partPrefill := prefillTime(e, r.PromptTokens, parts)
	memoryNeeded := r.PromptTokens + r.AnswerTokens
	holders, reservedTokens := 0, 0
	if reserve {
		holders = min(holdersNeeded(e, memoryNeeded), len(candidates))
		reservedTokens = memoryNeeded/holders + 1
	}
	if holders > parts {
		return nil
	}
	scored := make([]scoredUpstream, 0, len(candidates))
	for _, u := range candidates {
		scored = append(scored, c.scoreUpstream(r, e, u, partPrefill, parts, now))
	}
	if len(scored) < parts {
		return nil
	}
	sort.SliceStable(scored, func(i, j int) bool { return scored[i].cost < scored[j].cost })
	leader := c.chooseLeader(r, e, scored, partPrefill, leaderMemory(memoryNeeded, reservedTokens), now)
	if leader < 0 {
		return nil
	}
	p := &plan{partPrefillTime: partPrefill, reservedTokens: reservedTokens, memoryHolders: holders}
	return c.assemblePlan(r, e, p, scored, leader, parts, now)
}

// chooseLeader returns the index of the upstream that answers the request at
// the least cost, among those with a free slot and enough memory; -1 if there
// is none.
func (c *Core) chooseLeader(r *request, e *route.Engine, scored []scoredUpstream, partPrefill time.Duration, memoryNeeded int, now time.Duration) int {
	leader := -1
	leastCost := 0.0
	for i, candidate := range scored {
		if candidate.load.leaders >= slotCount(candidate.upstream, e) || !hasMemory(e, candidate.load, memoryNeeded) {
			continue
		}
		if cost := candidate.cost + c.leaderCost(r, e, candidate, partPrefill, now); leader < 0 || cost < leastCost {
			leader, leastCost = i, cost
		}
	}
	return leader
}

// holdersNeeded returns the number of servers over which the KV memory of a
// prompt is spread when no single server has enough of it free.
func holdersNeeded(e *route.Engine, memoryNeeded int) int {
	const minHolders = 2
	memoryPerHolder := max(1, int(holderMemoryShare*float64(e.MemoryTokens)))
	return max(minHolders, (memoryNeeded+memoryPerHolder-1)/memoryPerHolder)
}

// leaderMemory returns the memory, in tokens, that the leader must have free.
func leaderMemory(memoryNeeded, reservedTokens int) int {
	if reservedTokens > 0 {
		return reservedTokens
	}
	return memoryNeeded
}

// assemblePlan completes a plan with the given leader and the cheapest other
// upstreams. Those that hold memory come first and must have enough of it; the
// result is nil if there are too few of them.
func (c *Core) assemblePlan(r *request, e *route.Engine, p *plan, scored []scoredUpstream, leader, parts int, now time.Duration) *plan {
	firstPieceDelay := time.Duration(0)
	taken := make([]bool, len(scored))
	addMember := func(i int) {
		taken[i] = true
		p.members = append(p.members, scored[i].upstream)
		p.cost += scored[i].cost
		p.costToOthers += scored[i].costToOthers
		firstPieceDelay = max(firstPieceDelay, scored[i].firstPieceDelay)
	}
	addMember(leader)
	for i, candidate := range scored {
		if len(p.members) < p.memoryHolders && !taken[i] && hasMemory(e, candidate.load, p.reservedTokens) {
			addMember(i)
		}
	}
	if len(p.members) < p.memoryHolders {
		return nil
	}
	for i := range scored {
		if len(p.members) < parts && !taken[i] {
			addMember(i)
		}
	}
	p.predictedFirstPiece = firstPieceDelay
	p.slowness = c.slownessOf(scored[leader].upstream, now)
	p.cost += r.weight * latenessCost(now-r.arrivedAt+firstPieceDelay, r.Route.TargetLatency)
	p.cost += c.leaderCost(r, e, scored[leader], p.partPrefillTime, now)
	p.cost += r.weight * helperCost * float64(parts-1)
	return p
}

// leaderCost returns the cost of making an upstream the leader: the expected
// pauses of the request itself, and, where other hosts choose it too, the risk that they
// fill the last free slots at the same moment.
func (c *Core) leaderCost(r *request, e *route.Engine, candidate scoredUpstream, partPrefill time.Duration, now time.Duration) float64 {
	ownPause := passTime(e, candidate.load.leaders+1, candidate.load.contextTokens+r.PromptTokens)
	cost := r.weight * latenessCost(ownPause, r.Route.TargetPieceGap)
	if c.choosesAlone(candidate.upstream) {
		return cost
	}
	if slotShare := float64(candidate.load.leaders+1) / float64(slotCount(candidate.upstream, e)); slotShare > crowdedSlotShare {
		pauseAfter := candidate.upstream.predictPause(e, now, partPrefill, 1, r.PromptTokens)
		cost += r.weight * latenessCost(pauseAfter, r.Route.TargetPieceGap)
		cost += slotShare - crowdedSlotShare
	}
	freeSlots := slotCount(candidate.upstream, e) - candidate.load.leaders - 1
	return cost + r.weight*lateAnswerLoss*overCapacityProbability(freeSlots, c.expectedUnreportedStarts(c.servicePools[r.Service], now))
}

// scoreUpstream computes the cost of an upstream as the member that prefills
// one of the given number of parts.
func (c *Core) scoreUpstream(r *request, e *route.Engine, u *upstream, partPrefill time.Duration, parts int, now time.Duration) scoredUpstream {
	scored := scoredUpstream{upstream: u, load: u.load()}
	pauseBefore := u.predictPause(e, now, 0, 0, 0)
	pauseAfter := u.predictPause(e, now, partPrefill, 1, r.PromptTokens/parts)
	pass := passTime(e, scored.load.leaders+1, scored.load.contextTokens)
	scored.firstPieceDelay = u.backlog(now) + partPrefill + pass
	if scored.load.leaders > 0 {
		// The pass under way must end first: on average half of it is left.
		scored.firstPieceDelay += pass / 2
	}
	scored.firstPieceDelay = time.Duration(float64(scored.firstPieceDelay) * c.slownessOf(u, now))
	scored.costToOthers = u.addedLatenessCost(now, pauseBefore, pauseAfter)
	addedBacklogCost := c.costOfBacklog(u.backlog(now)+partPrefill) - c.costOfBacklog(u.backlog(now))
	scored.cost = scored.costToOthers + addedBacklogCost
	scored.costToOthers += addedBacklogCost * c.busyShare
	scored.cost += failureCost * u.failureRisk(now) * r.weight / float64(parts)
	isLong := partPrefill*time.Duration(parts) >= longPrefillTime
	scored.cost += c.orderCost(u, isLong) * r.weight / float64(parts)
	if c.isCold(u, now) {
		scored.cost -= coldShareWorth * c.slotsTaken * r.weight / float64(parts)
	}
	if u.DataCentre != c.config.DataCentre {
		scored.cost += c.remoteCost(isLong) * r.weight / float64(parts)
	}
	scored.cost += jitterCost * float64(c.placingHosts()-1) * c.random.Float64() * r.weight / float64(parts)
	scored.cost += c.restartCost(r, u) * r.weight / float64(parts)
	// The delay that this member's part of the prefill causes to the request
	// counts too, so that members with a short backlog are preferred.
	scored.cost += r.weight * latenessCost(now-r.arrivedAt+scored.firstPieceDelay, r.Route.TargetLatency) / float64(parts)
	return scored
}

// orderCost returns the cost of an upstream's place in the order that a prompt prefers.
func (c *Core) orderCost(u *upstream, isLong bool) float64 {
	switch {
	case isLong:
		return positionCost * (1 - u.position)
	case c.coordinates():
		return filledPositionCost * u.position
	default:
		return positionCost * u.position
	}
}

// choosesAlone reports whether no other host sends short prompts to an upstream: those of
// its own data centre are left to each coordinator.
func (c *Core) choosesAlone(u *upstream) bool {
	return c.coordinates() && u.DataCentre == c.config.DataCentre
}

// stallsStreams reports whether the plan would delay the streams of a server until they
// are taken to be broken; see pieceTimeout.
func (p *plan) stallsStreams(now time.Duration) bool {
	for _, u := range p.members {
		if u.backlog(now)+p.partPrefillTime < maxStreamStall {
			continue
		}
		for _, w := range u.items {
			if w.isLeader && w.decoding {
				return true
			}
		}
	}
	return false
}

// remoteCost returns the cost of an upstream in another data centre. Where coordinators
// choose, that of the other data centre sends short prompts there at the same moment.
func (c *Core) remoteCost(isLong bool) float64 {
	if c.coordinates() && !isLong {
		return contestedUpstreamCost
	}
	return remotePromptCost
}

// costOfBacklog returns the cost of a server's prefill backlog to later
// requests. It is up to twice as high in large fleets, whose hosts send prompts
// to the same servers before they know of each other's choices.
func (c *Core) costOfBacklog(backlog time.Duration) float64 {
	backlogUnits := float64(backlog) / float64(backlogScale)
	return backlogCost * (1 + min(1, float64(c.otherHosts)/largeFleetHosts)) * backlogUnits * backlogUnits
}

// slotCount returns the number of requests that a model server works on at the
// same time: as declared for the service, otherwise as registered by the
// server.
func slotCount(u *upstream, e *route.Engine) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return max(1, u.Slots)
}

// hasMemory reports whether a server with the given load can hold the given
// number of further tokens.
func hasMemory(e *route.Engine, l loadSummary, tokens int) bool {
	return e.MemoryTokens == 0 || l.memoryTokens+tokens <= int(usableMemoryShare*float64(e.MemoryTokens))
}
