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
	p := pass{core: c, now: now}
	waiting := append([]*request(nil), c.queue.items...)
	for _, r := range waiting {
		if p.failed >= maxPasses {
			return
		}
		p.try(r)
	}
}

// pass is one walk over the queue.
type pass struct {
	core *Core
	now  time.Duration
	// failed counts requests that found no engine.
	failed int
	// kept are engines held free for an overdue request.
	kept []*upstream
	// refusedAt is the least memory, in tokens, for which a single engine was
	// sought in vain, by model; larger requests need not be tried.
	refusedAt map[string]int
}

func (p *pass) try(r *request) {
	c := p.core
	if r.notBefore > p.now {
		return
	}
	if least, seen := p.refusedAt[r.Model]; seen && r.totalTokens() >= least && r.totalTokens() <= c.cfg.EngineMemory {
		p.failed++
		return
	}
	engines := c.candidates(r.Model)
	group := p.choose(r, engines)
	if group != nil {
		c.start(p.now, r, group)
		return
	}
	p.failed++
	p.refuse(r)
	if r.key < p.now && p.kept == nil {
		p.keepFor(r, engines)
	}
}

func (p *pass) refuse(r *request) {
	if p.refusedAt == nil {
		p.refusedAt = make(map[string]int)
	}
	if least, seen := p.refusedAt[r.Model]; !seen || r.totalTokens() < least {
		p.refusedAt[r.Model] = r.totalTokens()
	}
}

// keepFor holds the engines with the most free memory for an overdue request.
func (p *pass) keepFor(r *request, engines []*upstream) {
	if len(engines) == 0 {
		return
	}
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
	free := p.unkept(engines)
	if len(free) == 0 {
		return nil
	}
	f := p.core.fleet(p.now, free)
	least, wanted := p.core.groupSize(r, &f)
	if wanted == 1 {
		u := p.chooseOne(r, free)
		if u == nil {
			return nil
		}
		return []*upstream{u}
	}
	for size := wanted; size >= least; size-- {
		if group := p.chooseGroup(r, free, size); group != nil {
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
	options := make([]option, 0, len(engines))
	meanLoad := c.meanLoad(p.now, engines)
	for _, u := range engines {
		if o, ok := p.consider(r, u, meanLoad); ok {
			options = append(options, o)
		}
	}
	if long := r.cost.uncached >= c.cfg.LongTokens; long {
		options = c.restrictLong(options, engines)
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
	long := r.cost.uncached >= c.cfg.LongTokens
	ahead := tokensTime(backlog, rate)
	if ahead > c.cfg.BindWindow && (long || u.longs == 0) {
		return option{}, false
	}
	if long && u.longs > 0 {
		return option{}, false
	}
	cached := cachedTokens(u, r)
	if float64(backlog) > c.cfg.AffinityBound*meanLoad+float64(r.PromptTokens) {
		cached = 0
	}
	score := ahead + tokensTime(r.PromptTokens-cached, rate)
	if u.longs > 0 {
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

// longEngines is the number of engines open to long prompts: their share of
// the work as seen, with headroom, and at least one.
func (c *Core) longEngines(total int) int {
	n := int(c.mix.longShare()*c.cfg.LongHeadroom*float64(total) + 1)
	return min(max(n, 1), max(1, total-1))
}

// restrictLong keeps the options among the first engines by name, which every
// host of the data centre holds open to long prompts.
func (c *Core) restrictLong(options []option, engines []*upstream) []option {
	n := c.longEngines(len(engines))
	open := engines[:min(n, len(engines))]
	kept := options[:0]
	for _, o := range options {
		if slices.Contains(open, o.upstream) {
			kept = append(kept, o)
		}
	}
	return kept
}

// chooseGroup returns size engines that have the memory for their parts, the
// least loaded first, or nil. Members are asked for memory all at once and
// none waits while others hold, so two groups can't deadlock.
func (p *pass) chooseGroup(r *request, engines []*upstream, size int) []*upstream {
	c := p.core
	part := divideUp(r.PromptTokens, size)
	var fit []*upstream
	for _, u := range engines {
		busy := u.longs > 0 || tokensTime(u.backlog(p.now), u.prefillRate(&c.cfg)) > c.cfg.BindWindow
		if !busy && u.memoryFree(&c.cfg) >= part+r.MaxTokens {
			fit = append(fit, u)
		}
	}
	if len(fit) < size {
		return nil
	}
	open := c.longEngines(len(engines))
	preferred := func(u *upstream) int {
		if slices.Index(engines, u) < open {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(fit, func(a, b *upstream) int {
		if d := preferred(a) - preferred(b); d != 0 {
			return d
		}
		return a.backlog(p.now) - b.backlog(p.now)
	})
	return fit[:size]
}

// candidates returns the engines that may serve a model: usable ones of this
// data centre, else usable ones elsewhere, ordered by name.
func (c *Core) candidates(model string) []*upstream {
	if view, ok := c.views[model]; ok {
		return view
	}
	view := c.findCandidates(model)
	c.views[model] = view
	return view
}

func (c *Core) findCandidates(model string) []*upstream {
	var near, far []*upstream
	for _, u := range c.engines {
		if !u.usable() || !u.holds(model) {
			continue
		}
		if u.dataCentre == c.cfg.DataCentre {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// bestCached is the longest prefix that any engine has cached, in tokens.
func (c *Core) bestCached(engines []*upstream, r *request) int {
	best := 0
	for _, u := range engines {
		best = max(best, cachedTokens(u, r))
	}
	return best
}
