package lease

// Event is what happened to a candidate.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// CandidatesCounted tells how many candidates there are, this one included.
type CandidatesCounted struct{ Count int }

// ReadDone answers a Read.
type ReadDone struct {
	Result  Result
	Value   []byte
	Version uint64
}

// WriteDone answers a Write.
type WriteDone struct {
	Result  Result
	Version uint64
}

// RaiseFencing asks for a fencing number above the one given, because an engine has
// seen it. Only a holder can raise its number, with its next renewal.
type RaiseFencing struct{ Above uint64 }

// Release gives the lease up. The caller has ceased to act on it. Released
// follows, and the Core asks for nothing more.
type Release struct{}

func (Tick) event()       {}
func (CandidatesCounted) event() {}
func (ReadDone) event()   {}
func (WriteDone) event()  {}
func (RaiseFencing) event()      {}
func (Release) event()    {}

// Result is the outcome of a call to the object API.
type Result uint8

// Outcomes of a call.
const (
	// OK says that the call took effect.
	OK Result = iota
	// NotFound says that there is no object.
	NotFound
	// Conflict says that the object has another version.
	Conflict
	// Refused says that the call had no effect and may be repeated.
	Refused
	// Unknown says that the answer was lost; a write may have taken effect, or
	// may still do so.
	Unknown
)

// Effect is what the caller has to do.
type Effect interface{ effect() }

// Read asks for the lease object.
type Read struct{}

// Write asks for a conditional write of the lease object.
type Write struct {
	Value []byte
	Base  uint64
}

// Acquired says that the lease is held under the fencing number.
type Acquired struct{ Fencing uint64 }

// Lost says that the lease is no longer held.
type Lost struct {
	Fencing uint64
	Reason  Reason
}

// Released ends a Release.
type Released struct{}

func (Read) effect()     {}
func (Write) effect()    {}
func (Acquired) effect() {}
func (Lost) effect()     {}
func (Released) effect() {}

// Reason tells why a lease was lost.
type Reason string

// Reasons of Lost.
const (
	// ReasonExpired says that no renewal was confirmed in time.
	ReasonExpired Reason = "expired"
	// ReasonSuperseded says that another candidate's record was read.
	ReasonSuperseded Reason = "superseded"
	// ReasonReleased says that the lease was given up.
	ReasonReleased Reason = "released"
)
