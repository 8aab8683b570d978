package dispatch

import (
	"slices"
	"time"
)

// maxPasses bounds how many requests one schedule pass tries in vain.
const maxPasses = 64

// schedule binds waiting requests to engines in the order of their keys. A
// request that does not fit is passed over, so that shorter ones behind it are
// not held up; once it is overdue, the engines it needs are kept free for it.
func (c *Core) schedule(now time.Duration) {
	if len(c.queue.items) == 0 {
		return
	}
	p := pass{core: c, now: now}
	for i := 0; i < len(c.queue.items) && p.failed < maxPasses; {
		r := c.queue.items[i]
		p.try(r)
		if i < len(c.queue.items) && c.queue.items[i] == r {
			i++
		}
	}
}

// pass is one walk over the queue.
type pass struct {
	core *Core
	now  time.Duration
	// failed counts requests that found no engine.
	failed int
	// kept are engines held free for an overdue long request; others that are
	// long may not go there.
	kept []*upstream
	// refusedAt is the least memory, in tokens, for which engines were sought
	// in vain; larger requests of the same class need not be tried.
	refusedAt map[sizeClass]int
}

// sizeClass is what requests that may go to the same engines have in common.
type sizeClass struct {
	model string
	lane  lane
	// overdue requests may overflow to more engines.
	overdue bool
}

func (p *pass) try(r *request) {
	c := p.core
	if r.notBefore > p.now {
		return
	}
	if p.tooLate(r) {
		c.fail(p.now, r, CodeGivenUp, minRetryAfter)
		return
	}
	if p.hopeless(r) {
		p.failed++
		return
	}
	engines := c.candidates(r.Model).engines
	if len(engines) == 0 {
		p.failed++
		return
	}
	group := p.choose(r, engines)
	if group != nil {
		c.start(p.now, r, group)
		return
	}
	p.failed++
	p.refuse(r)
	if r.key <= p.now && p.kept == nil && c.lane(r) == laneLong {
		p.keepFor(r, engines)
	}
}

// bestDecode is the least part of the predicted decode time that an answer takes.
const bestDecode = 0.5

// tooLate says whether a waiting request could not finish in time even at the
// best; it is given up at once then, so that its caller can go elsewhere.
func (p *pass) tooLate(r *request) bool {
	c := p.core
	members := divideUp(r.cost.uncached, c.cfg.SpreadTokens)
	least := r.cost.prefill/time.Duration(members) + time.Duration(bestDecode*float64(r.cost.decode))
	return p.now+least+c.cfg.FinishMargin > r.Deadline
}

func (p *pass) class(r *request) sizeClass {
	return sizeClass{model: r.Model, lane: p.core.lane(r), overdue: r.key <= p.now}
}

// hopeless says whether a smaller request of the class found no engine.
func (p *pass) hopeless(r *request) bool {
	least, seen := p.refusedAt[p.class(r)]
	return seen && r.totalTokens() >= least
}

func (p *pass) refuse(r *request) {
	if p.refusedAt == nil {
		p.refusedAt = make(map[sizeClass]int)
	}
	class := p.class(r)
	if least, seen := p.refusedAt[class]; !seen || r.totalTokens() < least {
		p.refusedAt[class] = r.totalTokens()
	}
}

// keepFor holds the engines with the most free memory for an overdue request.
func (p *pass) keepFor(r *request, engines []*upstream) {
	f := p.core.fleet(p.now, engines)
	least, _ := p.core.groupSize(r, &f)
	p.kept = p.core.mostFree(engines, least)
}

// mostFree returns the engines with the most free memory, by name among equals.
func (c *Core) mostFree(engines []*upstream, n int) []*upstream {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *upstream) int {
		return b.memoryFree(&c.cfg) - a.memoryFree(&c.cfg)
	})
	return sorted[:min(n, len(sorted))]
}

// choose returns the group for a request, the leader first, or nil.
func (p *pass) choose(r *request, engines []*upstream) []*upstream {
	c := p.core
	short, others := c.split(engines)
	switch c.lane(r) {
	case laneShort:
		return single(p.chooseOne(r, short), func() *upstream { return p.chooseOne(r, others) })
	case laneMedium:
		return single(p.chooseOne(r, others), func() *upstream { return p.overflow(r, short) })
	default:
		return p.chooseLong(r, p.unkept(others))
	}
}

// single wraps the first engine that was found.
func single(u *upstream, otherwise func() *upstream) []*upstream {
	if u == nil {
		u = otherwise()
	}
	if u == nil {
		return nil
	}
	return []*upstream{u}
}

// overflow lets an overdue request onto the engines of short ones, as long as
// most of their memory is free.
func (p *pass) overflow(r *request, short []*upstream) *upstream {
	if r.key > p.now {
		return nil
	}
	var roomy []*upstream
	for _, u := range short {
		total := u.memoryTotal(&p.core.cfg)
		if float64(u.memoryUsed()+r.totalTokens()) <= overflowPart*float64(total) {
			roomy = append(roomy, u)
		}
	}
	return p.chooseOne(r, roomy)
}

// overflowPart is the part of the memory of an engine for short requests that
// may be used when others overflow to it.
const overflowPart = 0.6

// chooseLong returns the engines for a long prompt, or nil while starting it
// would take the memory that others are likely to need.
func (p *pass) chooseLong(r *request, engines []*upstream) []*upstream {
	c := p.core
	if len(engines) == 0 {
		return nil
	}
	f := c.fleet(p.now, engines)
	// The largest prompts may not leave that much even on idle engines.
	most := int(float64(f.memory)*(1-c.cfg.MemoryHeadroom)) - r.totalTokens()
	reserve := min(c.reserve(), most)
	if f.memoryFree-r.totalTokens() < reserve {
		return nil
	}
	least, wanted := c.groupSize(r, &f)
	if wanted == 1 {
		return single(p.chooseOne(r, engines), func() *upstream { return nil })
	}
	for size := wanted; size >= least; size-- {
		if group := p.chooseGroup(r, engines, size, reserve/len(engines)); group != nil {
			return group
		}
	}
	return nil
}

func (p *pass) unkept(engines []*upstream) []*upstream {
	if len(p.kept) == 0 {
		return engines
	}
	var free []*upstream
	for _, u := range engines {
		if !slices.Contains(p.kept, u) {
			free = append(free, u)
		}
	}
	return free
}

// option is an engine with its predicted time to first token.
type option struct {
	upstream *upstream
	score    time.Duration
	cached   int
}

// chooseOne draws among the engines whose predicted time to first token is
// about the least.
func (p *pass) chooseOne(r *request, engines []*upstream) *upstream {
	c := p.core
	if len(engines) == 0 {
		return nil
	}
	options := make([]option, 0, len(engines))
	meanLoad := c.meanLoad(p.now, engines)
	for _, u := range engines {
		if o, ok := p.consider(r, u, meanLoad); ok {
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return nil
	}
	chosen := c.draw(options)
	r.cost.uncached = max(1, r.PromptTokens-chosen.cached)
	return chosen.upstream
}

// consider predicts the time to first token on one engine; ok is false where
// the request may not be bound now.
func (p *pass) consider(r *request, u *upstream, meanLoad float64) (option, bool) {
	c := p.core
	if u.memoryFree(&c.cfg) < r.totalTokens() {
		return option{}, false
	}
	rate := u.prefillRate(&c.cfg)
	backlog := u.backlog(p.now)
	if c.lane(r) == laneLong {
		if u.longs > 0 {
			return option{}, false
		}
	} else {
		backlog = u.backlogAhead(p.now)
	}
	ahead := tokensTime(backlog, rate)
	if ahead > c.cfg.BindWindow {
		return option{}, false
	}
	cached := cachedTokens(u, r)
	if float64(backlog) > c.cfg.AffinityBound*meanLoad+float64(r.PromptTokens) {
		cached = 0
	}
	score := ahead + tokensTime(r.PromptTokens-cached, rate)
	if u.longs > 0 || u.others.LongTokens > 0 {
		// The long prompt's work has the lower priority, but a step in
		// progress is not interrupted.
		score += u.decodeStep(&c.cfg)
	}
	return option{upstream: u, score: score, cached: cached}, true
}

func (c *Core) meanLoad(now time.Duration, engines []*upstream) float64 {
	total := 0
	for _, u := range engines {
		total += u.backlog(now)
	}
	return float64(total) / float64(len(engines))
}

// draw picks at random among the options within ScoreSlack of the best, so
// that hosts with the same view do not all pick the same engine.
func (c *Core) draw(options []option) option {
	best := options[0].score
	for _, o := range options {
		best = min(best, o.score)
	}
	near := options[:0]
	for _, o := range options {
		if o.score <= best+c.cfg.ScoreSlack {
			near = append(near, o)
		}
	}
	return near[c.rng.IntN(len(near))]
}

// chooseGroup returns size engines that have the memory for their parts, the
// one with the most first, or nil. Members are asked for memory all at once and
// none waits while others hold, so two groups can't deadlock.
// Each member keeps its part of the reserve, in tokens, free, so that what the
// others need is not left on a few engines alone.
func (p *pass) chooseGroup(r *request, engines []*upstream, size, reserve int) []*upstream {
	c := p.core
	part := divideUp(r.PromptTokens, size)
	var fit []*upstream
	for _, u := range engines {
		busy := u.longs > 0 || tokensTime(u.backlog(p.now), u.prefillRate(&c.cfg)) > c.cfg.BindWindow
		if !busy && u.memoryFree(&c.cfg) >= part+r.MaxTokens+reserve {
			fit = append(fit, u)
		}
	}
	if len(fit) < size {
		return nil
	}
	slices.SortStableFunc(fit, func(a, b *upstream) int {
		return b.memoryFree(&c.cfg) - a.memoryFree(&c.cfg)
	})
	return fit[:size]
}

// bestCached is the longest prefix that any engine has cached, in tokens.
func (c *Core) bestCached(engines []*upstream, r *request) int {
	best := 0
	for _, u := range engines {
		best = max(best, cachedTokens(u, r))
	}
	return best
}
