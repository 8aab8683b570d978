// Package workload generates the requests of a run: the deployment with its
// organisations, the mix of prompt and answer lengths, the arrival times and the
// texts. Everything follows from a seed; the package does no I/O and reads no
// clock. It also calculates the capacity of a fleet of engines with known rates.
package workload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Request is one planned request of a caller.
type Request struct {
	// Index is the position of the request in its plan, in order of arrival.
	Index int
	// ArrivalOffset is the intended time of arrival, counted from the start of
	// the plan.
	ArrivalOffset time.Duration
	// Class is the class of the prompt, or ClassService for a service call.
	Class        Class
	Organisation string
	Kind         string
	// Service is the name of the plain service for a service call, empty for a
	// prompt.
	Service string
	// PromptTokens is the length of the prompt. Its first PrefixTokens are the
	// same as in other requests with the same PrefixSeed.
	PromptTokens, PrefixTokens int
	PrefixSeed, TextSeed       uint64
	// AnswerTokens is the requested length of the answer.
	AnswerTokens int
	TimeLimit    time.Duration
	// DataCentre and Host are the indices of the host that gets the request. Host
	// is counted within its data centre.
	DataCentre, Host int
	// IdempotencyKey is the key of an action that may not be repeated, empty for
	// any other request.
	IdempotencyKey string
	// Repeat is set if the caller sends the same action a second time.
	Repeat *Repeat
}

// Repeat describes how a caller sends the same action a second time.
type Repeat struct {
	// After is the time between the first and the second sending.
	After time.Duration
	// DataCentre and Host are the indices of a host other than that of the first
	// sending.
	DataCentre, Host int
}

// TrafficProfile declares the arrival rates and shares of the kinds of requests,
// and the mix of their lengths.
type TrafficProfile struct {
	// Mix is the distribution of prompt and answer lengths.
	Mix Mix
	// Rate is the mean number of prompts per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// ServiceCallsPerPrompt is the mean number of service calls for each prompt.
	ServiceCallsPerPrompt float64
	// ActionShare is the share of service calls that may not be repeated.
	ActionShare float64
	// RepeatShare is the share of actions that the caller sends twice.
	RepeatShare float64
	// PrefixShare is the share of prompts that begin with a shared prefix, from 0
	// to 1.
	PrefixShare float64
	// PrefixTokens is the length of a shared prefix in tokens. Prompts shorter
	// than twice that length share half of their length.
	PrefixTokens int
	// PrefixesPerOrganisation is the number of different prefixes that each
	// organisation uses.
	PrefixesPerOrganisation int
}

// DefaultTrafficProfile returns the default traffic of callers with the default
// mix, at the given rate of prompts per second.
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

// Each part of a plan draws from a random stream of its own, so that a change in
// one part leaves the others unchanged.
const (
	streamPrompts = iota + 1
	streamServices
)

const (
	// maxRepeatDelay is the longest time before a caller sends an action again.
	maxRepeatDelay = 2 * time.Second
	// overlappingRepeatShare is the share of repeats that are sent while the
	// first sending is likely still in flight.
	overlappingRepeatShare = 0.5
	// maxOverlappingRepeatDelay is the longest delay of these repeats.
	maxOverlappingRepeatDelay = 20 * time.Millisecond
)

// planner draws the requests of one plan from its seed.
type planner struct {
	deployment    Deployment
	profile       TrafficProfile
	seed          uint64
	organisations weightedIndex
}

// NewPlan draws the requests of a run, ordered by time of arrival.
func NewPlan(d Deployment, profile TrafficProfile, seed uint64) []*Request {
	weights := make([]float64, len(d.Organisations))
	for i, organisation := range d.Organisations {
		weights[i] = organisation.Weight
	}
	p := planner{deployment: d, profile: profile, seed: seed, organisations: newWeightedIndex(weights)}
	plan := p.drawArrivals(streamPrompts, profile.Rate, p.drawPrompt)
	plan = append(plan, p.drawArrivals(streamServices, profile.Rate*profile.ServiceCallsPerPrompt, p.drawServiceCall)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].ArrivalOffset < plan[j].ArrivalOffset })
	for i, r := range plan {
		r.Index = i
	}
	return plan
}

// drawArrivals draws requests with exponentially distributed times between
// arrivals, at a mean rate per second, until the duration of the profile has
// passed.
func (p planner) drawArrivals(stream uint64, rate float64, draw func(*rand.Rand) *Request) []*Request {
	if rate <= 0 {
		return nil
	}
	r := rand.New(rand.NewPCG(p.seed, stream))
	var plan []*Request
	arrivalSeconds := 0.0
	for {
		arrivalSeconds += r.ExpFloat64() / rate
		arrival := time.Duration(arrivalSeconds * float64(time.Second))
		if arrival >= p.profile.Duration {
			return plan
		}
		request := draw(r)
		request.ArrivalOffset = arrival
		plan = append(plan, request)
	}
}

func (p planner) drawPrompt(r *rand.Rand) *Request {
	tokens := p.profile.Mix.PromptTokens(r)
	organisation := p.organisations.draw(r)
	request := &Request{
		Class:        ClassOf(tokens),
		Organisation: p.deployment.Organisations[organisation].Name,
		PromptTokens: tokens,
		AnswerTokens: p.profile.Mix.AnswerTokens(r),
		TextSeed:     r.Uint64(),
	}
	request.Kind = p.deployment.KindByClass[request.Class]
	request.TimeLimit = TimeLimit(request.Class, request.AnswerTokens)
	request.DataCentre, request.Host = p.drawHost(r)
	prefix := r.IntN(p.profile.PrefixesPerOrganisation)
	if r.Float64() < p.profile.PrefixShare {
		request.PrefixTokens = min(p.profile.PrefixTokens, tokens/2)
		request.PrefixSeed = p.seed ^ uint64(organisation*p.profile.PrefixesPerOrganisation+prefix+1)*prefixSeedFactor
	}
	return request
}

// prefixSeedFactor spreads the seeds of prefixes, which are offsets into the text
// pool, over the whole pool.
const prefixSeedFactor = 0x9e3779b97f4a7c15

func (p planner) drawServiceCall(r *rand.Rand) *Request {
	request := &Request{
		Class:        ClassService,
		Organisation: p.deployment.Organisations[p.organisations.draw(r)].Name,
		Kind:         p.deployment.LookupKind,
		Service:      p.deployment.Service,
		TimeLimit:    TimeLimit(ClassService, 0),
		TextSeed:     r.Uint64(),
	}
	request.DataCentre, request.Host = p.drawHost(r)
	if r.Float64() >= p.profile.ActionShare {
		return request
	}
	request.Kind = p.deployment.ActionKinds[r.IntN(len(p.deployment.ActionKinds))]
	request.IdempotencyKey = fmt.Sprintf("key-%016x", r.Uint64())
	if r.Float64() < p.profile.RepeatShare {
		request.Repeat = p.drawRepeat(r, request)
	}
	return request
}

// drawRepeat draws the second sending of an action, to another host than the
// first. It returns nil if there is only one host.
func (p planner) drawRepeat(r *rand.Rand, first *Request) *Repeat {
	if p.deployment.Hosts < 2 {
		return nil
	}
	repeat := &Repeat{After: time.Duration(r.Float64() * float64(maxRepeatDelay))}
	if r.Float64() < overlappingRepeatShare {
		repeat.After = time.Duration(r.Float64() * float64(maxOverlappingRepeatDelay))
	}
	for {
		repeat.DataCentre, repeat.Host = p.drawHost(r)
		if repeat.DataCentre != first.DataCentre || repeat.Host != first.Host {
			return repeat
		}
	}
}

func (p planner) drawHost(r *rand.Rand) (dataCentre, host int) {
	dcCount := len(p.deployment.DataCentres)
	dataCentre = r.IntN(dcCount)
	return dataCentre, r.IntN(p.deployment.Hosts / dcCount)
}

// baselineSeedMask changes the text seeds of a baseline from those of the plan,
// so that the texts differ and no engine has them cached.
const baselineSeedMask = 0xb5e1

// Baseline returns copies of the short prompts of a plan with the same arrival
// times and hosts, but with different texts.
func Baseline(plan []*Request) []*Request {
	var shorts []*Request
	for _, r := range plan {
		if r.Class != ClassShort {
			continue
		}
		baselineRequest := *r
		baselineRequest.TextSeed ^= baselineSeedMask
		shorts = append(shorts, &baselineRequest)
	}
	return shorts
}
