// Package engine defines the interface to the model engines, and implements it
// over HTTP.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// These are the errors that a Client returns. They state what is known about the
// work.
var (
	// ErrNotRun means that the work did not begin: no byte of the request was
	// sent, or the engine reported that it refused the request.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrNoMemory means that the engine has too little free KV memory. Errors of
	// this kind are also ErrNotRun.
	ErrNoMemory = errors.New("engine has no KV memory for the request")
	// ErrOutcomeUnknown means that the request was sent, and that it is not known
	// whether the engine ran it.
	ErrOutcomeUnknown = errors.New("engine's answer was lost")
	// ErrFailed means that the engine ran the request and reported its failure.
	ErrFailed = errors.New("engine failed the request")
	// ErrNoSuchWork means that the engine does not know the work named in the
	// call.
	ErrNoSuchWork = errors.New("engine has no such work")
	// ErrFenced means that the engine refused an order because it has already
	// received one with a higher fencing number.
	ErrFenced = errors.New("engine refused an old fencing number")
)

// WorkID identifies one attempt at one request. It is part of every request that
// concerns work and of every piece of an answer.
type WorkID struct {
	// Request is the id of the caller's request.
	Request string `json:"request"`
	// Attempt is the number of the attempt at the request.
	Attempt uint32 `json:"attempt"`
}

// Owner identifies the host process that is responsible for a piece of work.
type Owner struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Incarnation identifies the run of the host's process. Later runs have higher
	// numbers.
	Incarnation uint64 `json:"incarnation"`
}

// Reservation is a request to reserve KV memory on one member of a group.
type Reservation struct {
	Work  WorkID `json:"work"`
	Owner Owner  `json:"owner"`
	// Tokens is the amount of KV memory to reserve, in tokens.
	Tokens int `json:"tokens"`
	// Deadline is the time after which any host may release the reservation.
	Deadline time.Time `json:"deadline"`
}

// Request is one attempt at a model request. It is sent to the leader of a group
// of engines, or to a single engine.
type Request struct {
	Work  WorkID `json:"work"`
	Owner Owner  `json:"owner"`
	Model string `json:"model"`
	// Prompt is the caller's text. One token corresponds to about BytesPerToken
	// bytes.
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens int `json:"max_tokens"`
	// Priority orders the work within the engine. Work with a lower number goes
	// first.
	Priority int `json:"priority"`
	// Deadline is the time after which any host may cancel the work.
	Deadline time.Time `json:"deadline"`
	// Offset and DeliveredText continue an answer that another attempt began:
	// they are the number of tokens that the caller already has, and their text.
	// The engine processes that text after the prompt, and generates tokens from
	// the offset on.
	Offset        int    `json:"offset,omitempty"`
	DeliveredText string `json:"delivered,omitempty"`
	// Group lists the addresses of all members, the leader first, if the prompt
	// is distributed over several engines whose memory was reserved before.
	Group []string `json:"group,omitempty"`
}

// BytesPerToken is the assumed average length of a token in bytes.
const BytesPerToken = 4

// Piece is one part of an answer, as it arrives on a stream.
type Piece struct {
	Work WorkID `json:"work"`
	// Offset is the index of the piece's first token in the answer.
	Offset int `json:"offset"`
	// Tokens is the number of tokens in Text.
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// Finish is the finish reason: "stop", "length", "cancelled" or "error" in
	// the last piece, and empty in all others.
	Finish string `json:"finish,omitempty"`
}

// Stream returns the pieces of an answer. Close may be called at any time and
// from any goroutine; it makes a waiting Next return.
type Stream interface {
	// Next returns the next piece. It returns io.EOF after the last piece, or one
	// of the errors of this package.
	Next() (Piece, error)
	// Close closes the stream.
	Close() error
}

// LoadReport is an engine's report about its own load. It is always a little out
// of date.
type LoadReport struct {
	// Sequence increases with each report.
	Sequence uint64 `json:"sequence"`
	// Running is the number of requests in prefill or decoding.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
	// PrefillBacklog is the number of prompt tokens that are still to be
	// processed.
	PrefillBacklog int `json:"prefill_backlog_tokens"`
	// MemoryUsed and MemoryTotal are amounts of KV memory in tokens.
	MemoryUsed  int `json:"memory_used_tokens"`
	MemoryTotal int `json:"memory_total_tokens"`
	// PrefillRate is the observed rate of prefill in tokens per second,
	// DecodeStep the observed time of a decode step in seconds per token.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	DecodeStep  float64 `json:"decode_step_seconds"`
	// Models lists the loaded models, as "model@version" or
	// "model@version+adapter".
	Models []string `json:"models"`
	// Leaving reports that the engine will stop soon and accepts no new work.
	Leaving bool `json:"leaving"`
}

// WorkEntry is one entry in the list of work for which an engine holds memory.
type WorkEntry struct {
	Work     WorkID    `json:"work"`
	Owner    Owner     `json:"owner"`
	Deadline time.Time `json:"deadline"`
	// Tokens is the amount of KV memory that the work holds, in tokens.
	Tokens int `json:"tokens"`
	// Attached reports that an open connection delivers the work's answer, or
	// keeps the work for the leader of its group.
	Attached bool `json:"attached"`
}

// CacheEvent reports that a prefix of a prompt was added to the engine's prefix
// cache or removed from it.
type CacheEvent struct {
	// Sequence increases by one with each event. A gap means that events were
	// lost.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix, as PrefixHashes returns it.
	Prefix uint64 `json:"prefix"`
	// Evicted reports that the prefix was removed.
	Evicted bool `json:"evicted"`
}

// CacheEvents is a batch of consecutive cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence from which to ask for the next batch.
	Next uint64 `json:"next"`
}

// Order is a command to an engine to load and unload models.
type Order struct {
	// ID identifies the order. An engine carries out an order with a given ID
	// only once.
	ID string `json:"id"`
	// Fencing is the fencing number of the lease under which the order was sent.
	Fencing uint64 `json:"fencing"`
	// Load and Unload are model names in the format of LoadReport.Models.
	Load   []string `json:"load,omitempty"`
	Unload []string `json:"unload,omitempty"`
}

// Status is an engine's report about its models and the orders it has accepted.
type Status struct {
	// Models lists the loaded models, in the format of LoadReport.Models.
	Models []string `json:"models"`
	// Loading lists the models that are being loaded.
	Loading []string `json:"loading"`
	// LastOrder and LastFencing are the ID and the fencing number of the newest
	// order that the engine accepted.
	LastOrder   string `json:"last_order"`
	LastFencing uint64 `json:"last_fencing"`
}

// Client sends requests to engines. The address of an engine is ip:port.
type Client interface {
	// Reserve reserves KV memory. It returns ErrNoMemory if the engine has too
	// little.
	Reserve(ctx context.Context, address string, r Reservation) error
	// Generate starts an attempt on the leader of the group.
	Generate(ctx context.Context, address string, r Request) (Stream, error)
	// Resume continues the stream of work that is already running, from the given
	// token offset on.
	Resume(ctx context.Context, address string, work WorkID, offset int) (Stream, error)
	// Cancel ends the work and releases all of its memory on this engine. It is
	// idempotent. The engine refuses a later Generate or Reserve of the same
	// work.
	Cancel(ctx context.Context, address string, work WorkID) error
	// Load returns the newest load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// Work lists all work for which the engine holds memory.
	Work(ctx context.Context, address string) ([]WorkEntry, error)
	// CacheEvents returns the cache events from the given sequence on.
	CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error)
	// Order sends an order. It returns ErrFenced if the engine checks fencing
	// numbers and the order's is out of date.
	Order(ctx context.Context, address string, o Order) error
	// Status returns the models that the engine has and the newest order that it
	// accepted.
	Status(ctx context.Context, address string) (Status, error)
}
