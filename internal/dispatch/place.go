package dispatch

import (
	"slices"
	"time"
)

// maxFailedPlacements is the number of requests that one placement pass tries
// without success before it ends.
const maxFailedPlacements = 64

// placeWaiting starts waiting requests on engines, in the order of their
// virtual deadlines. It skips a request that does not fit, so that shorter ones
// behind it are not held up. Once a skipped long request is past its virtual
// deadline, the pass keeps the engines that it needs free of other long
// requests.
func (c *Core) placeWaiting(now time.Duration) {
	if len(c.queue.items) == 0 {
		return
	}
	p := placementPass{core: c, now: now}
	for i := 0; i < len(c.queue.items) && p.failed < maxFailedPlacements; {
		r := c.queue.items[i]
		p.tryPlace(r)
		if i < len(c.queue.items) && c.queue.items[i] == r {
			i++
		}
	}
}

// placementPass is the state of one pass over the queue.
type placementPass struct {
	core *Core
	now  time.Duration
	// failed is the number of requests for which no engine was found.
	failed int
	// heldEngines are the engines held free for a long request past its virtual
	// deadline; other long requests may not go there.
	heldEngines []*upstream
	// smallestUnplaced is, for each class, the memory in tokens of the smallest
	// request for which no engine was found. Larger requests of the same class
	// need not be tried.
	smallestUnplaced map[placementClass]int
}

// placementClass is the set of properties that requests share if they may go to
// the same engines.
type placementClass struct {
	model     string
	sizeClass sizeClass
	// overdue is set for requests past their virtual deadline, which may
	// overflow to more engines.
	overdue bool
}

// tryPlace starts a request if engines for it can be found. It fails a request
// that can't finish in time any more.
func (p *placementPass) tryPlace(r *request) {
	c := p.core
	if r.notBefore > p.now {
		return
	}
	if p.cannotFinishInTime(r) {
		c.fail(p.now, r, CodeGivenUp, minRetryAfter)
		return
	}
	if p.smallerUnplaced(r) {
		p.failed++
		return
	}
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		p.failed++
		return
	}
	group := p.chooseGroup(r, engines)
	if group != nil {
		c.startAttempt(p.now, r, group)
		return
	}
	p.failed++
	p.recordUnplaced(r)
	if r.virtualDeadline <= p.now && p.heldEngines == nil && c.sizeClass(r) == sizeLong {
		p.holdEnginesFor(r, engines)
	}
}

// minDecodeShare is the smallest part of the predicted decode time that an
// answer is assumed to take.
const minDecodeShare = 0.5

// cannotFinishInTime reports whether a waiting request could not finish within
// its time limit even in the best case. The core then fails it at once, so that
// its caller can go elsewhere.
func (p *placementPass) cannotFinishInTime(r *request) bool {
	c := p.core
	groupSize := ceilDiv(r.cost.uncachedTokens, c.cfg.SpreadTokens)
	minRunTime := r.cost.prefillTime/time.Duration(groupSize) + time.Duration(minDecodeShare*float64(r.cost.decodeTime))
	return p.now+minRunTime+c.cfg.FinishMargin > r.Deadline
}

// class returns the placement class of a request.
func (p *placementPass) class(r *request) placementClass {
	return placementClass{model: r.Model, sizeClass: p.core.sizeClass(r), overdue: r.virtualDeadline <= p.now}
}

// smallerUnplaced reports whether this pass found no engine for a request of the
// same class that needs no more memory. The given request need not be tried
// then.
func (p *placementPass) smallerUnplaced(r *request) bool {
	smallest, seen := p.smallestUnplaced[p.class(r)]
	return seen && r.totalTokens() >= smallest
}

// recordUnplaced records that no engine was found for a request.
func (p *placementPass) recordUnplaced(r *request) {
	if p.smallestUnplaced == nil {
		p.smallestUnplaced = make(map[placementClass]int)
	}
	class := p.class(r)
	if smallest, seen := p.smallestUnplaced[class]; !seen || r.totalTokens() < smallest {
		p.smallestUnplaced[class] = r.totalTokens()
	}
}

// holdEnginesFor holds the engines with the most free memory for a request past
// its virtual deadline.
func (p *placementPass) holdEnginesFor(r *request, engines []*upstream) {
	f := p.core.sumFleet(p.now, engines)
	minSize, _ := p.core.groupSize(r, &f)
	p.heldEngines = p.core.withMostFreeMemory(engines, minSize)
}

// withMostFreeMemory returns the n engines with the most free memory, ordered
// by name among equals.
func (c *Core) withMostFreeMemory(engines []*upstream, n int) []*upstream {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *upstream) int {
		return b.memoryFree(&c.cfg) - a.memoryFree(&c.cfg)
	})
	return sorted[:min(n, len(sorted))]
}

// chooseGroup returns the engines for a request, the leader first, or nil if it
// can't be placed now.
func (p *placementPass) chooseGroup(r *request, engines []*upstream) []*upstream {
	c := p.core
	short, others := c.splitEngines(engines)
	switch c.sizeClass(r) {
	case sizeShort:
		return engineOrFallback(p.chooseEngine(r, short), func() *upstream { return p.chooseEngine(r, others) })
	case sizeMedium:
		return engineOrFallback(p.chooseEngine(r, others), func() *upstream { return p.overflowToShortEngines(r, short) })
	default:
		return p.chooseForLongPrompt(r, p.withoutHeldEngines(others))
	}
}

// engineOrFallback returns a group of the given engine, or, if that is nil, of
// the engine that fallback returns. It returns nil if there is neither.
func engineOrFallback(u *upstream, fallback func() *upstream) []*upstream {
	if u == nil {
		u = fallback()
	}
	if u == nil {
		return nil
	}
	return []*upstream{u}
}

// overflowToShortEngines lets a request past its virtual deadline use the
// engines for short requests, as long as most of their memory is free.
func (p *placementPass) overflowToShortEngines(r *request, short []*upstream) *upstream {
	if r.virtualDeadline > p.now {
		return nil
	}
	var withRoom []*upstream
	for _, u := range short {
		total := u.memoryTotal(&p.core.cfg)
		if float64(u.memoryUsed()+r.totalTokens()) <= maxOverflowMemoryShare*float64(total) {
			withRoom = append(withRoom, u)
		}
	}
	return p.chooseEngine(r, withRoom)
}

// maxOverflowMemoryShare is the share of the memory of an engine for short
// requests that may be in use after another request overflowed to it.
const maxOverflowMemoryShare = 0.6

// chooseForLongPrompt returns the engines for a long prompt, or nil if starting
// it now would take the memory that other requests are likely to need.
func (p *placementPass) chooseForLongPrompt(r *request, engines []*upstream) []*upstream {
	c := p.core
	if len(engines) == 0 {
		return nil
	}
	f := c.sumFleet(p.now, engines)
	// Even on idle engines the largest prompts may not leave that much memory
	// free, so the reserve is limited to what they can leave.
	maxReserve := int(float64(f.totalMemory)*(1-c.cfg.MemoryHeadroom)) - r.totalTokens()
	memoryReserve := min(c.memoryReserve(), maxReserve)
	if f.memoryFree-r.totalTokens() < memoryReserve {
		return nil
	}
	minSize, preferredSize := c.groupSize(r, &f)
	if preferredSize == 1 {
		return engineOrFallback(p.chooseEngine(r, engines), func() *upstream { return nil })
	}
	for size := preferredSize; size >= minSize; size-- {
		if group := p.chooseGroupOfSize(r, engines, size, memoryReserve/len(engines)); group != nil {
			return group
		}
	}
	return nil
}

// withoutHeldEngines returns the engines that are not held for an overdue long
// request.
func (p *placementPass) withoutHeldEngines(engines []*upstream) []*upstream {
	if len(p.heldEngines) == 0 {
		return engines
	}
	var notHeld []*upstream
	for _, u := range engines {
		if !slices.Contains(p.heldEngines, u) {
			notHeld = append(notHeld, u)
		}
	}
	return notHeld
}

// placementOption is an engine that may get the request, with the predicted
// time to first token there and the length of the cached part of the prompt.
type placementOption struct {
	upstream         *upstream
	timeToFirstToken time.Duration
	cachedTokens     int
}

// chooseEngine draws one of the engines whose predicted time to first token is
// close to the shortest. It returns nil if none may get the request now.
func (p *placementPass) chooseEngine(r *request, engines []*upstream) *upstream {
	c := p.core
	if len(engines) == 0 {
		return nil
	}
	options := make([]placementOption, 0, len(engines))
	meanBacklog := c.meanBacklog(p.now, engines)
	for _, u := range engines {
		if o, ok := p.evaluateEngine(r, u, meanBacklog); ok {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return nil
	}
	chosen := c.drawNearBest(options)
	r.cost.uncachedTokens = max(1, r.PromptTokens-chosen.cachedTokens)
	return chosen.upstream
}

// evaluateEngine predicts the time to first token on one engine. It returns
// false if the request may not be sent there now.
func (p *placementPass) evaluateEngine(r *request, u *upstream, meanBacklog float64) (placementOption, bool) {
	c := p.core
	if u.memoryFree(&c.cfg) < r.totalTokens() {
		return placementOption{}, false
	}
	rate := u.prefillRate(&c.cfg)
	backlog := u.backlog(p.now)
	if c.sizeClass(r) == sizeLong {
		if u.ownLongPrompts > 0 {
			return placementOption{}, false
		}
	} else {
		backlog = u.backlogBeforeLong(p.now)
	}
	backlogTime := timeForTokens(backlog, rate)
	if backlogTime > c.cfg.BindWindow {
		return placementOption{}, false
	}
	cachedTokens := cachedPrefixTokens(u, r)
	if float64(backlog) > c.cfg.AffinityBound*meanBacklog+float64(r.PromptTokens) {
		// The engine is too busy for a cached prefix to count in its favour.
		cachedTokens = 0
	}
	timeToFirstToken := backlogTime + timeForTokens(r.PromptTokens-cachedTokens, rate)
	if u.ownLongPrompts > 0 || u.peerTotal.LongPromptTokens > 0 {
		// The engine processes the long prompt with a lower priority, but it
		// does not interrupt a step in progress.
		timeToFirstToken += u.decodeStep(&c.cfg)
	}
	return placementOption{upstream: u, timeToFirstToken: timeToFirstToken, cachedTokens: cachedTokens}, true
}

// meanBacklog returns the mean prefill backlog of the engines, in tokens.
func (c *Core) meanBacklog(now time.Duration, engines []*upstream) float64 {
	total := 0
	for _, u := range engines {
		total += u.backlog(now)
	}
	return float64(total) / float64(len(engines))
}

// drawNearBest picks one at random of the options within Config.ScoreSlack of
// the best, so that hosts with the same information do not all pick the same
// engine.
func (c *Core) drawNearBest(options []placementOption) placementOption {
	best := options[0].timeToFirstToken
	for _, o := range options {
		best = min(best, o.timeToFirstToken)
	}
	nearBest := options[:0]
	for _, o := range options {
		if o.timeToFirstToken <= best+c.cfg.ScoreSlack {
			nearBest = append(nearBest, o)
		}
	}
	return nearBest[c.rng.IntN(len(nearBest))]
}

// chooseGroupOfSize returns size engines that have the memory for their parts
// of the prompt, the one with the most free memory first, or nil if there are
// not enough. The members are later asked for memory all at once, and none
// waits while others hold memory, so two groups can't deadlock.
//
// Each member keeps reservePerEngine tokens free, so that the memory that other
// requests need is not left on only a few engines.
func (p *placementPass) chooseGroupOfSize(r *request, engines []*upstream, size, reservePerEngine int) []*upstream {
	c := p.core
	promptPart := ceilDiv(r.PromptTokens, size)
	var suitable []*upstream
	for _, u := range engines {
		busy := u.ownLongPrompts > 0 || timeForTokens(u.backlog(p.now), u.prefillRate(&c.cfg)) > c.cfg.BindWindow
		if !busy && u.memoryFree(&c.cfg) >= promptPart+r.MaxTokens+reservePerEngine {
			suitable = append(suitable, u)
		}
	}
	if len(suitable) < size {
		return nil
	}
	slices.SortStableFunc(suitable, func(a, b *upstream) int {
		return b.memoryFree(&c.cfg) - a.memoryFree(&c.cfg)
	})
	return suitable[:size]
}

// longestCachedPrefix returns the length, in tokens, of the longest prefix of
// the prompt that any of the engines has cached.
func (c *Core) longestCachedPrefix(engines []*upstream, r *request) int {
	best := 0
	for _, u := range engines {
		best = max(best, cachedPrefixTokens(u, r))
	}
	return best
}
