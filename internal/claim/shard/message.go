package shard

import "time"

// Event is an input of Core.Step: Claim, Complete, GiveBack, Abandon,
// ReadDone, WriteDone or Tick.
type Event interface{ event() }

// Claim asks for the right to run an action once.
type Claim struct {
	ID          ID
	Token       Token
	Fingerprint uint64
	// Date is the key's date, Deadline the attempt's time limit and Wall the
	// present, all in Unix seconds.
	Date     int64
	Deadline int64
	Wall     int64
	// Expires is when the caller stops waiting for an answer.
	Expires time.Duration
	// Forwarded says that the claim belongs to another host. This Core never
	// gives it back on its own: the other host may hold the grant.
	Forwarded bool
}

// Complete records the outcome of a granted claim.
type Complete struct {
	ID      ID
	Token   Token
	Outcome Outcome
}

// GiveBack frees the key of a granted claim. The sender must have proof that
// the action was not run and will not be run under this token.
type GiveBack struct {
	ID    ID
	Token Token
}

// Abandon says that nobody waits for the claim's answer any more and that
// nothing was or will be sent under its token.
type Abandon struct {
	ID    ID
	Token Token
}

// Result is how a store call ended.
type Result uint8

// The results of store calls.
const (
	// OK says that the call took effect.
	OK Result = iota
	// NotFound says that there is no object.
	NotFound
	// Conflict says that the object's version differs from the base.
	Conflict
	// Throttled says that the call was refused for its rate, without effect.
	Throttled
	// Unavailable says that the store is down; the call had no effect.
	Unavailable
	// Unknown says that the answer was lost; a write may take effect at any
	// later time while the version is still its base.
	Unknown
)

// ReadDone ends the Read effect.
type ReadDone struct {
	Result  Result
	Version uint64
	Value   []byte
}

// WriteDone ends the Write effect.
type WriteDone struct {
	Result  Result
	Version uint64
}

// Tick lets time pass; it follows a Wake effect.
type Tick struct{}

func (Claim) event()     {}
func (Complete) event()  {}
func (GiveBack) event()  {}
func (Abandon) event()   {}
func (ReadDone) event()  {}
func (WriteDone) event() {}
func (Tick) event()      {}

// Effect is an output of Core.Step: Read, Write, Answer, Recorded or Wake.
type Effect interface{ effect() }

// Read asks for the shard object; ReadDone must follow.
type Read struct{}

// Write asks for a conditional write of the shard object; WriteDone must follow.
type Write struct {
	Value []byte
	Base  uint64
}

// Answer ends a Claim.
type Answer struct {
	Token    Token
	Decision Decision
	// Outcome is set with Done.
	Outcome Outcome
	// RetryAfter is set with Refused: when coming back can help.
	RetryAfter time.Duration
	// NotStored is set with Refused when the claim is certainly not in the store.
	NotStored bool
}

// Recorded ends a Complete or GiveBack.
type Recorded struct {
	Token Token
	// Lost says that nothing was recorded: the key's window is over, the queue
	// was full, or the entry is not there.
	Lost bool
}

// Wake asks for a Tick at the time given. A later Wake replaces an earlier one.
type Wake struct {
	At time.Duration
}

func (Read) effect()     {}
func (Write) effect()    {}
func (Answer) effect()   {}
func (Recorded) effect() {}
func (Wake) effect()     {}

// Decision is the answer to a Claim.
type Decision uint8

// The decisions. All but Granted mean that this attempt runs nothing.
const (
	// Refused says that no claim could be made durable; come back later.
	Refused Decision = iota
	// Granted says that the claim is durable and the action may be sent once.
	Granted
	// Done says that the action was run; its outcome is recorded.
	Done
	// InProgress says that another attempt holds the claim within its time limit.
	InProgress
	// OutcomeUnknown says that another attempt holds the claim, is past its
	// time limit and recorded no outcome: it may or may not have run.
	OutcomeUnknown
	// Mismatch says that the key was used for a different request.
	Mismatch
	// TooOld says that the key's window is over and its record may be gone.
	TooOld
	// Full says that the shard object has no room for another claim.
	Full
	// Unreadable says that the shard object's content can't be decoded.
	Unreadable
	// TooNew and Undated refuse keys before any Core sees them: their date lies
	// ahead of the clock, or they carry none where one is required.
	TooNew
	Undated
)

var decisionNames = [...]string{
	"refused", "granted", "done", "in progress", "outcome unknown",
	"mismatch", "too old", "full", "unreadable",
	"too new", "undated",
}

// String names the decision.
func (d Decision) String() string {
	return decisionNames[d]
}
