package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// naive is a faulty implementation of claims, used to show that the checks find
// its faults. It reads the object before each write. If unconditional is set,
// the write has no condition; if takeOver is set, a claim whose time limit has
// passed is granted to another attempt.
type naive struct {
	unconditional bool
	takeOver      bool
	// waiting holds the events not yet answered; busy is set while the first of
	// them is being served.
	waiting []shard.Event
	busy    bool
	// version and table are those of the object as last read.
	version uint64
	table   map[string]naiveEntry
	// effects collects the effects of the current call of Step.
	effects []shard.Effect
}

// naiveEntry is the stored record of one key.
type naiveEntry struct {
	Token    shard.Token
	Done     bool
	Deadline int64
	Outcome  shard.Outcome
}

// Step implements ClaimCore. It serves the waiting events one after the other,
// and starts each with a read.
func (n *naive) Step(_ time.Duration, event shard.Event) []shard.Effect {
	n.effects = nil
	switch e := event.(type) {
	case shard.ReadDone:
		n.handleReadDone(e)
	case shard.WriteDone:
		n.handleWriteDone(e)
	case shard.Claim, shard.Complete, shard.GiveBack:
		n.waiting = append(n.waiting, e)
	}
	if !n.busy && len(n.waiting) > 0 {
		n.busy = true
		n.emit(shard.Read{})
	}
	return n.effects
}

// emit adds an effect to those that Step returns.
func (n *naive) emit(e shard.Effect) {
	n.effects = append(n.effects, e)
}

// finish emits the answer to the event being served, and removes the event.
func (n *naive) finish(e shard.Effect) {
	n.waiting = n.waiting[1:]
	n.busy = false
	n.emit(e)
}

// handleReadDone takes the table that was read and serves the first waiting
// event from it.
func (n *naive) handleReadDone(e shard.ReadDone) {
	if e.Result != shard.OK && e.Result != shard.NotFound {
		n.fail()
		return
	}
	n.table = make(map[string]naiveEntry)
	n.version = e.Version
	if e.Result == shard.OK {
		if err := json.Unmarshal(e.Value, &n.table); err != nil {
			panic(err)
		}
	}
	switch next := n.waiting[0].(type) {
	case shard.Claim:
		n.claim(next)
	case shard.Complete:
		n.table[hexID(next.ID)] = naiveEntry{Token: next.Token, Done: true, Outcome: next.Outcome}
		n.write()
	case shard.GiveBack:
		delete(n.table, hexID(next.ID))
		n.write()
	}
}

// claim answers a claim from the table, or writes an entry for it.
func (n *naive) claim(c shard.Claim) {
	held, ok := n.table[hexID(c.ID)]
	switch {
	case ok && held.Done:
		n.finish(shard.Answer{Token: c.Token, Decision: shard.Done, Outcome: held.Outcome})
	case ok && !(n.takeOver && held.Deadline < c.WallTime):
		n.finish(shard.Answer{Token: c.Token, Decision: shard.InProgress})
	default:
		n.table[hexID(c.ID)] = naiveEntry{Token: c.Token, Deadline: c.Deadline}
		n.write()
	}
}

// write requests the write of the changed table.
func (n *naive) write() {
	value, err := json.Marshal(n.table)
	if err != nil {
		panic(err)
	}
	base := n.version
	if n.unconditional {
		base = AnyVersion
	}
	n.emit(shard.Write{Value: value, BaseVersion: base})
}

// handleWriteDone answers the event whose write has ended.
func (n *naive) handleWriteDone(e shard.WriteDone) {
	if e.Result == shard.OK {
		n.succeed()
		return
	}
	n.fail()
}

// succeed grants the claim that was written, or reports that the outcome or the
// removal is recorded.
func (n *naive) succeed() {
	if c, ok := n.waiting[0].(shard.Claim); ok {
		n.finish(shard.Answer{Token: c.Token, Decision: shard.Granted})
		return
	}
	n.finish(shard.RecordResult{Token: tokenOf(n.waiting[0])})
}

// fail refuses a claim, and drops an outcome or a claim that is given back.
func (n *naive) fail() {
	if c, ok := n.waiting[0].(shard.Claim); ok {
		n.finish(shard.Answer{Token: c.Token, Decision: shard.Refused})
		return
	}
	n.finish(shard.RecordResult{Token: tokenOf(n.waiting[0]), NotRecorded: true})
}

// tokenOf returns the token of a Complete or GiveBack.
func tokenOf(e shard.Event) shard.Token {
	switch f := e.(type) {
	case shard.Complete:
		return f.Token
	case shard.GiveBack:
		return f.Token
	}
	return shard.Token{}
}

// hexID returns the ID in hexadecimal, which serves as a key of the JSON object.
func hexID(id shard.ID) string {
	return fmt.Sprintf("%x", id)
}
