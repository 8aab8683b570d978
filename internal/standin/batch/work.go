package batch

import (
	"time"

	"github.com/pkg/errors"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// Errors with which Reserve and Submit refuse a work item. A refused call runs
// nothing; only with ErrDuplicate may the work item have run through an earlier
// call.
var (
	// ErrNoMemory reports that too little KV memory is free.
	ErrNoMemory = errors.New("not enough KV memory")
	// ErrQueueFull reports that the queue has reached Config.MaxWaiting.
	ErrQueueFull = errors.New("queue is full")
	// ErrCancelled reports that the work item was cancelled earlier.
	ErrCancelled = errors.New("work was cancelled")
	// ErrNoReservation reports that no memory was reserved for a member's share.
	ErrNoReservation = errors.New("work has no reservation")
	// ErrInvalid reports that a number of tokens is out of range.
	ErrInvalid = errors.New("lengths out of range")
	// ErrDuplicate reports that the engine already knows the work item, which
	// may have run.
	ErrDuplicate = errors.New("work exists")
)

// Progress describes how much of a work item is done.
type Progress struct {
	// Prefilled reports that this engine's share of the prompt is processed.
	Prefilled bool
	// Produced is the number of answer tokens produced so far.
	Produced int
	// Finish is the reason for which the work item ended, with the values of
	// Piece.Finish. It is empty while the work item is in progress.
	Finish string
}

// Observer receives the progress of a work item. It is called synchronously,
// within the Engine method that caused the change.
type Observer interface {
	// Update receives the latest progress.
	Update(Progress)
}

// Submission describes a work item that is handed to the engine.
type Submission struct {
	// Work identifies the work item by its request and attempt. Owner is the
	// host that started it. Deadline is the wall-clock time after which it may
	// be failed, zero for none. A lower Priority is prefilled earlier.
	Work     api.WorkID
	Owner    api.Owner
	Deadline time.Time
	Priority int
	// PromptTokens is the number of prompt tokens that this engine processes.
	PromptTokens int
	// MaxTokens is the number of answer tokens that are decoded.
	MaxTokens int
	// PrefixChain holds the hashes of the prompt's blocks, in the order of the
	// prompt. If it is empty, the prefix cache is not used.
	PrefixChain []uint64
	// IsMember marks the share of a group member: the engine decodes nothing for
	// it and holds its memory until it is cancelled.
	IsMember bool
	// IsLeader marks the work item of a group's leader: its decoding waits for
	// RecordMembersPrefilled.
	IsLeader bool
	// Observer receives the progress; it may be nil.
	Observer Observer
}

// workState is the stage of a work item.
type workState int

const (
	reserved        workState = iota // memory is held, but nothing was submitted yet
	queued                           // prompt tokens are left to process
	awaitingMembers                  // a leader's own share is processed, those of the members are not
	decoding                         // every step produces a token of the answer
	sharePrefilled                   // a member's share is processed and its memory is still held
	finished                         // no memory is held, but the answer can be resumed
)

// entry is one work item that the engine knows.
type entry struct {
	Submission
	arrivalNumber    uint64 // position in the order of arrival, from 1
	state            workState
	heldTokens       int           // KV memory held, in tokens
	remainingPrompt  int           // prompt tokens left to process
	producedTokens   int           // answer tokens produced so far
	inBatch          bool          // whether the work item has a place in the batch
	membersPrefilled bool          // whether all other members have processed their shares
	finishReason     string        // empty until the work item ends
	expiresAt        time.Duration // time at which the engine forgets a finished work item
}

func (e *entry) notify() {
	if e.Observer == nil {
		return
	}
	e.Observer.Update(Progress{
		Prefilled: e.state == awaitingMembers || e.state == decoding || e.state == sharePrefilled,
		Produced:  e.producedTokens,
		Finish:    e.finishReason,
	})
}

// queuesBefore reports whether e precedes other in the queue: a lower priority
// number comes first, then an earlier arrival.
func (e *entry) queuesBefore(other *entry) bool {
	if e.Priority != other.Priority {
		return e.Priority < other.Priority
	}
	return e.arrivalNumber < other.arrivalNumber
}
