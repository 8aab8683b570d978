package dispatch

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Policy selects how requests are placed on engines.
type Policy string

// Policies for placing requests.
const (
	// PolicyDefault admits only requests that are predicted to end in time,
	// keeps them in this host's queue in the order of their virtual deadlines,
	// and binds each to an engine as late as possible.
	PolicyDefault Policy = "default"
	// PolicyNaive sends each request at once to a random usable engine and
	// retries after errors. It is the baseline against which the default policy
	// is measured.
	PolicyNaive Policy = "naive"
)

// Config holds the parameters of a Core.
type Config struct {
	// Host and Incarnation identify this process as the owner of the work that
	// it starts on engines.
	Host        string
	Incarnation uint64
	// DataCentre is the data centre of this host. Upstreams of other data
	// centres are used only when no usable one is left here.
	DataCentre string
	Policy     Policy
	// Seed, together with Incarnation, seeds the random choices of placement,
	// so that a run can be reproduced.
	Seed uint64

	// TickInterval is how often the caller delivers Tick. A shorter interval
	// enforces deadlines more exactly and costs more processor time.
	TickInterval time.Duration
	// PassInterval is the least time between two placement passes over the
	// queue; arrivals may trigger a pass sooner. A shorter interval uses freed
	// capacity sooner and costs more processor time.
	PassInterval time.Duration
	// FinishMargin is how long before its time limit a request is ended, so
	// that the final answer still reaches the caller in time.
	FinishMargin time.Duration
	// BindWindow is the largest predicted prefill backlog of an engine, as
	// processing time, at which this host still sends it another request. A
	// longer window keeps engines busy although their reports lag behind; a
	// shorter one lets the host choose the engine later, with newer
	// information.
	BindWindow time.Duration
	// TargetBase and TargetStretch determine a request's virtual deadline:
	// TargetBase plus TargetStretch times the request's own prefill time. A
	// larger stretch favours short prompts more, and makes long ones wait
	// longer before they get ahead of others.
	TargetBase    time.Duration
	TargetStretch float64
	// ShortTokens is the length of the uncached part of a prompt, in tokens,
	// below which a request counts as short. Short requests have some engines
	// to themselves.
	ShortTokens int
	// ShortUse is the share of the capacity of the engines for short requests
	// that the observed demand for them may use. A lower value gives short
	// requests more engines and less waiting.
	ShortUse float64
	// LongTokens is the length of the uncached part of a prompt, in tokens,
	// from which a request counts as long. A long request starts only where the
	// memory that the other requests are likely to need stays free.
	LongTokens int
	// ReserveDeviations sets the memory that a long request must leave free for
	// the others: the mean of the memory that they use, plus this number of
	// standard deviations. A larger value makes long prompts wait longer.
	ReserveDeviations float64
	// SpreadTokens is the number of uncached prompt tokens that one member of a
	// group should prefill at most. A longer prompt is spread over more
	// engines.
	SpreadTokens int
	// MaxGroup is the largest number of engines in a group.
	MaxGroup int
	// AffinityBound limits prefix affinity: a cached prefix counts in favour of
	// an engine only while the engine's backlog is at most this multiple of the
	// mean backlog, plus the length of the prompt.
	AffinityBound float64
	// ScoreSlack is the difference in predicted time to first token up to which
	// engines count as equal and one is drawn at random. A larger value spreads
	// the choices of several hosts more evenly; a smaller one follows the
	// prediction more closely.
	ScoreSlack time.Duration
	// MemoryHeadroom is the share of an engine's memory, from 0 to below 1,
	// that this host leaves free for requests that other hosts send at the same
	// time.
	MemoryHeadroom float64

	// RetryShare is the number of retries that each admitted request adds to
	// the retry budget, and RetryBurst the largest size of the budget, that is,
	// the number of retries possible at once.
	RetryShare float64
	RetryBurst float64
	// MaxAttempts is the largest number of attempts for one request. An attempt
	// that failed with FailureNoMemory does not count.
	MaxAttempts uint32
	// SilenceTimeout is how long a stream may deliver nothing between two
	// pieces before it is resumed on a new connection. The caller of the core
	// applies it and reports Stalled.
	SilenceTimeout time.Duration
	// CancelRetry is the first delay after which an unconfirmed cancel is
	// repeated. The delay doubles with each repetition, up to CancelRetryMax.
	CancelRetry    time.Duration
	CancelRetryMax time.Duration
	// CancelLimit is how long a cancel is repeated. After that the work is left
	// to the sweep of the engine's work list.
	CancelLimit time.Duration
	// DrainCancels is how long a stopping host that has no requests left waits
	// for the confirmation of its cancels.
	DrainCancels time.Duration
	// OverdueGrace is how long after the deadline of another host's work a host
	// still leaves that work alone. It covers the difference between the hosts'
	// clocks.
	OverdueGrace time.Duration
	// ReportTimeout is the age from which an engine's last report is no longer
	// relied on, and the engine is suspected.
	ReportTimeout time.Duration
	// FarReportTimeout is the same for the engines of other data centres, which
	// are asked for their reports less often.
	FarReportTimeout time.Duration
	// FairBurst is how much service, as engine time, an organisation may use
	// beyond its share before its requests are put behind those of others.
	FairBurst time.Duration
	// MaxQueue is the largest number of requests waiting at this host.
	MaxQueue int
	// MaxPrefixes is the largest number of cached prefixes remembered for all
	// engines together.
	MaxPrefixes int

	// PrefillRate (in tokens a second), DecodeStep (time per token) and
	// EngineMemory (in tokens) are assumed for an engine until it has reported
	// its own values.
	PrefillRate  float64
	DecodeStep   time.Duration
	EngineMemory int
}

// DefaultConfig returns the parameters for hosts and engines in one data centre
// whose links have a latency of a few milliseconds. Host, Incarnation,
// DataCentre and Seed are left for the caller to set.
func DefaultConfig() Config {
	return Config{
		Policy:            PolicyDefault,
		TickInterval:      10 * time.Millisecond,
		PassInterval:      3 * time.Millisecond,
		FinishMargin:      50 * time.Millisecond,
		BindWindow:        250 * time.Millisecond,
		TargetBase:        200 * time.Millisecond,
		TargetStretch:     4,
		ShortTokens:       4_000,
		ShortUse:          0.5,
		LongTokens:        100_000,
		ReserveDeviations: 3,
		SpreadTokens:      100_000,
		MaxGroup:          8,
		AffinityBound:     1.25,
		ScoreSlack:        5 * time.Millisecond,
		MemoryHeadroom:    0.03,
		RetryShare:        0.1,
		RetryBurst:        20,
		MaxAttempts:       4,
		SilenceTimeout:    time.Second,
		CancelRetry:       100 * time.Millisecond,
		CancelRetryMax:    2 * time.Second,
		CancelLimit:       30 * time.Second,
		DrainCancels:      2 * time.Second,
		OverdueGrace:      2 * time.Second,
		ReportTimeout:     3 * time.Second,
		FarReportTimeout:  10 * time.Second,
		FairBurst:         2 * time.Second,
		MaxQueue:          20_000,
		MaxPrefixes:       100_000,
		PrefillRate:       90_000,
		DecodeStep:        40 * time.Millisecond,
		EngineMemory:      400_000,
	}
}

// validate returns a finding for every parameter that is out of range.
func (c *Config) validate() finding.List {
	var findings finding.List
	positive := func(place string, ok bool) {
		if !ok {
			findings.Add(place, "must be greater than zero")
		}
	}
	if c.Host == "" {
		findings.Add("Host", "must not be empty")
	}
	if c.Policy != PolicyDefault && c.Policy != PolicyNaive {
		findings.Add("Policy", "must be default or naive, not "+string(c.Policy))
	}
	positive("TickInterval", c.TickInterval > 0)
	positive("BindWindow", c.BindWindow > 0)
	positive("TargetStretch", c.TargetStretch > 0)
	positive("ShortTokens", c.ShortTokens > 0)
	positive("ShortUse", c.ShortUse > 0)
	positive("LongTokens", c.LongTokens > c.ShortTokens)
	positive("SpreadTokens", c.SpreadTokens > 0)
	positive("MaxGroup", c.MaxGroup > 0)
	positive("MaxAttempts", c.MaxAttempts > 0)
	positive("CancelRetry", c.CancelRetry > 0)
	positive("MaxQueue", c.MaxQueue > 0)
	positive("PrefillRate", c.PrefillRate > 0)
	positive("DecodeStep", c.DecodeStep > 0)
	positive("EngineMemory", c.EngineMemory > 0)
	if c.MemoryHeadroom < 0 || c.MemoryHeadroom >= 1 {
		findings.Add("MemoryHeadroom", "must be at least 0 and below 1")
	}
	return findings
}
