// Package memory keeps what callers and servers make a host hold within the memory that it
// has. A Budget is the thread-safe form of the decisions in package ledger.
package memory

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/memory/ledger"
)

// ErrExhausted means that there is no memory for a holder, which must let go of all that it
// holds.
var ErrExhausted = errors.New("the host's memory for callers is exhausted")

// Class says what memory is held for.
type Class = ledger.Class

// Classes of holdings.
const (
	Connection = ledger.Connection
	Request    = ledger.Request
	Answer     = ledger.Answer
	Message    = ledger.Message
)

// ClassCount is the number of classes.
const ClassCount = ledger.ClassCount

// Figures are the totals of a budget.
type Figures = ledger.Figures

// Budget is the memory that a host may hold for others. Its methods, and those of its
// holdings, may be called from any goroutine.
type Budget struct {
	mu     sync.Mutex
	ledger *ledger.Ledger
}

// unlimitedConnections is a number of connections that no host reaches.
const unlimitedConnections = 1 << 20

// New returns a budget of a number of bytes without a limit on connections.
func New(limit int64) *Budget { return NewWithConnections(limit, unlimitedConnections) }

// NewWithConnections returns a budget of a number of bytes and of connections.
func NewWithConnections(limit int64, maxConnections int) *Budget {
	return &Budget{ledger: ledger.New(limit, maxConnections)}
}

// Figures returns the present totals.
func (b *Budget) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Figures()
}

// Holding is what one holder holds.
type Holding struct {
	budget  *Budget
	entry   *ledger.Entry
	giveWay func()
}

// Open returns a holding without bytes. The function giveWay is called at most once, from
// any goroutine, when the holder must let go of all that it holds; it must not block. A
// holding without one is never made to give way.
func (b *Budget) Open(class Class, giveWay func()) *Holding { return b.open(class, giveWay, nil) }

// OpenOn is like Open for what is held for a connection, which ends when it gives way.
func (b *Budget) OpenOn(connection *Holding, class Class, giveWay func()) *Holding {
	return b.open(class, giveWay, connection)
}

// open adds a holding on a connection, or on none.
func (b *Budget) open(class Class, giveWay func(), connection *Holding) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entry *ledger.Entry
	if connection != nil {
		entry = connection.entry
	}
	h := &Holding{budget: b, giveWay: giveWay, entry: b.ledger.Open(class, giveWay != nil, entry)}
	h.entry.Owner = h
	return h
}

// OpenConnection returns the holding of a new connection, which waits for a request. It
// returns ErrExhausted if the connection must be closed.
func (b *Budget) OpenConnection(bytes int64, giveWay func()) (*Holding, error) {
	h := &Holding{budget: b, giveWay: giveWay}
	b.mu.Lock()
	entry, victims := b.ledger.OpenConnection(bytes)
	if entry != nil {
		h.entry, entry.Owner = entry, h
	}
	b.mu.Unlock()
	tell(victims)
	if entry == nil {
		return nil, ErrExhausted
	}
	return h, nil
}

// tell calls the holders that must give way.
func tell(victims []*ledger.Entry) {
	for _, e := range victims {
		if h, ok := e.Owner.(*Holding); ok && h.giveWay != nil {
			h.giveWay()
		}
	}
}

// Grow adds bytes to what is held. It returns ErrExhausted if there is no room for them:
// then nothing is added, and the holder itself must let go.
func (h *Holding) Grow(bytes int64) error {
	h.budget.mu.Lock()
	victims, ok := h.budget.ledger.Grow(h.entry, bytes)
	h.budget.mu.Unlock()
	tell(victims)
	if !ok {
		return ErrExhausted
	}
	return nil
}

// Shrink changes what is held to a lower number of bytes.
func (h *Holding) Shrink(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Set(h.entry, bytes)
}

// Complete says that what is held was read whole, so that the holder is no longer made to
// give way. It returns false if the holder was told to before.
func (h *Holding) Complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.ledger.Complete(h.entry)
}

// Begin says that a request has begun to come on a connection.
func (h *Holding) Begin() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Begin(h.entry)
}

// Await says that a connection waits for its next request.
func (h *Holding) Await() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Await(h.entry)
}

// Stall says that the caller of an answer takes nothing, so that it is the first to give way.
func (h *Holding) Stall() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Stall(h.entry)
}

// Move charges to another holding of the same budget what is held.
func (h *Holding) Move(to *Holding) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Move(h.entry, to.entry)
}

// Release lets go of all that is held. Further calls change nothing.
func (h *Holding) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Release(h.entry)
}
