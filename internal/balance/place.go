package balance

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// plan is a choice of upstreams for one request.
type plan struct {
	// members are the upstream asked, then those that help it.
	members []*upstream
	// part is each member's reading time.
	part time.Duration
	// reserved is the memory to set aside on each of the first holders members;
	// 0 for none.
	reserved  int
	holders   int
	predicted time.Duration
	// cost is what it costs all, harm the part of it that others bear.
	cost float64
	harm float64
}

// option is one upstream as a member of a plan under consideration.
type option struct {
	u *upstream
	l load
	// first is the expected time to the end of its reading, and of the pass
	// in which the first event is written.
	first time.Duration
	cost  float64
	harm  float64
}

// candidates are the upstreams that may get a request. Those that it was sent
// to before come only if there are no others.
func (c *Core) candidates(r *request, now time.Duration) []*upstream {
	g := c.groups[r.Service]
	if g == nil {
		return nil
	}
	var fresh, again []*upstream
	for _, u := range g.upstreams {
		switch {
		case !u.usable(now), now < c.site(u.DataCentre).avoidUntil:
		case r.tried[u.ID]:
			again = append(again, u)
		default:
			fresh = append(fresh, u)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return again
}

// place chooses upstreams for a request; nil when there is no room now.
func (c *Core) place(r *request, now time.Duration) *plan {
	candidates := c.candidates(r, now)
	if len(candidates) == 0 {
		return nil
	}
	if c.config.Policy == PolicyPlain {
		return c.placePlain(r, candidates)
	}
	e := candidates[0].engine
	if e == nil || r.PromptTokens == 0 {
		return c.placeCall(r, candidates, now)
	}
	c.activity = activity(candidates)
	if p := c.placePrompt(r, e, candidates, false, now); p != nil {
		return p
	}
	return c.placePrompt(r, e, candidates, true, now)
}

// activity is the share of upstreams that have work. Where nobody else is
// served, reading time ahead harms nobody.
func activity(candidates []*upstream) float64 {
	active := 0
	for _, u := range candidates {
		if len(u.works) > 0 {
			active++
		}
	}
	return float64(active) / float64(len(candidates))
}

// placePlain is the policy that others are measured against.
func (c *Core) placePlain(r *request, candidates []*upstream) *plan {
	best := candidates[c.random.IntN(len(candidates))]
	for _, u := range candidates {
		if len(u.works) < len(best.works) {
			best = u
		}
	}
	return &plan{members: []*upstream{best}}
}

// placeCall chooses a plain service's upstream: near, free of failures, and
// with the fewest requests for its slots.
func (c *Core) placeCall(_ *request, candidates []*upstream, now time.Duration) *plan {
	var best *plan
	for _, u := range candidates {
		cost := float64(len(u.works))/float64(max(1, u.Slots)) + failureCost*u.failureShare(now)
		if u.DataCentre != c.config.DataCentre {
			cost += callRemoteCost
		}
		if best == nil || cost < best.cost {
			best = &plan{members: []*upstream{u}, cost: cost}
		}
	}
	return best
}

// callRemoteCost is the cost of a plain service's upstream in another data
// centre, in shares of its slots: its round trip is of the order of a call.
const callRemoteCost = 0.5

// placePrompt chooses how many servers share a prompt and which. With reserve,
// its memory is spread evenly over some of them; otherwise the first one holds
// it all.
func (c *Core) placePrompt(r *request, e *route.Engine, candidates []*upstream, reserve bool, now time.Duration) *plan {
	var best *plan
	for _, parts := range c.partsToTry(r, e, len(candidates)) {
		if p := c.planOf(r, e, candidates, parts, reserve, now); p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// partSteps are the numbers of servers tried for a long prompt.
var partSteps = []int{1, 2, 3, 4, 6, 8, 11, 16}

func (c *Core) partsToTry(r *request, e *route.Engine, most int) []int {
	if readTime(e, r.PromptTokens, 1) < longRead {
		return partSteps[:1]
	}
	n := sort.SearchInts(partSteps, min(most, maxMembers+1)+1)
	return partSteps[:n]
}

// planOf weighs one number of parts; nil when it does not fit.
func (c *Core) planOf(r *request, e *route.Engine, candidates []*upstream, parts int, reserve bool, now time.Duration) *plan {
	part := readTime(e, r.PromptTokens, parts)
	need := r.PromptTokens + r.AnswerTokens
	holders, reserved := 0, 0
	if reserve {
		holders = min(holdersOf(e, need), len(candidates))
		reserved = need/holders + 1
	}
	if holders > parts {
		return nil
	}
	options := make([]option, 0, len(candidates))
	for _, u := range candidates {
		options = append(options, c.optionOf(r, e, u, part, parts, now))
	}
	if len(options) < parts {
		return nil
	}
	sort.SliceStable(options, func(i, j int) bool { return options[i].cost < options[j].cost })
	lead := c.leadOf(r, e, options, part, held(need, reserved), now)
	if lead < 0 {
		return nil
	}
	p := &plan{part: part, reserved: reserved, holders: holders}
	return c.join(r, e, p, options, lead, parts, now)
}

// leadOf is the place of the option that writes the answer at the least cost
// among those with a slot and the memory for it; -1 if none has them.
func (c *Core) leadOf(r *request, e *route.Engine, options []option, part time.Duration, memory int, now time.Duration) int {
	lead := -1
	least := 0.0
	for i, o := range options {
		if o.l.leading >= slots(o.u, e) || !hasMemory(e, o.l, memory) {
			continue
		}
		if cost := o.cost + c.leadCost(r, e, o, part, now); lead < 0 || cost < least {
			lead, least = i, cost
		}
	}
	return lead
}

// holdersOf is over how many servers the memory of a prompt is spread that no
// single one has room for.
func holdersOf(e *route.Engine, need int) int {
	const atLeast = 2
	each := max(1, int(holderShare*float64(e.MemoryTokens)))
	return max(atLeast, (need+each-1)/each)
}

// held is the memory that the server asked must have.
func held(need, reserved int) int {
	if reserved > 0 {
		return reserved
	}
	return need
}

// join makes a plan of the leading option and the cheapest others; those that
// hold memory come first and must have room for it.
func (c *Core) join(r *request, e *route.Engine, p *plan, options []option, lead, parts int, now time.Duration) *plan {
	first := time.Duration(0)
	taken := make([]bool, len(options))
	take := func(i int) {
		taken[i] = true
		p.members = append(p.members, options[i].u)
		p.cost += options[i].cost
		p.harm += options[i].harm
		first = max(first, options[i].first)
	}
	take(lead)
	for i, o := range options {
		if len(p.members) < p.holders && !taken[i] && hasMemory(e, o.l, p.reserved) {
			take(i)
		}
	}
	if len(p.members) < p.holders {
		return nil
	}
	for i := range options {
		if len(p.members) < parts && !taken[i] {
			take(i)
		}
	}
	p.predicted = first
	p.cost += r.weight * lateness(now-r.arrived+first, r.Route.TargetLatency)
	p.cost += c.leadCost(r, e, options[lead], p.part, now)
	p.cost += r.weight * memberCost * float64(parts-1)
	return p
}

// leadCost is what it costs that the option writes the answer: its own pauses,
// and those to come where other hosts fill the last slots in the same moments.
func (c *Core) leadCost(r *request, e *route.Engine, o option, part time.Duration, now time.Duration) float64 {
	ownPause := passTime(e, o.l.leading+1, o.l.context+r.PromptTokens)
	cost := r.weight * lateness(ownPause, r.Route.TargetPieceGap)
	if crowd := float64(o.l.leading+1) / float64(slots(o.u, e)); crowd > crowdedAt {
		after := o.u.pause(e, now, part, 1, r.PromptTokens)
		cost += r.weight * lateness(after, r.Route.TargetPieceGap)
		cost += crowd - crowdedAt
	}
	room := slots(o.u, e) - o.l.leading - 1
	return cost + r.weight*lateLoss*overfull(room, c.unseen(c.groups[r.Service], now))
}

// optionOf weighs one upstream as the reader of one part.
func (c *Core) optionOf(r *request, e *route.Engine, u *upstream, part time.Duration, parts int, now time.Duration) option {
	o := option{u: u, l: u.load()}
	before := u.pause(e, now, 0, 0, 0)
	after := u.pause(e, now, part, 1, r.PromptTokens/parts)
	pass := passTime(e, o.l.leading+1, o.l.context)
	o.first = u.backlog(now) + part + pass
	if o.l.leading > 0 {
		o.first += pass / 2
	}
	o.harm = u.harm(now, before, after)
	ahead := c.backlogPrice(u.backlog(now)+part) - c.backlogPrice(u.backlog(now))
	o.cost = o.harm + ahead
	o.harm += ahead * c.activity
	o.cost += failureCost * u.failureShare(now) * r.weight / float64(parts)
	lane := u.place
	if part*time.Duration(parts) >= longRead {
		lane = 1 - u.place
	}
	o.cost += laneCost * lane * r.weight / float64(parts)
	if u.DataCentre != c.config.DataCentre {
		o.cost += remoteCost * r.weight / float64(parts)
	}
	o.cost += jitterCost * float64(c.others) * c.random.Float64() * r.weight / float64(parts)
	// Members are taken by what waiting for them costs, too.
	o.cost += r.weight * lateness(now-r.arrived+o.first, r.Route.TargetLatency) / float64(parts)
	return o
}

// backlogPrice is what the reading time ahead on a server costs later requests.
// It is up to twice as high in large fleets, whose hosts pile prompts up that
// they do not know of yet.
func (c *Core) backlogPrice(backlog time.Duration) float64 {
	x := float64(backlog) / float64(backlogScale)
	return backlogCost * (1 + min(1, float64(c.others)/largeFleet)) * x * x
}

func slots(u *upstream, e *route.Engine) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return max(1, u.Slots)
}

func hasMemory(e *route.Engine, l load, tokens int) bool {
	return e.MemoryTokens == 0 || l.memory+tokens <= int(memoryShare*float64(e.MemoryTokens))
}
