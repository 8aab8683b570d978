package lease

// Event is an input of Core.Step: an answer to a call, a request of the caller,
// or the passing of time.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// CandidatesCounted carries the number of candidates, this one included.
type CandidatesCounted struct{ Count int }

// ReadDone answers a Read. Value and Version are set only if Result is OK.
type ReadDone struct {
	Result  Result
	Value   []byte
	Version uint64
}

// WriteDone answers a Write. Version is the new version of the object if Result
// is OK.
type WriteDone struct {
	Result  Result
	Version uint64
}

// RaiseFencing asks for a fencing number above the given one, because an engine
// has seen that number. Only a holder can raise its number, which it does with
// its next renewal.
type RaiseFencing struct{ Above uint64 }

// Release asks the candidate to give the lease up. The caller must already have
// stopped acting on it. A Released effect follows, after which the Core
// requests nothing more.
type Release struct{}

func (Tick) event()              {}
func (CandidatesCounted) event() {}
func (ReadDone) event()          {}
func (WriteDone) event()         {}
func (RaiseFencing) event()      {}
func (Release) event()           {}

// Result is the outcome of a call to the object API.
type Result uint8

// Results of a call to the object API.
const (
	// OK means that the call took effect.
	OK Result = iota
	// NotFound means that the object does not exist.
	NotFound
	// Conflict means that the object has a version other than the expected one.
	Conflict
	// Refused means that the call had no effect and may be repeated.
	Refused
	// Unknown means that the answer was lost. A write may have taken effect, or
	// may still do so.
	Unknown
)

// Effect is an output of Core.Step: a call that the caller has to carry out, or
// a change of the lease.
type Effect interface{ effect() }

// Read asks the caller to read the lease object.
type Read struct{}

// Write asks the caller to write Value to the lease object on the condition
// that its version is Base; 0 means that the object must not exist.
type Write struct {
	Value []byte
	Base  uint64
}

// Acquired reports that the candidate now holds the lease under the fencing
// number.
type Acquired struct{ Fencing uint64 }

// Lost reports that the candidate no longer holds the lease.
type Lost struct {
	Fencing uint64
	Reason  Reason
}

// Released reports that the Release is complete.
type Released struct{}

func (Read) effect()     {}
func (Write) effect()    {}
func (Acquired) effect() {}
func (Lost) effect()     {}
func (Released) effect() {}

// Reason is the cause of the loss of a lease.
type Reason string

// Reasons of a Lost effect.
const (
	// ReasonExpired means that no renewal was confirmed in time.
	ReasonExpired Reason = "expired"
	// ReasonSuperseded means that a read returned another candidate's record.
	ReasonSuperseded Reason = "superseded"
	// ReasonReleased means that the candidate gave the lease up.
	ReasonReleased Reason = "released"
)
