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

// checkTime keeps a faulty history from being searched without end.
const checkTime = time.Minute

// mode is what the specification knows of a key. A ghost is a claim whose
// caller was refused or is dead: it blocks the key, is never run, and may go
// away at any time.
type mode uint8

const (
	free mode = iota
	ghost
	claimed
	done
)

type keyState struct {
	mode    mode
	attempt uint64
}

type input struct {
	kind    OpKind
	attempt uint64
	// late marks the effect that a refused or unanswered claim may still have.
	late bool
}

type output struct {
	answered bool
	decision shard.Decision
	by       uint64
}

// claimModel is the specification of one key: it is granted at most once
// unless the grant is given back, and outcomes are those recorded.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, in, out any) []any {
		return step(state.(keyState), in.(input), out.(output))
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

func step(s keyState, in input, out output) []any {
	if s.mode == ghost {
		return append(stepFrom(s, in, out), stepFrom(keyState{}, in, out)...)
	}
	return stepFrom(s, in, out)
}

func stepFrom(s keyState, in input, out output) []any {
	switch {
	case in.late:
		if s.mode == free {
			return []any{s, keyState{mode: ghost}}
		}
		return []any{s}
	case in.kind == OpClaim:
		return stepClaim(s, in, out)
	case in.kind == OpComplete:
		return stepEnd(s, in, out, keyState{mode: done, attempt: in.attempt})
	}
	return stepEnd(s, in, out, keyState{})
}

func stepClaim(s keyState, in input, out output) []any {
	switch out.decision {
	case shard.Granted:
		if s.mode == free {
			return []any{keyState{mode: claimed, attempt: in.attempt}}
		}
	case shard.Done:
		if s.mode == done && s.attempt == out.by {
			return []any{s}
		}
	case shard.InProgress, shard.OutcomeUnknown:
		if s.mode == claimed || s.mode == ghost {
			return []any{s}
		}
	case shard.Full:
		return []any{s}
	}
	return nil
}

func stepEnd(s keyState, in input, out output, after keyState) []any {
	own := s.mode == claimed && s.attempt == in.attempt
	switch {
	case own && out.answered:
		return []any{after}
	case own:
		return []any{s, after}
	case out.answered:
		return nil
	}
	return []any{s}
}

// operations turns the history of one key into porcupine's form.
func operations(records []*Record) []porcupine.Operation {
	var all []porcupine.Operation
	add := func(r *Record, in input, out output, end int64) {
		all = append(all, porcupine.Operation{ClientId: len(all), Input: in, Call: r.Call, Output: out, Return: end})
	}
	for _, r := range records {
		in := input{kind: r.Kind, attempt: r.Attempt}
		out := output{answered: r.Return > 0, decision: r.Decision, by: r.By}
		switch {
		case r.Kind != OpClaim && r.Return == 0:
			add(r, in, out, math.MaxInt64)
		case r.Kind == OpClaim && (r.Return == 0 || r.Decision == shard.Refused || r.Decision == shard.TooOld):
			// Its write may have taken effect, or may yet, before it was refused.
			add(r, input{kind: OpClaim, attempt: r.Attempt, late: true}, output{}, math.MaxInt64)
		default:
			add(r, in, out, r.Return)
		}
	}
	return all
}

// Violations checks a history and the attempts that ran, by key, against the
// specification, and describes what is wrong.
func Violations(history []*Record, executions map[uint64][]uint64) []string {
	var found []string
	byKey := make(map[uint64][]*Record)
	for _, r := range history {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	model := claimModel.ToModel()
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		records := byKey[key]
		if porcupine.CheckOperationsTimeout(model, operations(records), checkTime) != porcupine.Ok {
			found = append(found, fmt.Sprintf("key %d: history is not linearizable, or not checked in time", key))
		}
		found = append(found, executionFaults(key, records, executions[key])...)
	}
	return found
}

func executionFaults(key uint64, records []*Record, ran []uint64) []string {
	var found []string
	if len(ran) > 1 {
		found = append(found, fmt.Sprintf("key %d: run %d times", key, len(ran)))
	}
	for _, r := range records {
		notRun := r.Kind == OpGiveBack || r.Kind == OpClaim && r.Return > 0 && r.Decision != shard.Granted
		for _, attempt := range ran {
			if notRun && r.Attempt == attempt {
				found = append(found, fmt.Sprintf("key %d: attempt %d was told not_run and ran", key, attempt))
			}
		}
	}
	return found
}
