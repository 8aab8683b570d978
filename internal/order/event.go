package order

import "time"

// Event is what happened.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Term tells that the lease is held, until the time given. A term that ends
// later with the same number extends it.
type Term struct {
	Fencing uint64
	Until   time.Duration
}

// TermEnded tells that the lease is no longer held.
type TermEnded struct{}

// DesiredStateChanged gives a newer configuration's wishes.
type DesiredStateChanged struct{ Desired DesiredState }

// Engine is one engine of the data centre.
type Engine struct {
	Name    string
	Address string
	Leaving bool
}

// EnginesListed gives all engines of the data centre.
type EnginesListed struct{ Engines []Engine }

// Status is an engine's report.
type Status struct {
	Models      []string
	Loading     []string
	LastOrder   string
	LastFencing uint64
}

// StatusRead answers a ReadStatus.
type StatusRead struct {
	Engine string
	Token  uint64
	Failed bool
	Status Status
}

// Outcome is what is known of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Taken says that the engine has run the order's ID, now or before.
	Taken Outcome = iota
	// NotRun says that the engine has not run it and will not.
	NotRun
	// Fenced says that the engine has seen a higher fencing number.
	Fenced
	// Unknown says that the engine may run it, now or later.
	Unknown
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"taken", "not_run", "fenced", "unknown"}[o]
}

// OrderDone answers a Send.
type OrderDone struct {
	Engine  string
	Token   uint64
	Outcome Outcome
}

func (Tick) event()       {}
func (Term) event()       {}
func (TermEnded) event()  {}
func (DesiredStateChanged) event()       {}
func (EnginesListed) event()     {}
func (StatusRead) event() {}
func (OrderDone) event()  {}

// Effect is what the caller has to do.
type Effect interface{ effect() }

// ReadStatus asks an engine for its status.
type ReadStatus struct {
	Engine  string
	Address string
	Token   uint64
}

// SendOrder sends an order, if it is still before NotAfter.
type SendOrder struct {
	Engine   string
	Address  string
	Token    uint64
	NotAfter time.Duration
	ID       string
	Fencing  uint64
	Load     []string
	Unload   []string
}

// FencingOutdated tells that an engine has seen a higher fencing number.
type FencingOutdated struct {
	Engine  string
	Fencing uint64
}

// EngineLivenessChanged tells that an engine ceased to answer, or answers again.
type EngineLivenessChanged struct {
	Engine string
	Dead   bool
}

// EngineReset tells that an engine has lost what this holder ordered.
type EngineReset struct{ Engine string }

// ModelAvailabilityChanged tells that a wanted model has come to be on no engine, or on one again.
type ModelAvailabilityChanged struct {
	Model  string
	Absent bool
}

func (ReadStatus) effect()  {}
func (SendOrder) effect()        {}
func (FencingOutdated) effect()    {}
func (EngineLivenessChanged) effect() {}
func (EngineReset) effect() {}
func (ModelAvailabilityChanged) effect()  {}
