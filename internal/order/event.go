package order

import "time"

// Event is an input of Core.Step: an answer to an effect, a change of the lease
// or of the desired state, or the passing of time.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// Term reports that this process holds the lease until the time Until and may
// give orders under the number Fencing. A Term with the same number and a later
// end extends the current one.
type Term struct {
	Fencing uint64
	Until   time.Duration
}

// TermEnded reports that this process no longer holds the lease.
type TermEnded struct{}

// DesiredStateChanged carries the desired state of a newer configuration.
type DesiredStateChanged struct{ Desired DesiredState }

// Engine is one engine of the data centre, as the platform lists it.
type Engine struct {
	// Name is the engine's name, unique in the data centre, and Address is
	// where it receives orders.
	Name    string
	Address string
	// Leaving reports that the engine is about to leave, so no model is placed
	// on it.
	Leaving bool
}

// EnginesListed carries all engines of the data centre.
type EnginesListed struct{ Engines []Engine }

// Status is an engine's report about its models and orders.
type Status struct {
	// Models and Loading list the names of the models that the engine serves
	// and of those that it is loading.
	Models  []string
	Loading []string
	// LastOrder and LastFencing are the ID and the fencing number of the last
	// order that the engine has run.
	LastOrder   string
	LastFencing uint64
}

// StatusRead answers the ReadStatus with the same engine and token. Status is
// set only if the read did not fail.
type StatusRead struct {
	Engine string
	Token  uint64
	Failed bool
	Status Status
}

// Outcome is the effect of an order, as far as the sender knows it.
type Outcome uint8

// Outcomes of an order.
const (
	// Taken means that the engine has run an order with this ID, now or before.
	Taken Outcome = iota
	// NotRun means that the engine has not run the order and will not run it.
	NotRun
	// Fenced means that the engine refused the order because it has seen a
	// higher fencing number.
	Fenced
	// Unknown means that the answer is missing: the engine may have run the
	// order, or may still run it later.
	Unknown
)

// String returns the name of the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"taken", "not_run", "fenced", "unknown"}[o]
}

// OrderDone answers the SendOrder with the same engine and token.
type OrderDone struct {
	Engine  string
	Token   uint64
	Outcome Outcome
}

func (Tick) event()                {}
func (Term) event()                {}
func (TermEnded) event()           {}
func (DesiredStateChanged) event() {}
func (EnginesListed) event()       {}
func (StatusRead) event()          {}
func (OrderDone) event()           {}

// Effect is an output of Core.Step: something that the caller has to carry out
// or to log.
type Effect interface{ effect() }

// ReadStatus asks the caller to read an engine's status and to answer with a
// StatusRead.
type ReadStatus struct {
	Engine  string
	Address string
	Token   uint64
}

// SendOrder asks the caller to send an order to an engine if the time is still
// before NotAfter, and to answer with an OrderDone.
type SendOrder struct {
	Engine  string
	Address string
	Token   uint64
	// NotAfter is the time at which the order may no longer be sent, and at
	// which the wait for its answer ends.
	NotAfter time.Duration
	// ID is the order's ID, which an engine runs at most once, and Fencing the
	// fencing number of the term.
	ID      string
	Fencing uint64
	// Load and Unload list the names of the models and adapters to load and to
	// unload. Both are empty in a barrier.
	Load   []string
	Unload []string
}

// FencingOutdated reports that an engine has seen a fencing number above the
// one of the current term.
type FencingOutdated struct {
	Engine  string
	Fencing uint64
}

// EngineLivenessChanged reports that an engine stopped answering, if Dead, or
// answers again.
type EngineLivenessChanged struct {
	Engine string
	Dead   bool
}

// EngineReset reports that an engine no longer knows the orders of this term,
// for example because it was restarted.
type EngineReset struct{ Engine string }

// ModelAvailabilityChanged reports that no usable engine serves a desired model
// in any version, if Absent, or that one does again.
type ModelAvailabilityChanged struct {
	Model  string
	Absent bool
}

func (ReadStatus) effect()               {}
func (SendOrder) effect()                {}
func (FencingOutdated) effect()          {}
func (EngineLivenessChanged) effect()    {}
func (EngineReset) effect()              {}
func (ModelAvailabilityChanged) effect() {}
