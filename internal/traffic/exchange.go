package traffic

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
)

// pieceBuffer is how many pieces may wait for a slow caller.
const pieceBuffer = 64

// Result is the final answer to a request.
type Result struct {
	// Code is empty when the request was answered whole.
	Code       dispatch.Code
	Outcome    dispatch.Outcome
	RetryAfter time.Duration
	// Detail tells a caller what happened, where the code does not suffice.
	Detail string
	// Refused says that the request was never admitted.
	Refused bool
	// Answer is a plain service's answer.
	Answer *ServiceAnswer
}

// ServiceAnswer is what a plain service returned.
type ServiceAnswer struct {
	Status int
	Body   []byte
	// Replayed says that the answer is that of an earlier request with the same key.
	Replayed bool
}

// ServiceCall is the part of a request that only plain services have.
type ServiceCall struct {
	Kind string
	Body []byte
	// IdempotencyKey is the caller's key, empty for none.
	IdempotencyKey string
	// Action is set for actions that may not be repeated.
	Action *Action
}

// Exchange is one caller's request in flight.
type Exchange struct {
	ID string
	// Request is the model request without its work id; nil for a service call.
	Request *engine.Request
	// Call is the service call; nil for a model request.
	Call *ServiceCall
	// Deadline is the time limit on the wall clock.
	Deadline time.Time

	pieces chan engine.Piece
	final  chan Result
	gone   context.Context
	done   chan struct{}
	opened time.Time

	mu sync.Mutex
	// attempt is the only one whose pieces are delivered; 0 is none.
	attempt uint32
	// cancel ends the current attempt's traffic.
	cancel context.CancelFunc
	// delivered counts the tokens given to the caller; text is what they say.
	delivered int
	text      strings.Builder
	// reply is a service's answer, reason a known failure.
	reply  *ServiceAnswer
	reason *Result
	ended  bool
}

// NewExchange returns an exchange that ends when the caller's context does.
func NewExchange(gone context.Context, id string, deadline time.Time) *Exchange {
	return &Exchange{
		ID:       id,
		Deadline: deadline,
		gone:     gone,
		pieces:   make(chan engine.Piece, pieceBuffer),
		final:    make(chan Result, 1),
		done:     make(chan struct{}),
		opened:   time.Now(),
	}
}

// Pieces delivers the answer in order, without gap or repeat. It is not closed;
// after the Result has come the pieces still buffered belong to the answer.
func (x *Exchange) Pieces() <-chan engine.Piece { return x.pieces }

// FinalResult delivers the one result.
func (x *Exchange) FinalResult() <-chan Result { return x.final }

// finish gives the final result once.
func (x *Exchange) finish(r Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	close(x.done)
	x.stopLocked()
	x.final <- r
}

func (x *Exchange) stopLocked() {
	x.attempt = 0
	if x.cancel != nil {
		x.cancel()
		x.cancel = nil
	}
}

// begin makes an attempt the current one and returns the context for its traffic.
func (x *Exchange) begin(attempt uint32) (context.Context, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return nil, false
	}
	if x.cancel != nil {
		x.cancel()
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	x.attempt = attempt
	x.cancel = cancel
	return ctx, true
}

// drop stops an attempt if it is still the current one.
func (x *Exchange) drop(attempt uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempt == attempt {
		x.stopLocked()
	}
}

// position returns how much of the answer the caller has.
func (x *Exchange) position() (tokens int, text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.delivered, x.text.String()
}

// verdict says what became of a piece.
type verdict int

const (
	accepted verdict = iota
	// stale: the piece is of another request or attempt, or a repeat.
	stale
	// gap: tokens before the piece are missing.
	gap
)

// accept checks one piece and delivers it to the caller. Once counted as
// delivered a piece is given up only with the whole exchange, so that a later
// attempt never leaves it out.
func (x *Exchange) accept(attempt uint32, p engine.Piece) verdict {
	v := x.admitPiece(attempt, p)
	if v != accepted || p.Tokens == 0 {
		return v
	}
	select {
	case x.pieces <- p:
	case <-x.done:
	case <-x.gone.Done():
	}
	return accepted
}

func (x *Exchange) admitPiece(attempt uint32, p engine.Piece) verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.attempt != attempt || p.Work.Request != x.ID || p.Work.Attempt != attempt {
		return stale
	}
	switch {
	case p.Offset == x.delivered:
		x.delivered += p.Tokens
		x.text.WriteString(p.Text)
		return accepted
	case p.Offset+p.Tokens <= x.delivered:
		return stale
	default:
		return gap
	}
}

// answer keeps a service's answer for the final result.
func (x *Exchange) answer(a *ServiceAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reply = a
}

// explain keeps what is known of a failure for the final result.
func (x *Exchange) explain(r Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reason = &r
}

func (x *Exchange) success() Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Result{Answer: x.reply}
}

// failure combines the core's verdict with what the traffic side knows.
func (x *Exchange) failure(f dispatch.Fail) Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.reason != nil {
		return *x.reason
	}
	return Result{Code: f.Code, Outcome: f.Outcome, RetryAfter: f.RetryAfter}
}

// classes are the upper bounds, in tokens, of the prompt lengths told apart in metrics.
var classes = []struct {
	below int
	name  string
}{{4_000, "1k-4k"}, {32_000, "4k-32k"}, {100_001, "32k-100k"}}

// class names the request's class of prompt length.
func (x *Exchange) class() string {
	for _, c := range classes {
		if x.Request.PromptTokens < c.below {
			return c.name
		}
	}
	return "100k-1M"
}
