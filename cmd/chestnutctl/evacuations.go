package main

import (
	"context"
	"time"

	"github.com/chestnutline/chestnutline/internal/operate"
)

// runEvacuations shows which data centres are out of service, since when, and which gateways
// obey. It fails if one does not obey or could not be asked.
func runEvacuations(ctx context.Context, out *outputWriter, s *hostSettings) error {
	e := operate.EvaluateEvacuations(operate.Admin{Addresses: s.Admin}.Dump(ctx), time.Now())
	var lines []string
	for _, d := range e.DataCentres {
		lines = append(lines, d.String())
	}
	if len(e.DataCentres) == 0 {
		lines = append(lines, "no host that answered has a data centre out of service")
	}
	for _, problem := range e.NotAsked {
		lines = append(lines, "not asked: "+problem)
	}
	if err := out.writeResult(e, lines...); err != nil {
		return err
	}
	if !e.Everywhere() {
		return reportedError{notObeyedError{}}
	}
	return nil
}

// notObeyedError is the error for an evacuation that is not in force on all hosts.
type notObeyedError struct{}

// Error says what is wrong.
func (notObeyedError) Error() string { return "not obeyed by all hosts" }
