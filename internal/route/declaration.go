// Package route holds the routing rules that the operator declares: which kinds
// of requests exist, who may send them, which service answers them and which
// limits apply to them.
//
// A Declaration contains the rules as they were declared. A Table is an index
// over a declaration that finds the route of a request. Neither of them changes
// once it has been built.
package route

import (
	"slices"
	"time"
)

// Kind tells whether a request may be executed more than once.
type Kind int

// The kinds of requests.
const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Stream requests are answered by a series of events. They are executed at
	// most once unless their route allows a stream to be resumed.
	Stream
)

// String returns the name of the kind: "safe", "stream" or "unsafe".
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Route declares how one group of requests is served. The host and the path of
// a request select its route.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is the host name in the request and Prefix the start of its path. Of
	// the routes whose host and prefix match, the one with the longest prefix
	// applies.
	Host   string
	Prefix string
	// Kind tells whether a request of this route may be executed more than once.
	Kind Kind
	// Timeout is the longest time that a caller waits for the whole answer; 0
	// means no limit.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time from the arrival of a
	// request to its answer, or to the first event of a stream, within which
	// the answer counts as in time.
	TargetLatency time.Duration
	// TargetPieceGap is the objective for the longest pause between two events
	// of a stream; a stream with a longer pause does not count as in time.
	TargetPieceGap time.Duration
	// Priority ranks routes when capacity is short; requests with a lower
	// number are served first.
	Priority int
	// Shares lists the services that answer the requests, each with its part of
	// them.
	Shares []Share
	// MaxRuns is the largest number of attempts that may execute one request.
	MaxRuns int
	// Public requests need no API key.
	Public bool
	// Resumable streams may continue on another upstream after the last event
	// that was delivered.
	Resumable bool
	// Regions lists the regions in which the requests may be served; nil stands for all.
	Regions []string
}

// Repeatable reports whether a request of the route may be executed a second
// time. That holds for safe requests and for resumable streams.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that one service answers.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's part relative to the sum of the weights of all
	// shares of the route.
	Weight float64
}

// Service declares a group of interchangeable upstreams.
type Service struct {
	// Name identifies the service among all declared services.
	Name string
	// Engine describes the model servers of the service; it is nil for a
	// service whose upstreams are not model servers.
	Engine *Engine
	// ColdTime is how long a server is cold after its start, and ColdPerSecond the number
	// of requests a second that it bears meanwhile, from all hosts together; 0 if the
	// service declares none.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Engine describes how long the model servers of a service take for their work.
// A server works in passes. Each pass has a fixed number of steps, and each
// step decodes one token of every running request. Prompts are prefilled in
// chunks between these steps.
type Engine struct {
	// Slots is the number of requests that one server works on at the same
	// time.
	Slots int
	// MemoryTokens is the size of a server's KV memory in tokens.
	MemoryTokens int
	// StepsPerPass is the number of steps in a pass that decodes at least one
	// request. It is also the number of tokens in one event of a stream.
	StepsPerPass int
	// StepTime is the fixed time of a step.
	StepTime time.Duration
	// StepTimePerSequence is the time that a step takes longer for each request
	// that is decoding.
	StepTimePerSequence time.Duration
	// StepTimePerContextToken is the time that a step takes longer for each
	// token in the contexts of the decoding requests.
	StepTimePerContextToken time.Duration
	// PrefillTimePerToken is the time to prefill one prompt token.
	PrefillTimePerToken time.Duration
	// PrefillTimePerMillionPairs is the time that prefill takes longer for
	// every million pairs of a prompt token and an earlier one; attention
	// compares each such pair.
	PrefillTimePerMillionPairs time.Duration
	// PrefillChunkTokens is the largest number of prompt tokens that are
	// prefilled in one step.
	PrefillChunkTokens int
	// HopTime is added to each step of a request whose KV memory is spread over
	// several servers.
	HopTime time.Duration
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes is the largest size of a request's header, in bytes.
	HeaderBytes int
	// BodyBytes is the largest size of a request's body, in bytes.
	BodyBytes int64
	// IdleTimeout is how long a caller's connection may stay unused before it
	// is closed.
	IdleTimeout time.Duration
}

// Organisation is a customer who holds API keys.
type Organisation struct {
	// Name identifies the organisation.
	Name string
	// Keys are the API keys by which the organisation's requests are
	// recognised.
	Keys []string
	// Priority takes precedence over the priority of the route. It is negative
	// when the organisation declares none.
	Priority int
	// Regions lists the regions in which the organisation's requests may be served; nil
	// stands for all.
	Regions []string
}

// AllowedRegions returns the regions in which a request of a route and an organisation may
// be served: those that both allow. It is nil if all are allowed, and not nil but empty if
// none is. The organisation may be nil.
func AllowedRegions(r *Route, o *Organisation) []string {
	if o == nil || o.Regions == nil {
		return r.Regions
	}
	if r.Regions == nil {
		return o.Regions
	}
	both := make([]string, 0, len(r.Regions))
	for _, region := range r.Regions {
		if slices.Contains(o.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

// Declaration is one version of the whole configuration.
type Declaration struct {
	// Version is the number of this version of the configuration.
	Version uint64
	// Routes lists the declared routes.
	Routes []Route
	// Services lists the services that the routes refer to.
	Services []Service
	// Limits applies to all callers.
	Limits Limits
	// Organisations lists the customers. When it is empty, requests need no API
	// key.
	Organisations []Organisation
}
