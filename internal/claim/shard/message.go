package shard

import "time"

// Event is an input of Core.Step. It is one of Claim, Complete, GiveBack,
// Abandon, ReadDone, WriteDone and Tick.
type Event interface{ event() }

// Claim requests the right to run an action once.
type Claim struct {
	// ID identifies the action, Token the attempt to run it. Fingerprint is a
	// digest of the request's body.
	ID          ID
	Token       Token
	Fingerprint uint64
	// Date is the key's date, Deadline the end of the attempt's time limit and
	// WallTime the present time, all in Unix seconds.
	Date     int64
	Deadline int64
	WallTime int64
	// WaitUntil is the time at which the caller stops waiting for an answer, on
	// the same scale as the times passed to Core.Step.
	WaitUntil time.Duration
	// Forwarded is true if another host forwarded the claim. This Core never
	// gives such a claim back on its own, because the other host may already
	// have been granted it.
	Forwarded bool
}

// Complete records the outcome of a granted claim.
type Complete struct {
	ID      ID
	Token   Token
	Outcome Outcome
}

// GiveBack removes a granted claim, so that its key can be claimed again. The
// sender must have proof that the action was not run and will not be run under
// this token.
type GiveBack struct {
	ID    ID
	Token Token
}

// Abandon withdraws a claim whose answer nobody waits for any more. The sender
// states that the action was not and will not be sent under this token.
type Abandon struct {
	ID    ID
	Token Token
}

// Result is the result of a store call.
type Result uint8

// The results of store calls.
const (
	// OK means that the call took effect.
	OK Result = iota
	// NotFound means that the object does not exist.
	NotFound
	// Conflict means that the object's version is not the base version of the
	// write; the write had no effect.
	Conflict
	// Throttled means that the store refused the call because of its rate
	// limit; the call had no effect.
	Throttled
	// Unavailable means that the store is down; the call had no effect.
	Unavailable
	// Unknown means that no answer arrived. A write may have taken effect, or
	// may take effect at any later time while the object still has its base
	// version.
	Unknown
)

// ReadDone reports the result of a Read effect.
type ReadDone struct {
	Result Result
	// Version and Value are those of the object that was read, with OK.
	Version uint64
	Value   []byte
}

// WriteDone reports the result of a Write effect.
type WriteDone struct {
	Result Result
	// Version is the object's new version, with OK.
	Version uint64
}

// Tick reports that the time requested with SetTimer has come.
type Tick struct{}

func (Claim) event()     {}
func (Complete) event()  {}
func (GiveBack) event()  {}
func (Abandon) event()   {}
func (ReadDone) event()  {}
func (WriteDone) event() {}
func (Tick) event()      {}

// Effect is an output of Core.Step. It is one of Read, Write, Answer,
// RecordResult and SetTimer.
type Effect interface{ effect() }

// Read requests a read of the shard object. The caller must send ReadDone.
type Read struct{}

// Write requests a conditional write of the shard object. The caller must send
// WriteDone.
type Write struct {
	// Value is the new content. It may be written only if the object has the
	// version BaseVersion; 0 means that the object must not exist.
	Value       []byte
	BaseVersion uint64
}

// Answer is the answer to a Claim.
type Answer struct {
	// Token is that of the claim.
	Token    Token
	Decision Decision
	// Outcome is the recorded outcome, with Done.
	Outcome Outcome
	// RetryAfter is the time after which another claim may succeed, with
	// Refused.
	RetryAfter time.Duration
	// NotStored is true if the claim is certainly not in the store, with
	// Refused.
	NotStored bool
}

// RecordResult reports that a Complete or GiveBack has ended.
type RecordResult struct {
	Token Token
	// NotRecorded is true if the outcome or the removal was not recorded: the
	// key's window is over, the queue was full, the object can't be decoded,
	// or the entry of a Complete does not exist. It is false for a GiveBack
	// whose entry does not exist, because nothing has to be removed.
	NotRecorded bool
}

// SetTimer requests a Tick at the given time. A later SetTimer replaces an
// earlier one.
type SetTimer struct {
	// At is on the same scale as the times passed to Core.Step.
	At time.Duration
}

func (Read) effect()         {}
func (Write) effect()        {}
func (Answer) effect()       {}
func (RecordResult) effect() {}
func (SetTimer) effect()     {}

// Decision is the answer to a Claim.
type Decision uint8

// The decisions. After any decision other than Granted this attempt must not
// run the action.
const (
	// Refused means that the claim could not be stored durably now; a later
	// attempt may succeed.
	Refused Decision = iota
	// Granted means that the claim is stored durably and the action may be sent
	// once.
	Granted
	// Done means that the action was already run and its outcome is recorded.
	Done
	// InProgress means that another attempt holds the claim and its time limit
	// has not passed.
	InProgress
	// OutcomeUnknown means that another attempt holds the claim, its time limit
	// has passed and no outcome is recorded: the action may or may not have run.
	OutcomeUnknown
	// Mismatch means that the key was used for a request with another body.
	Mismatch
	// TooOld means that the key's window is over, so that the record of an
	// earlier attempt may have been removed.
	TooOld
	// Full means that the shard object has no space for another claim.
	Full
	// Unreadable means that the content of the shard object can't be decoded.
	Unreadable
	// TooNew and Undated are not decided by a Core but by the code in front of
	// it. TooNew means that the key's date lies too far in the future, Undated
	// that the key carries no date although one is required.
	TooNew
	Undated
)

var decisionNames = [...]string{
	"refused", "granted", "done", "in progress", "outcome unknown",
	"mismatch", "too old", "full", "unreadable",
	"too new", "undated",
}

// String returns the decision in words, such as "in progress".
func (d Decision) String() string {
	return decisionNames[d]
}
