package dispatch

import "time"

// Event is an input of Core.Step: something that happened to a request, to an
// upstream or to another host.
type Event interface{ event() }

// Arrived reports that a request of a caller came in and passed validation. The
// core answers it with Admit or Refuse.
type Arrived struct {
	ID           string
	Organisation string
	// Share is the organisation's weight when capacity is short; a weight below
	// minShare counts as minShare.
	Share float64
	// MaxInFlight is the largest number of admitted requests that the
	// organisation may have in flight at this host; 0 means no limit.
	MaxInFlight int
	// Kind is the name of the request's kind. The core only shows it in dumps.
	Kind string
	// KindPriority orders the kinds of requests; a lower number goes first. A
	// negative number counts as 0.
	KindPriority int
	// Model is the model that the engine must have loaded; it is empty for a
	// call to a plain service.
	Model string
	// Service names the plain service to call; it is empty for a request to a
	// model.
	Service string
	// NeverRepeat forbids a second attempt of a call to a plain service unless
	// there is proof that the first was not run.
	NeverRepeat bool
	// PromptTokens is the length of the prompt and MaxTokens the largest length
	// of the answer, both in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is the time by which the request must have ended, on the same
	// clock as the argument now of Step.
	Deadline time.Duration
	// PrefixHashes are the hashes of the prompt's prefixes at block boundaries,
	// shortest prefix first.
	PrefixHashes []uint64
	// BlockTokens is the length of one block in tokens.
	BlockTokens int
}

// FirstToken reports that the first token of an attempt's answer arrived.
type FirstToken struct {
	ID      string
	Attempt uint32
}

// Finished reports that the answer of an attempt was delivered completely.
type Finished struct {
	ID      string
	Attempt uint32
	// AnswerTokens is the length of the answer in tokens.
	AnswerTokens int
}

// FailureClass describes what is known about a failed attempt, above all
// whether the upstream ran it.
type FailureClass string

// Classes of failure.
const (
	// FailureNotRun means that there is proof that the upstream did not run the
	// attempt.
	FailureNotRun FailureClass = "not_run"
	// FailureNoMemory means that the attempt was not run because the engine had
	// no free KV memory.
	FailureNoMemory FailureClass = "no_memory"
	// FailureOutcomeUnknown means that the attempt was sent and it is not known
	// whether the upstream ran it.
	FailureOutcomeUnknown FailureClass = "unknown"
	// FailureReported means that the upstream ran the attempt and reported a
	// failure.
	FailureReported FailureClass = "failed"
	// FailureRefused means that there is proof that the attempt was not run,
	// and that another attempt would be refused as well, for example because
	// another request holds the claim.
	FailureRefused FailureClass = "refused"
)

// AttemptFailed reports that an attempt ended without a complete answer.
type AttemptFailed struct {
	ID      string
	Attempt uint32
	// Upstream names the member of the group that failed; it is empty when the
	// leader failed. The core counts the failure against the leader in both
	// cases.
	Upstream string
	// FailureClass gives what is known about the failure, above all whether the
	// upstream ran the attempt.
	FailureClass FailureClass
	// DeliveredTokens is the number of tokens of the answer that the caller
	// already has.
	DeliveredTokens int
}

// Stalled reports that an open stream delivered nothing for the length of its
// timeout.
type Stalled struct {
	ID      string
	Attempt uint32
	// DeliveredTokens is the number of tokens of the answer that the caller
	// already has.
	DeliveredTokens int
}

// Reserved answers a Reserve effect.
type Reserved struct {
	ID       string
	Attempt  uint32
	Upstream string
	// FailureClass is empty when the memory was reserved; otherwise it gives the
	// reason why it was not.
	FailureClass FailureClass
}

// CallerGone reports that the caller closed its connection before it had the
// answer.
type CallerGone struct{ ID string }

// Cancelled answers a Cancel effect.
type Cancelled struct {
	Upstream string
	ID       string
	Attempt  uint32
	// Confirmed reports whether the upstream confirmed the cancel; an
	// unconfirmed cancel is repeated.
	Confirmed bool
}

// UpstreamListed reports that the platform's list of upstreams, or another
// host, names an upstream.
type UpstreamListed struct {
	Name       string
	Address    string
	DataCentre string
	// Service names the plain service; it is empty for an engine.
	Service string
	Leaving bool
}

// UpstreamUnlisted reports that the platform's list no longer names an
// upstream.
type UpstreamUnlisted struct{ Name string }

// UpstreamLeaving reports that an upstream announced that it is about to stop,
// either to this host or to a peer that passed the announcement on.
type UpstreamLeaving struct{ Name string }

// LoadReported carries a load report of an engine or service about itself. The
// report may be older than the answer that carries it.
type LoadReported struct {
	Name string
	// RequestedAt is when the host asked for the report, on the same clock as
	// the argument now of Step.
	RequestedAt time.Duration
	// Sequence is the number that the engine gave to the report. The core does
	// not use it, nor Running.
	Sequence uint64
	// Running is the number of requests on the engine. PrefillBacklog is the
	// number of prompt tokens that it has yet to process. MemoryUsed and
	// MemoryTotal are its KV memory in tokens.
	Running        int
	PrefillBacklog int
	MemoryUsed     int
	MemoryTotal    int
	// PrefillRate is in tokens a second, and DecodeStep is the time per
	// generated token; 0 means unknown.
	PrefillRate float64
	DecodeStep  time.Duration
	// Models are the names of the loaded models, with their versions.
	Models  []string
	Leaving bool
}

// HealthCheckFailed reports that an upstream did not answer a health check.
type HealthCheckFailed struct{ Name string }

// CacheChange is one event of an engine's prefix cache: a prefix was cached, or
// was evicted.
type CacheChange struct {
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
}

// CacheReported carries cache events of one engine, in the order of their
// sequence numbers.
type CacheReported struct {
	Name    string
	Changes []CacheChange
	// NextSequence is the number that follows the last event that the engine
	// has published.
	NextSequence uint64
}

// PeerWork sums the requests that one host has in flight on one engine. Hosts
// of a data centre send it to each other.
type PeerWork struct {
	Upstream string
	Requests int
	// PrefillTokens is the number of prompt tokens not yet processed.
	PrefillTokens int
	// LongPromptTokens is the part of PrefillTokens that belongs to long prompts.
	LongPromptTokens int
	// MemoryTokens is the KV memory of the requests, in tokens.
	MemoryTokens int
}

// PeerReported carries the work that another host has in flight. For each
// engine that it names it replaces what was known before; Requests 0 means that
// the host has no work there.
type PeerReported struct {
	Host string
	Work []PeerWork
}

// HostState is the state of another host according to the membership protocol.
type HostState string

// States of a host.
const (
	HostAlive HostState = "alive"
	HostDead  HostState = "dead"
)

// HostChanged reports that another host of the data centre joined, returned or
// was declared dead.
type HostChanged struct {
	Host        string
	Incarnation uint64
	State       HostState
}

// HostReplaced reports that another host was seen under a higher incarnation
// number than before.
type HostReplaced struct {
	Host string
	// OldIncarnation is the incarnation that was known before.
	OldIncarnation uint64
	// OldLeaving reports whether the old incarnation was stopping gracefully,
	// so that it may still be finishing its work.
	OldLeaving bool
}

// IncarnationRaised reports that this host uses a higher incarnation number
// from now on. Work that it started under its earlier numbers still belongs to
// it.
type IncarnationRaised struct{ Incarnation uint64 }

// HeldWork is one entry of an engine's work list: an attempt, or a memory
// reservation for one, that holds KV memory.
type HeldWork struct {
	ID          string
	Attempt     uint32
	Host        string
	Incarnation uint64
	// Deadline is on the same clock as the argument now of Step.
	Deadline time.Duration
	// MemoryTokens is the KV memory that the work holds, in tokens.
	MemoryTokens int
	// Attached reports whether some host still reads the answer, or still keeps
	// the work for the leader of its group.
	Attached bool
}

// WorkListed carries the list of all work that holds memory on one engine.
type WorkListed struct {
	Name string
	Work []HeldWork
}

// Tick reports that time has passed; see the package comment.
type Tick struct{}

// Shutdown reports that the host is stopping: from now on no request is
// admitted.
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
