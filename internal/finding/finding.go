// Package finding collects the problems found in some input, each with the place
// where it was found, so that all of them can be reported at once.
package finding

import (
	"sort"
	"strings"
)

// Finding is one problem in some input.
type Finding struct {
	// Place names the faulty part of the input, such as a flag, a header or the path
	// of a field.
	Place string `json:"place"`
	// Problem describes what is wrong and what is accepted instead.
	Problem string `json:"problem"`
}

// String formats the finding as "place: problem".
func (f Finding) String() string {
	return f.Place + ": " + f.Problem
}

// List is a list of findings. The zero value is an empty list, ready to use.
type List []Finding

// Add appends one finding.
func (l *List) Add(place, problem string) {
	*l = append(*l, Finding{Place: place, Problem: problem})
}

// Sorted returns a copy of the list, ordered by place and then by problem.
func (l List) Sorted() List {
	sorted := append(List(nil), l...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Place != sorted[j].Place {
			return sorted[i].Place < sorted[j].Place
		}
		return sorted[i].Problem < sorted[j].Problem
	})
	return sorted
}

// Err returns nil for an empty list, and an Error with all findings otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return Error{Findings: l}
}

// Error is an error that consists of one or more findings.
type Error struct {
	Findings List
}

// Error returns all findings, one on each line.
func (e Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
