// Package finding collects problems found in input, each with the place where
// it was found, so that all of them can be reported together.
package finding

import (
	"sort"
	"strings"
)

// Finding is one problem in some input.
type Finding struct {
	// Place names the faulty part, such as a flag, a header or a field path.
	Place string `json:"place"`
	// Problem says what is wrong and what is accepted instead.
	Problem string `json:"problem"`
}

// String formats the finding as "place: problem".
func (f Finding) String() string {
	return f.Place + ": " + f.Problem
}

// List is a collection of findings. The zero value is ready to use.
type List []Finding

// Add appends one finding.
func (l *List) Add(place, problem string) {
	*l = append(*l, Finding{Place: place, Problem: problem})
}

// Sorted returns a copy ordered by place, then by problem.
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

// Err returns nil for an empty list and an error naming every finding otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return Error{Findings: l}
}

// Error is a non-empty list of findings as an error.
type Error struct {
	Findings List
}

// Error joins all findings, one a line.
func (e Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
