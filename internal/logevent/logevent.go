// Package logevent is the catalogue of numbered log events. Each event is
// declared once; docs/LOGS.md lists them, and a test compares the two.
package logevent

import (
	"fmt"
	"sort"

	"github.com/apex/log"
)

// Event is one kind of log entry.
type Event struct {
	// Number identifies the event for good; numbers are never reused.
	Number int
	// Level is the severity with which the event is logged.
	Level log.Level
	// Name is the constant message.
	Name string
	// Meaning tells an operator what happened and what to do.
	Meaning string
}

var catalogue = map[int]Event{}

func declare(number int, level log.Level, name, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("log event %d is declared twice", number))
	}
	e := Event{Number: number, Level: level, Name: name, Meaning: meaning}
	catalogue[number] = e
	return e
}

// All returns the catalogue ordered by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Emit logs the event with the fields given. Prompt text, answers and
// idempotency keys must not be among the fields.
func (e Event) Emit(l log.Interface, fields log.Fields) {
	entry := l.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	case log.ErrorLevel:
		entry.Error(e.Name)
	default:
		entry.Info(e.Name)
	}
}
