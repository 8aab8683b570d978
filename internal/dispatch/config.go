package dispatch

import (
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Policy selects how requests are placed.
type Policy string

// Policies.
const (
	// PolicyDefault is late binding by virtual deadline with admission control.
	PolicyDefault Policy = "default"
	// PolicyNaive sends each request at once to a random live engine and
	// retries on errors; it is the baseline for measurements.
	PolicyNaive Policy = "naive"
)

// Config holds the parameters of a Core.
type Config struct {
	// Host and Incarnation identify this process as the owner of work.
	Host        string
	Incarnation uint64
	// DataCentre is this host's; upstreams elsewhere are used only when none
	// is left here.
	DataCentre string
	Policy     Policy
	// Seed makes placement reproducible.
	Seed uint64

	// TickInterval is how often the caller delivers Tick. Shorter keeps
	// deadlines more exact and costs processor time.
	TickInterval time.Duration
	// PassInterval is the least time between two walks over the queue, but for
	// arrivals. Shorter fills room sooner and costs processor time.
	PassInterval time.Duration
	// FinishMargin is how long before its time limit a request is given up, so
	// that the final answer still reaches the caller in time.
	FinishMargin time.Duration
	// BindWindow is how much predicted prefill work, in time, an engine may
	// have before this host holds further requests back. Longer keeps engines
	// busy across lagging reports; shorter keeps the choice open for longer.
	BindWindow time.Duration
	// TargetBase and TargetStretch give a request's virtual deadline: base
	// plus stretch times its own prefill time. A larger stretch favours short
	// prompts more, and ages long ones more slowly.
	TargetBase    time.Duration
	TargetStretch float64
	// ShortTokens is the uncached prompt length, in tokens, below which a
	// request is short and has engines of its own.
	ShortTokens int
	// ShortUse is the part of the short requests' engines that their observed
	// demand may fill; lower gives them more engines and less waiting.
	ShortUse float64
	// LongTokens is the uncached prompt length, in tokens, from which a
	// request counts as long: it starts only where the memory that the others
	// are likely to need stays free.
	LongTokens int
	// ReserveDeviations is how many standard deviations above its mean the
	// memory of requests that are not long may rise without meeting a long
	// one. More makes long prompts wait more.
	ReserveDeviations float64
	// SpreadTokens is the share of a prompt, in tokens, that one member of a
	// group prefills; longer prompts are spread over more engines.
	SpreadTokens int
	// MaxGroup bounds the number of engines of a group.
	MaxGroup int
	// AffinityBound is the most load, relative to the mean, at which a cached
	// prefix may draw a request to an engine.
	AffinityBound float64
	// ScoreSlack is the difference in predicted time to first token within
	// which engines count as equal and one is drawn at random. Larger spreads
	// the choices of several hosts; smaller follows the prediction.
	ScoreSlack time.Duration
	// MemoryHeadroom is the share of an engine's memory left free for what
	// other hosts send at the same time.
	MemoryHeadroom float64

	// RetryShare is the number of retries allowed per admitted request over
	// time, and RetryBurst the number allowed at once.
	RetryShare float64
	RetryBurst float64
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts uint32
	// SilenceTimeout is how long a stream may be silent between pieces before
	// it is resumed on a new connection.
	SilenceTimeout time.Duration
	// CancelRetry is the first delay before an unanswered cancel is repeated;
	// it doubles up to CancelRetryMax.
	CancelRetry    time.Duration
	CancelRetryMax time.Duration
	// CancelLimit is how long a cancel is repeated before it is left to the
	// sweep of the engine's work list.
	CancelLimit time.Duration
	// DrainCancels is how long a stopping host without requests waits for its
	// cancels to be confirmed.
	DrainCancels time.Duration
	// OverdueGrace is how long past its deadline any host leaves foreign work
	// alone; it covers the difference between the hosts' clocks.
	OverdueGrace time.Duration
	// ReportTimeout is the age from which an engine's report is no longer
	// believed and the engine counts as suspect.
	ReportTimeout time.Duration
	// FarReportTimeout takes its place for engines of other data centres,
	// which are asked less often.
	FarReportTimeout time.Duration
	// FairBurst is how much service, in engine time, an organisation may take
	// ahead of its share before its requests are ordered behind others.
	FairBurst time.Duration
	// MaxQueue bounds the requests waiting at this host.
	MaxQueue int
	// MaxPrefixes bounds the cached prefixes remembered over all engines.
	MaxPrefixes int

	// PrefillRate (tokens a second), DecodeStep (time a token) and
	// EngineMemory (tokens) are assumed until an engine has reported.
	PrefillRate  float64
	DecodeStep   time.Duration
	EngineMemory int
}

// DefaultConfig returns parameters for hosts and engines in one data centre
// with links of a few milliseconds.
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

// validate returns every parameter that is out of range.
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
