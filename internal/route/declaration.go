// Package route holds the operator's declared routing: which requests exist,
// who may send them, which service answers them and under which limits.
//
// A Declaration is plain data as declared; a Table is its checked form that
// finds the route of a request. Both are immutable once built.
package route

import "time"

// Kind says how often a request may be run.
type Kind int

// Kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most
	// once unless the route allows resuming.
	Stream
)

// String returns the kind's name.
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

// Route declares one kind of request.
type Route struct {
	Name string
	// Host and Prefix select the requests: the longest prefix of the path wins.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that
	// counts as in time. PieceGap is the longest pause between its events.
	TargetLatency  time.Duration
	TargetPieceGap time.Duration
	// Priority orders routes when capacity is short; lower goes first.
	Priority int
	// Shares are the services that answer, with their part of the requests.
	Shares []Share
	// MaxRuns is on how many upstreams one request may run.
	MaxRuns int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
}

// Repeatable says whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service declares a group of interchangeable upstreams.
type Service struct {
	Name string
	// Engine describes model servers; nil for plain services.
	Engine *Engine
}

// Engine describes how a service's model servers work: in passes of a fixed
// number of token steps, between which prompts are read in chunks.
type Engine struct {
	// Slots is how many requests one server works on at the same time.
	Slots int
	// MemoryTokens is a server's KV cache.
	MemoryTokens int
	// StepsPerPass is the number of token steps in a pass with writers, which
	// is also the number of tokens in one event of a stream.
	StepsPerPass int
	// StepTime is the fixed cost of a step, StepPerSequence that of each
	// request that writes, StepPerToken that of each token of its context.
	StepTime                time.Duration
	StepTimePerSequence     time.Duration
	StepTimePerContextToken time.Duration
	// PrefillTimePerToken is the cost of reading one prompt token, PairsPerMillion
	// that of a million pairs of a token with an earlier one.
	PrefillTimePerToken        time.Duration
	PrefillTimePerMillionPairs time.Duration
	// PrefillChunkTokens bounds the prompt tokens read in one step.
	PrefillChunkTokens int
	// HopTime is added to each step of a request whose memory is spread.
	HopTime time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

// Organisation is a holder of keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; negative when not declared.
	Priority int
}

// Declaration is one version of the whole configuration.
type Declaration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
