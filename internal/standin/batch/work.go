package batch

import (
	"time"

	"github.com/pkg/errors"

	api "github.com/chestnutline/chestnutline/internal/engine"
)

// Refusals of Reserve and Submit; none of them ran anything.
var (
	// ErrNoMemory says that too little KV memory is free.
	ErrNoMemory = errors.New("not enough KV memory")
	// ErrQueueFull says that too many works wait.
	ErrQueueFull = errors.New("queue is full")
	// ErrCancelled says that the work was cancelled before.
	ErrCancelled = errors.New("work was cancelled")
	// ErrNoReservation says that a member's share has no memory reserved.
	ErrNoReservation = errors.New("work has no reservation")
	// ErrInvalid says that lengths are out of range.
	ErrInvalid = errors.New("lengths out of range")
	// ErrDuplicate says that the work is known already, and may have run.
	ErrDuplicate = errors.New("work exists")
)

// Progress is how far a work has come.
type Progress struct {
	// Prefilled says that this engine's share of the prompt is processed.
	Prefilled bool
	// Produced is the number of answer tokens.
	Produced int
	// Finish is empty while the work goes on, otherwise as in Piece.Finish.
	Finish string
}

// Observer is told of a work's progress, within the call that caused it.
type Observer interface {
	// Update receives the newest progress.
	Update(Progress)
}

// Submission is a work handed to the engine.
type Submission struct {
	Work     api.WorkID
	Owner    api.Owner
	Deadline time.Time
	Priority int
	// PromptTokens is the number of prompt tokens this engine processes.
	PromptTokens int
	// MaxTokens is the number of answer tokens.
	MaxTokens int
	// PrefixChain names the blocks of the prompt; empty to pass by the cache.
	PrefixChain []uint64
	// IsMember says that the work is a member's share: it decodes nothing and
	// keeps its memory until it is cancelled.
	IsMember bool
	// IsLeader says that decoding waits for MembersDone.
	IsLeader bool
	// Observer may be nil.
	Observer Observer
}

type state int

const (
	reserved state = iota // memory is held, nothing to do yet
	queued                // prompt tokens are left to process
	joining               // own share is done, members are not
	decoding
	kept     // a member's share is done, its memory is held
	finished // no memory is held, the answer can be resumed
)

// entry is one work known to the engine.
type entry struct {
	Submission
	arrival     uint64
	state       state
	held        int
	left        int
	produced    int
	inBatch     bool
	membersDone bool
	finish      string
	expires     time.Duration
}

func (e *entry) notify() {
	if e.Observer == nil {
		return
	}
	e.Observer.Update(Progress{
		Prefilled: e.state == joining || e.state == decoding || e.state == kept,
		Produced:  e.produced,
		Finish:    e.finish,
	})
}

// before orders the queue: by priority, then by arrival.
func (e *entry) before(other *entry) bool {
	if e.Priority != other.Priority {
		return e.Priority < other.Priority
	}
	return e.arrival < other.arrival
}
