// Package logevent is the catalogue of numbered log events. Each event is declared
// once. The page docs/LOGS.md lists all of them, and a test compares the two.
package logevent

import (
	"fmt"
	"sort"

	"github.com/apex/log"
)

// Event is one kind of log entry.
type Event struct {
	// Number identifies the event permanently. A number is never reused for another
	// event.
	Number int
	// Level is the severity with which the event is logged.
	Level log.Level
	// Name is the message of the log entry, the same for every entry of the event.
	Name string
	// Meaning explains to an operator what has happened and what to do about it.
	Meaning string
}

// catalogue holds all declared events by number.
var catalogue = map[int]Event{}

// declare adds an event to the catalogue and returns it. It panics if the number
// is taken, since the events are declared when the program starts.
func declare(number int, level log.Level, name, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("log event %d is declared twice", number))
	}
	e := Event{Number: number, Level: level, Name: name, Meaning: meaning}
	catalogue[number] = e
	return e
}

// All returns all events of the catalogue, ordered by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Emit logs the event with the given fields and its number. The fields must not
// contain the text of prompts or answers, nor idempotency keys.
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
