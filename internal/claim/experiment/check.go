package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/chestnutline/chestnutline/internal/claim/shard"
)

// checkTimeout limits the check of one key's history, because the search in a
// history with a violation may not end in any useful time.
const checkTimeout = time.Minute

// keyMode is the state of a key in the specification. An orphaned key has a
// stored claim whose caller was refused or whose host was killed: the claim
// blocks the key, its action is never run, and it may be removed at any time.
type keyMode uint8

const (
	free     keyMode = iota // the key has no claim
	orphaned                // see keyMode
	claimed                 // an attempt holds the claim
	done                    // an outcome is recorded
)

// keyState is the state of one key in the specification. attempt is the attempt
// that holds the claim, or whose outcome is recorded.
type keyState struct {
	mode    keyMode
	attempt uint64
}

// input is the call of one operation on a key.
type input struct {
	kind    OpKind
	attempt uint64
	// lateEffect marks the effect that a refused or unanswered claim may still
	// have on the store.
	lateEffect bool
}

// output is the answer of one operation on a key. outcomeAttempt is the attempt
// whose outcome was returned with the decision Done.
type output struct {
	answered       bool
	decision       shard.Decision
	outcomeAttempt uint64
}

// claimModel is the specification of one key: the key is granted at most once
// unless the claim is given back, and the outcomes returned are those that were
// recorded.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, in, out any) []any {
		return stepKey(state.(keyState), in.(input), out.(output))
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// stepKey returns the states that a key may have after an operation, or none if
// the specification does not allow the operation. An orphaned claim may have
// been removed before.
func stepKey(s keyState, in input, out output) []any {
	if s.mode == orphaned {
		return append(stepFrom(s, in, out), stepFrom(keyState{}, in, out)...)
	}
	return stepFrom(s, in, out)
}

// stepFrom returns the states that a key may have after an operation in the state
// s. Unlike stepKey it does not consider that an orphaned claim may have been
// removed.
func stepFrom(s keyState, in input, out output) []any {
	switch {
	case in.lateEffect:
		if s.mode == free {
			return []any{s, keyState{mode: orphaned}}
		}
		return []any{s}
	case in.kind == OpClaim:
		return stepClaim(s, in, out)
	case in.kind == OpComplete:
		return stepCompletion(s, in, out, keyState{mode: done, attempt: in.attempt})
	}
	return stepCompletion(s, in, out, keyState{})
}

// stepClaim returns the states after a claim that was answered.
func stepClaim(s keyState, in input, out output) []any {
	switch out.decision {
	case shard.Granted:
		if s.mode == free {
			return []any{keyState{mode: claimed, attempt: in.attempt}}
		}
	case shard.Done:
		if s.mode == done && s.attempt == out.outcomeAttempt {
			return []any{s}
		}
	case shard.InProgress, shard.OutcomeUnknown:
		if s.mode == claimed || s.mode == orphaned {
			return []any{s}
		}
	case shard.Full:
		return []any{s}
	}
	return nil
}

// stepCompletion returns the states after a Complete or GiveBack. If the attempt
// holds the claim, the operation leads to the state given by the parameter
// after. Without an answer it may or may not have taken effect.
func stepCompletion(s keyState, in input, out output, after keyState) []any {
	holdsClaim := s.mode == claimed && s.attempt == in.attempt
	switch {
	case holdsClaim && out.answered:
		return []any{after}
	case holdsClaim:
		return []any{s, after}
	case out.answered:
		return nil
	}
	return []any{s}
}

// operations converts the history of one key to the operations that porcupine
// checks.
func operations(records []*Record) []porcupine.Operation {
	var all []porcupine.Operation
	add := func(r *Record, in input, out output, end int64) {
		all = append(all, porcupine.Operation{ClientId: len(all), Input: in, Call: r.Call, Output: out, Return: end})
	}
	for _, r := range records {
		in := input{kind: r.Kind, attempt: r.Attempt}
		out := output{answered: r.Return > 0, decision: r.Decision, outcomeAttempt: r.OutcomeAttempt}
		switch {
		case r.Kind != OpClaim && r.Return == 0:
			add(r, in, out, math.MaxInt64)
		case r.Kind == OpClaim && (r.Return == 0 || r.Decision == shard.Refused || r.Decision == shard.TooOld):
			// The claim may be stored although it was refused: its write may
			// have taken effect before, or may take effect later.
			add(r, input{kind: OpClaim, attempt: r.Attempt, lateEffect: true}, output{}, math.MaxInt64)
		default:
			add(r, in, out, r.Return)
		}
	}
	return all
}

// Violations checks a history, and the attempts whose action ran by key, against
// the specification. It returns a description of each violation.
func Violations(history []*Record, executions map[uint64][]uint64) []string {
	var found []string
	byKey := make(map[uint64][]*Record)
	for _, r := range history {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	model := claimModel.ToModel()
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		records := byKey[key]
		if porcupine.CheckOperationsTimeout(model, operations(records), checkTimeout) != porcupine.Ok {
			found = append(found, fmt.Sprintf("key %d: history is not linearizable, or not checked in time", key))
		}
		found = append(found, executionViolations(key, records, executions[key])...)
	}
	return found
}

// executionViolations checks the attempts whose action ran for one key: at most
// one may have run, and none that gave its claim back or was not granted it.
func executionViolations(key uint64, records []*Record, ran []uint64) []string {
	var found []string
	if len(ran) > 1 {
		found = append(found, fmt.Sprintf("key %d: the action ran %d times", key, len(ran)))
	}
	for _, r := range records {
		notRun := r.Kind == OpGiveBack || r.Kind == OpClaim && r.Return > 0 && r.Decision != shard.Granted
		for _, attempt := range ran {
			if notRun && r.Attempt == attempt {
				found = append(found, fmt.Sprintf("key %d: attempt %d was answered not_run but its action ran", key, attempt))
			}
		}
	}
	return found
}
