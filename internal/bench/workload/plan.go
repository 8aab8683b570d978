// Package workload generates the requests of a run: a deployment and its
// organisations, the mix of prompt and answer lengths, the arrivals and the
// texts. Everything follows from the seed; the package does no I/O and reads
// no clock. It also says what a fleet of known engines can deliver.
package workload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Request is one planned request.
type Request struct {
	// Index numbers the requests of a plan in order of arrival.
	Index int
	// ArrivalOffset is the intended arrival, from the start of the plan.
	ArrivalOffset time.Duration
	// Class is the prompt's class, or ClassService.
	Class        Class
	Organisation string
	Kind         string
	// Service names the plain service of a service call.
	Service string
	// PromptTokens is the length of the prompt, of which PrefixTokens are
	// shared with other requests of the same PrefixSeed.
	PromptTokens, PrefixTokens int
	PrefixSeed, TextSeed       uint64
	// AnswerTokens is the length of answer asked for.
	AnswerTokens int
	TimeLimit    time.Duration
	// DataCentre and Host are indices; Host counts within the data centre.
	DataCentre, Host int
	// IdempotencyKey is the idempotency key of an action that may not be repeated.
	IdempotencyKey string
	// Repeat says that the caller sends the same action again.
	Repeat *Repeat
}

// Repeat is a caller's second sending of the same action.
type Repeat struct {
	// After is the time since the first sending.
	After time.Duration
	// DataCentre and Host name another host than the first.
	DataCentre, Host int
}

// TrafficProfile declares the arrivals beside the lengths of prompts.
type TrafficProfile struct {
	// Mix draws prompt and answer lengths.
	Mix Mix
	// Rate is the mean number of prompts a second.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// ServiceCallsPerPrompt is the number of service calls for each prompt.
	ServiceCallsPerPrompt float64
	// ActionShare is the share of service calls that may not be repeated.
	ActionShare float64
	// RepeatShare is the share of actions that the caller sends twice.
	RepeatShare float64
	// PrefixShare is the share of prompts that begin with a shared prefix.
	PrefixShare float64
	// PrefixTokens is the length of a shared prefix; shorter prompts share
	// half of their length.
	PrefixTokens int
	// PrefixesPerOrganisation is how many prefixes an organisation uses.
	PrefixesPerOrganisation int
}

// DefaultTrafficProfile declares what callers do beside the default mix.
func DefaultTrafficProfile(rate float64, duration time.Duration) TrafficProfile {
	return TrafficProfile{
		Mix:                     DefaultMix(),
		Rate:                    rate,
		Duration:                duration,
		ServiceCallsPerPrompt:   0.25,
		ActionShare:             0.5,
		RepeatShare:             0.3,
		PrefixShare:             0.3,
		PrefixTokens:            1_024,
		PrefixesPerOrganisation: 3,
	}
}

// Streams of the seed, one for each part of a plan, so that a change in one
// part leaves the others as they were.
const (
	streamPrompts = iota + 1
	streamServices
)

const (
	// longestRepeatDelay bounds the time before a caller sends an action again.
	longestRepeatDelay = 2 * time.Second
	// atOnceShare is the share of repeats sent while the first is in flight.
	atOnceShare = 0.5
	// atOnceDelay bounds the delay of those.
	atOnceDelay = 20 * time.Millisecond
)

// planner draws the requests of one plan.
type planner struct {
	deployment Deployment
	shape      TrafficProfile
	seed       uint64
	customers  weighted
}

// NewPlan draws the requests of a run, ordered by arrival.
func NewPlan(d Deployment, s TrafficProfile, seed uint64) []*Request {
	weights := make([]float64, len(d.Organisations))
	for i, customer := range d.Organisations {
		weights[i] = customer.Weight
	}
	p := planner{deployment: d, shape: s, seed: seed, customers: newWeighted(weights)}
	plan := p.arrivals(streamPrompts, s.Rate, p.prompt)
	plan = append(plan, p.arrivals(streamServices, s.Rate*s.ServiceCallsPerPrompt, p.service)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].ArrivalOffset < plan[j].ArrivalOffset })
	for i, r := range plan {
		r.Index = i
	}
	return plan
}

func (p planner) arrivals(stream uint64, rate float64, draw func(*rand.Rand) *Request) []*Request {
	if rate <= 0 {
		return nil
	}
	r := rand.New(rand.NewPCG(p.seed, stream))
	var plan []*Request
	at := 0.0
	for {
		at += r.ExpFloat64() / rate
		due := time.Duration(at * float64(time.Second))
		if due >= p.shape.Duration {
			return plan
		}
		request := draw(r)
		request.ArrivalOffset = due
		plan = append(plan, request)
	}
}

func (p planner) prompt(r *rand.Rand) *Request {
	tokens := p.shape.Mix.PromptTokens(r)
	customer := p.customers.draw(r)
	request := &Request{
		Class:        ClassOf(tokens),
		Organisation: p.deployment.Organisations[customer].Name,
		PromptTokens: tokens,
		AnswerTokens: p.shape.Mix.AnswerTokens(r),
		TextSeed:     r.Uint64(),
	}
	request.Kind = p.deployment.KindByClass[request.Class]
	request.TimeLimit = TimeLimit(request.Class, request.AnswerTokens)
	request.DataCentre, request.Host = p.host(r)
	prefix := r.IntN(p.shape.PrefixesPerOrganisation)
	if r.Float64() < p.shape.PrefixShare {
		request.PrefixTokens = min(p.shape.PrefixTokens, tokens/2)
		request.PrefixSeed = p.seed ^ uint64(customer*p.shape.PrefixesPerOrganisation+prefix+1)*prefixSpread
	}
	return request
}

// prefixSpread spreads the offsets of prefixes over the pool of text.
const prefixSpread = 0x9e3779b97f4a7c15

func (p planner) service(r *rand.Rand) *Request {
	request := &Request{
		Class:        ClassService,
		Organisation: p.deployment.Organisations[p.customers.draw(r)].Name,
		Kind:         p.deployment.LookupKind,
		Service:      p.deployment.Service,
		TimeLimit:    TimeLimit(ClassService, 0),
		TextSeed:     r.Uint64(),
	}
	request.DataCentre, request.Host = p.host(r)
	if r.Float64() >= p.shape.ActionShare {
		return request
	}
	request.Kind = p.deployment.ActionKinds[r.IntN(len(p.deployment.ActionKinds))]
	request.IdempotencyKey = fmt.Sprintf("key-%016x", r.Uint64())
	if r.Float64() < p.shape.RepeatShare {
		request.Repeat = p.repeat(r, request)
	}
	return request
}

func (p planner) repeat(r *rand.Rand, first *Request) *Repeat {
	if p.deployment.Hosts < 2 {
		return nil
	}
	again := &Repeat{After: time.Duration(r.Float64() * float64(longestRepeatDelay))}
	if r.Float64() < atOnceShare {
		again.After = time.Duration(r.Float64() * float64(atOnceDelay))
	}
	for {
		again.DataCentre, again.Host = p.host(r)
		if again.DataCentre != first.DataCentre || again.Host != first.Host {
			return again
		}
	}
}

func (p planner) host(r *rand.Rand) (dataCentre, host int) {
	places := len(p.deployment.DataCentres)
	dataCentre = r.IntN(places)
	return dataCentre, r.IntN(p.deployment.Hosts / places)
}

// baselineMark makes the texts and keys of a baseline differ from those of the
// plan, so that no engine has them cached and no key is used twice.
const baselineMark = 0xb5e1

// Baseline returns the short prompts of the plan at the same times and hosts,
// with texts of their own.
func Baseline(plan []*Request) []*Request {
	var shorts []*Request
	for _, r := range plan {
		if r.Class != ClassShort {
			continue
		}
		again := *r
		again.TextSeed ^= baselineMark
		shorts = append(shorts, &again)
	}
	return shorts
}
