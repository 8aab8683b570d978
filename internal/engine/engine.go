// Package engine is the interface to the model engines and its HTTP adapter.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Client that say what is known about the work.
var (
	// ErrNotRun says that the engine or the connection refused before any
	// work began: no byte of the request was sent, or the engine said so.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrNoMemory is an ErrNotRun for want of KV memory.
	ErrNoMemory = errors.New("engine has no KV memory for the request")
	// ErrOutcomeUnknown says that the request was sent and its fate is not known.
	ErrOutcomeUnknown = errors.New("engine's answer was lost")
	// ErrFailed says that the engine ran the request and reports its failure.
	ErrFailed = errors.New("engine failed the request")
	// ErrNoSuchWork says that the engine knows nothing of the work named.
	ErrNoSuchWork = errors.New("engine has no such work")
	// ErrFenced says that the order's fencing number is older than one seen.
	ErrFenced = errors.New("engine refused an old fencing number")
)

// WorkID identifies one attempt at one request, on every piece and order.
type WorkID struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

// Owner is the process that answers for a piece of work.
type Owner struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Reservation asks for KV memory on one member of a group.
type Reservation struct {
	Work  WorkID `json:"work"`
	Owner Owner  `json:"owner"`
	// Tokens is the KV memory wanted, in tokens.
	Tokens int `json:"tokens"`
	// Deadline is when any host may give the reservation back.
	Deadline time.Time `json:"deadline"`
}

// Request is one attempt sent to an engine, the leader of its group.
type Request struct {
	Work  WorkID `json:"work"`
	Owner Owner  `json:"owner"`
	Model string `json:"model"`
	// Prompt is the caller's text; one token is about BytesPerToken bytes.
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// MaxTokens is the most tokens to generate.
	MaxTokens int `json:"max_tokens"`
	// Priority orders work within the engine; lower numbers go first.
	Priority int `json:"priority"`
	// Deadline is when any host may cancel the work.
	Deadline time.Time `json:"deadline"`
	// Offset and Delivered continue an answer that another attempt began:
	// the number of tokens the caller has, and their text. The engine
	// processes the text behind the prompt and goes on at the offset.
	Offset        int    `json:"offset,omitempty"`
	DeliveredText string `json:"delivered,omitempty"`
	// Group lists the addresses of all members, the leader first, when the
	// prompt is spread over several engines whose memory was reserved.
	Group []string `json:"group,omitempty"`
}

// BytesPerToken is the average length of a token in bytes.
const BytesPerToken = 4

// Piece is one part of an answer's stream.
type Piece struct {
	Work WorkID `json:"work"`
	// Offset is the index of the piece's first token in the answer.
	Offset int `json:"offset"`
	// Tokens is how many tokens Text holds.
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// Finish is empty until the last piece: "stop", "length", "cancelled" or "error".
	Finish string `json:"finish,omitempty"`
}

// Stream delivers an answer. Close may be called at any time, also from
// another goroutine, and ends a waiting Next.
type Stream interface {
	// Next returns the next piece, io.EOF after the last, or an error above.
	Next() (Piece, error)
	Close() error
}

// LoadReport is an engine's report on itself. It lags behind reality.
type LoadReport struct {
	// Sequence rises with each report.
	Sequence uint64 `json:"sequence"`
	// Running is the number of requests being prefilled or decoded.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
	// PrefillBacklog is the number of prompt tokens not yet processed.
	PrefillBacklog int `json:"prefill_backlog_tokens"`
	// MemoryUsed and MemoryTotal are in tokens of KV.
	MemoryUsed  int `json:"memory_used_tokens"`
	MemoryTotal int `json:"memory_total_tokens"`
	// PrefillRate is in tokens a second, DecodeStep in seconds a token, both as observed.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	DecodeStep  float64 `json:"decode_step_seconds"`
	// Models lists what is loaded, as "model@version" or "model@version+adapter".
	Models []string `json:"models"`
	// Leaving says that the engine is about to go and wants no new work.
	Leaving bool `json:"leaving"`
}

// WorkEntry is one entry of an engine's list of work it holds memory for.
type WorkEntry struct {
	Work     WorkID    `json:"work"`
	Owner    Owner     `json:"owner"`
	Deadline time.Time `json:"deadline"`
	// Tokens is the KV memory held.
	Tokens int `json:"tokens"`
	// Attached says that an open connection delivers the work's answer, or
	// holds the work for its group's leader.
	Attached bool `json:"attached"`
}

// CacheEvent tells that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	// Sequence rises by one with each event; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence to ask for next.
	Next uint64 `json:"next"`
}

// Order tells an engine which models to hold.
type Order struct {
	// ID names the order; an engine runs an ID once.
	ID string `json:"id"`
	// Fencing is the number of the lease under which the order was given.
	Fencing uint64 `json:"fencing"`
	// Load and Unload are model names as in Load.Models.
	Load   []string `json:"load,omitempty"`
	Unload []string `json:"unload,omitempty"`
}

// Status is an engine's own account of the orders it has taken.
type Status struct {
	Models []string `json:"models"`
	// Loading lists models being loaded.
	Loading []string `json:"loading"`
	// LastOrder and LastFencing are of the newest order taken.
	LastOrder   string `json:"last_order"`
	LastFencing uint64 `json:"last_fencing"`
}

// Client speaks to engines; address is ip:port.
type Client interface {
	// Reserve takes KV memory, or returns ErrNoMemory.
	Reserve(ctx context.Context, address string, r Reservation) error
	// Generate starts an attempt on the group's leader.
	Generate(ctx context.Context, address string, r Request) (Stream, error)
	// Resume continues the stream of running work at the token offset given.
	Resume(ctx context.Context, address string, work WorkID, offset int) (Stream, error)
	// Cancel ends the work and gives back all its memory on this engine; it is
	// idempotent, and a later Generate or Reserve of the same work is refused.
	Cancel(ctx context.Context, address string, work WorkID) error
	// Load returns the newest load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// Work lists everything that holds memory.
	Work(ctx context.Context, address string) ([]WorkEntry, error)
	// CacheEvents returns the events from the sequence given.
	CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error)
	// Order sends an order; ErrFenced if the engine checks and it is old.
	Order(ctx context.Context, address string, o Order) error
	// Status reads back what the engine holds.
	Status(ctx context.Context, address string) (Status, error)
}
