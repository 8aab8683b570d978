package traffic

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
)

// pieceBuffer is the number of pieces of an answer that are buffered while a slow
// caller has not read them yet.
const pieceBuffer = 64

// Result is the final result of a request.
type Result struct {
	// Code is the error code; it is empty when the complete answer was delivered.
	Code dispatch.Code
	// Outcome states whether the request was run, as far as that is known.
	Outcome dispatch.Outcome
	// RetryAfter is the delay after which the caller may try again; 0 for none.
	RetryAfter time.Duration
	// Detail explains to the caller what happened, for cases in which the code is
	// not specific enough.
	Detail string
	// Refused reports that the request was never admitted.
	Refused bool
	// Answer is the answer of a plain service; nil for a model request.
	Answer *ServiceAnswer
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	Body   []byte
	// Replayed reports that the answer is the recorded one of an earlier request
	// with the same idempotency key.
	Replayed bool
}

// ServiceCall contains the parts of a request that only calls to plain services
// have.
type ServiceCall struct {
	// Kind is the name of the request's kind.
	Kind string
	Body []byte
	// IdempotencyKey is the caller's key; empty if the caller sent none.
	IdempotencyKey string
	// Action is set for actions that may not be repeated; nil for all other
	// calls.
	Action *Action
}

// Exchange is one request of a caller, from its arrival to its final result.
type Exchange struct {
	// ID is the request's id.
	ID string
	// Request is the model request; its work id is set for each attempt. It is
	// nil for a service call.
	Request *engine.Request
	// Call is the service call; nil for a model request.
	Call *ServiceCall
	// Deadline is the wall-clock time at which the request's time limit passes.
	Deadline time.Time

	// pieces carries the answer to the caller's side, result the final result.
	pieces chan engine.Piece
	result chan Result
	// callerContext ends when the caller disconnects.
	callerContext context.Context
	// closed is closed once the final result is set.
	closed    chan struct{}
	createdAt time.Time

	mu sync.Mutex
	// currentAttempt is the only attempt whose pieces are delivered; 0 means that
	// there is none.
	currentAttempt uint32
	// cancelAttempt cancels the context of the current attempt; nil if there is
	// none.
	cancelAttempt context.CancelFunc
	// deliveredTokens is the number of tokens passed on to the caller,
	// deliveredText their text.
	deliveredTokens int
	deliveredText   strings.Builder
	// serviceAnswer is the answer of a service, refusal the known reason for a
	// failure; both are nil until they are known.
	serviceAnswer *ServiceAnswer
	refusal       *Result
	finished      bool
}

// NewExchange returns an exchange for a request that must end by the deadline.
// Once callerContext ends, pieces are no longer delivered to the caller.
func NewExchange(callerContext context.Context, id string, deadline time.Time) *Exchange {
	return &Exchange{
		ID:            id,
		Deadline:      deadline,
		callerContext: callerContext,
		pieces:        make(chan engine.Piece, pieceBuffer),
		result:        make(chan Result, 1),
		closed:        make(chan struct{}),
		createdAt:     time.Now(),
	}
}

// Pieces returns the channel that delivers the answer in order, without a gap or
// a repetition. The channel is never closed: pieces that are still buffered when
// the Result arrives belong to the answer.
func (x *Exchange) Pieces() <-chan engine.Piece { return x.pieces }

// FinalResult returns the channel that delivers the one final result.
func (x *Exchange) FinalResult() <-chan Result { return x.result }

// finish sets the final result and stops the current attempt; only the first call
// has an effect.
func (x *Exchange) finish(r Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return
	}
	x.finished = true
	close(x.closed)
	x.stopAttemptLocked()
	x.result <- r
}

// stopAttemptLocked cancels the current attempt, if there is one. The caller
// holds x.mu.
func (x *Exchange) stopAttemptLocked() {
	x.currentAttempt = 0
	if x.cancelAttempt != nil {
		x.cancelAttempt()
		x.cancelAttempt = nil
	}
}

// beginAttempt makes an attempt the current one, cancels the previous one, and
// returns the context for the new one. It returns false if the exchange has
// ended.
func (x *Exchange) beginAttempt(attempt uint32) (context.Context, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return nil, false
	}
	if x.cancelAttempt != nil {
		x.cancelAttempt()
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	x.currentAttempt = attempt
	x.cancelAttempt = cancel
	return ctx, true
}

// dropAttempt stops an attempt if it is still the current one.
func (x *Exchange) dropAttempt(attempt uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.currentAttempt == attempt {
		x.stopAttemptLocked()
	}
}

// position returns the number of tokens that were delivered to the caller, and
// their text.
func (x *Exchange) position() (tokens int, text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.deliveredTokens, x.deliveredText.String()
}

// pieceStatus is the result of checking a piece.
type pieceStatus int

const (
	// pieceAccepted means that the piece continues the answer.
	pieceAccepted pieceStatus = iota
	// pieceStale means that the piece belongs to another request or attempt, or
	// was already delivered.
	pieceStale
	// pieceAfterGap means that tokens before the piece are missing.
	pieceAfterGap
)

// deliverPiece checks one piece and delivers it to the caller. An accepted piece
// without tokens is not passed on. A piece that is counted as delivered is
// discarded only when the whole exchange ends, since a later attempt continues
// after it and would never send it again.
func (x *Exchange) deliverPiece(attempt uint32, p engine.Piece) pieceStatus {
	status := x.checkPiece(attempt, p)
	if status != pieceAccepted || p.Tokens == 0 {
		return status
	}
	select {
	case x.pieces <- p:
	case <-x.closed:
	case <-x.callerContext.Done():
	}
	return pieceAccepted
}

// checkPiece checks that a piece belongs to the current attempt and continues the
// answer. It counts an accepted piece as delivered.
func (x *Exchange) checkPiece(attempt uint32, p engine.Piece) pieceStatus {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished || x.currentAttempt != attempt || p.Work.Request != x.ID || p.Work.Attempt != attempt {
		return pieceStale
	}
	switch {
	case p.Offset == x.deliveredTokens:
		x.deliveredTokens += p.Tokens
		x.deliveredText.WriteString(p.Text)
		return pieceAccepted
	case p.Offset+p.Tokens <= x.deliveredTokens:
		return pieceStale
	default:
		return pieceAfterGap
	}
}

// setServiceAnswer stores the answer of a service for the final result.
func (x *Exchange) setServiceAnswer(a *ServiceAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serviceAnswer = a
}

// setRefusal stores the known reason for a failure for the final result.
func (x *Exchange) setRefusal(r Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refusal = &r
}

// successResult returns the final result of a request that was answered
// completely.
func (x *Exchange) successResult() Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Result{Answer: x.serviceAnswer}
}

// failureResult returns the stored reason for the failure if there is one,
// otherwise the dispatch core's decision.
func (x *Exchange) failureResult(effect dispatch.Fail) Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.refusal != nil {
		return *x.refusal
	}
	return Result{Code: effect.Code, Outcome: effect.Outcome, RetryAfter: effect.RetryAfter}
}

// promptLengthClasses lists the classes of prompt lengths that metrics tell
// apart, each with its exclusive upper bound in tokens. The first class also
// contains the prompts that are shorter than its name says. Prompts above all
// bounds belong to the class "100k-1M".
var promptLengthClasses = []struct {
	below int
	name  string
}{{4_000, "1k-4k"}, {32_000, "4k-32k"}, {100_001, "32k-100k"}}

// promptLengthClass returns the name of the prompt length's class.
func (x *Exchange) promptLengthClass() string {
	for _, c := range promptLengthClasses {
		if x.Request.PromptTokens < c.below {
			return c.name
		}
	}
	return "100k-1M"
}
