package dispatch

import "time"

// Event is something that happened.
type Event interface{ event() }

// Arrived says that a checked request of a caller came in.
type Arrived struct {
	ID           string
	Organisation string
	// Share is the organisation's weight when capacity is short.
	Share float64
	// MaxInFlight bounds the organisation's admitted requests; 0 is no bound.
	MaxInFlight int
	Kind        string
	// KindPriority orders kinds; lower goes first.
	KindPriority int
	// Model is what the engine must hold; empty for a call to a service.
	Model string
	// Service names the plain service; empty for a model request.
	Service string
	// NeverRepeat forbids a second attempt unless the first was not run.
	NeverRepeat bool
	// PromptTokens and MaxTokens are lengths in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the request must have ended, on the clock of now.
	Deadline time.Duration
	// PrefixHashes are the hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64
	// BlockTokens is the length of one such block in tokens.
	BlockTokens int
}

// FirstToken says that an attempt's answer began.
type FirstToken struct {
	ID      string
	Attempt uint32
}

// Finished says that an attempt's answer was delivered whole.
type Finished struct {
	ID      string
	Attempt uint32
	// AnswerTokens is the length of the answer in tokens.
	AnswerTokens int
}

// FailureClass says what is known of a failed attempt.
type FailureClass string

// Classes of failure.
const (
	// FailureNotRun: there is proof that the upstream did not run the attempt.
	FailureNotRun FailureClass = "not_run"
	// FailureNoMemory is NotRun because the engine had no KV memory.
	FailureNoMemory FailureClass = "no_memory"
	// FailureOutcomeUnknown: the attempt was sent and its fate is not known.
	FailureOutcomeUnknown FailureClass = "unknown"
	// FailureReported: the upstream ran the attempt and reported a failure.
	FailureReported FailureClass = "failed"
	// FailureRefused: there is proof that it was not run, and another attempt would
	// be refused as well, such as a claim that another request holds.
	FailureRefused FailureClass = "refused"
)

// AttemptFailed ends an attempt without an answer.
type AttemptFailed struct {
	ID      string
	Attempt uint32
	// Upstream is the member that failed; empty for the leader.
	Upstream     string
	FailureClass FailureClass
	// DeliveredTokens is how many tokens of the answer the caller already has.
	DeliveredTokens int
}

// Stalled says that an open stream delivered nothing for its timeout.
type Stalled struct {
	ID      string
	Attempt uint32
	// DeliveredTokens is how many tokens of the answer the caller already has.
	DeliveredTokens int
}

// Reserved answers a Reserve effect.
type Reserved struct {
	ID       string
	Attempt  uint32
	Upstream string
	// FailureClass is empty when the memory was reserved.
	FailureClass FailureClass
}

// CallerGone says that the caller hung up.
type CallerGone struct{ ID string }

// Cancelled answers a Cancel effect.
type Cancelled struct {
	Upstream string
	ID       string
	Attempt  uint32
	// Confirmed says that the upstream confirmed.
	Confirmed bool
}

// UpstreamListed says that the platform's list or a peer names an upstream.
type UpstreamListed struct {
	Name       string
	Address    string
	DataCentre string
	// Service names the plain service; empty for an engine.
	Service string
	Leaving bool
}

// UpstreamUnlisted says that the platform's list no longer names an upstream.
type UpstreamUnlisted struct{ Name string }

// UpstreamLeaving says that an upstream or a peer announced its leaving.
type UpstreamLeaving struct{ Name string }

// LoadReported carries an engine's own report; it lags behind.
type LoadReported struct {
	Name string
	// RequestedAt is when the report was asked for, on the clock of now.
	RequestedAt    time.Duration
	Sequence       uint64
	Running        int
	PrefillBacklog int
	MemoryUsed     int
	MemoryTotal    int
	PrefillRate    float64
	DecodeStep     time.Duration
	Models         []string
	Leaving        bool
}

// HealthCheckFailed says that an upstream did not answer a health check.
type HealthCheckFailed struct{ Name string }

// CacheChange is one cache event of an engine.
type CacheChange struct {
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
}

// CacheReported carries cache events of one engine, in order.
type CacheReported struct {
	Name    string
	Changes []CacheChange
	// NextSequence is the sequence that follows the last one published.
	NextSequence uint64
}

// PeerWork is what another host of the data centre has in flight on an engine.
type PeerWork struct {
	Upstream      string
	Requests      int
	PrefillTokens int
	// LongTokens is the part of PrefillTokens that belongs to long prompts.
	LongTokens   int
	MemoryTokens int
}

// PeerReported carries another host's work in flight; it replaces what was
// known on the upstreams named, and Requests 0 means none.
type PeerReported struct {
	Host string
	Work []PeerWork
}

// HostState is what membership knows of a host.
type HostState string

// States of a host.
const (
	HostAlive HostState = "alive"
	HostDead  HostState = "dead"
)

// HostChanged says that another host of the data centre came or went.
type HostChanged struct {
	Host        string
	Incarnation uint64
	State       HostState
}

// HostReplaced says that a later incarnation of another host is heard of.
type HostReplaced struct {
	Host string
	// OldIncarnation is the earlier incarnation.
	OldIncarnation uint64
	// OldLeaving says that the earlier one was stopping gracefully and may still
	// be finishing its work.
	OldLeaving bool
}

// IncarnationRaised says that this host goes by a higher incarnation from now
// on; work under the earlier ones is still its own.
type IncarnationRaised struct{ Incarnation uint64 }

// HeldWork is one entry of an engine's work list.
type HeldWork struct {
	ID          string
	Attempt     uint32
	Host        string
	Incarnation uint64
	// Deadline is on the clock of now.
	Deadline     time.Duration
	MemoryTokens int
	// Attached says that somebody reads the answer, or holds the work for its
	// group's leader.
	Attached bool
}

// WorkListed carries an engine's list of work that holds memory.
type WorkListed struct {
	Name string
	Work []HeldWork
}

// Tick says that time has passed.
type Tick struct{}

// Shutdown says that the host stops: nothing new is admitted.
type Shutdown struct{}

func (Arrived) event()           {}
func (FirstToken) event()        {}
func (Finished) event()          {}
func (AttemptFailed) event()     {}
func (Stalled) event()           {}
func (Reserved) event()          {}
func (CallerGone) event()        {}
func (Cancelled) event()         {}
func (UpstreamListed) event()    {}
func (UpstreamUnlisted) event()  {}
func (UpstreamLeaving) event()   {}
func (LoadReported) event()      {}
func (HealthCheckFailed) event() {}
func (CacheReported) event()     {}
func (PeerReported) event()      {}
func (HostChanged) event()       {}
func (HostReplaced) event()      {}
func (IncarnationRaised) event() {}
func (WorkListed) event()        {}
func (Tick) event()              {}
func (Shutdown) event()          {}
