package main

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/operate"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// outputWriter writes the results, the progress and the errors of a command.
type outputWriter struct {
	streams
	// json is true if the result is to be printed as one JSON document.
	json bool
}

// writeResult writes the result to the standard output: the document as JSON if
// the JSON form was asked for, otherwise the lines.
func (o *outputWriter) writeResult(document any, lines ...string) error {
	if o.json {
		encoder := json.NewEncoder(o.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(document), "write the result")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(o.out, line); err != nil {
			return errors.Wrap(err, "write the result")
		}
	}
	return nil
}

// writeProgress writes a line about the command's progress to the error output.
func (o *outputWriter) writeProgress(line string) {
	fmt.Fprintln(o.errOut, line)
}

// failure is the JSON form of a failed command.
type failure struct {
	Error string `json:"error"`
	// Next advises the operator what to do next.
	Next     string `json:"next"`
	ExitCode int    `json:"exit_code"`
	// Findings lists the problems of the settings or the configuration, if the
	// error consists of findings.
	Findings finding.List `json:"findings,omitempty"`
}

// writeFailure writes an error with the advice what to do next and returns the
// exit code. In the JSON form it writes nothing for a reportedError, whose result
// was written before.
func (o *outputWriter) writeFailure(err error) int {
	f := describeFailure(err)
	var reported reportedError
	if o.json && errors.As(err, &reported) {
		return f.ExitCode
	}
	if o.json {
		if shown := o.writeResult(f); shown != nil {
			fmt.Fprintln(o.errOut, shown)
		}
		return f.ExitCode
	}
	fmt.Fprintln(o.errOut, f.Error)
	fmt.Fprintln(o.errOut, "next: "+f.Next)
	return f.ExitCode
}

// notInForceError is the error for a version that is not in force on all hosts
// of all data centres.
type notInForceError struct{ rollout operate.Rollout }

// Error returns where the version is not yet in force.
func (e notInForceError) Error() string {
	return "not in force everywhere: " + e.rollout.String()
}

// describeFailure returns the exit code of an error and the advice what the
// operator can do next.
func describeFailure(err error) failure {
	f := failure{Error: err.Error(), ExitCode: exitFailed, Next: "read the error, and try again"}
	var invalid finding.Error
	var conflict *registry.ConflictError
	var unknown *registry.UnknownOutcomeError
	var notInForce notInForceError
	var notObeyed notObeyedError
	switch {
	case errors.As(err, &invalid):
		f.ExitCode = exitUsage
		f.Findings = invalid.Findings
		f.Next = "mend every place named, and run the command again"
	case errors.As(err, &conflict):
		f.ExitCode = exitConflict
		f.Next = fmt.Sprintf("compare with chestnutctl diff, take the other change into yours, and submit with --base %d", conflict.CurrentVersion)
	case errors.As(err, &unknown):
		f.Next = fmt.Sprintf("run chestnutctl status: if version %d shows the nonce %s, the change was accepted; otherwise submit again on the same base",
			unknown.Change.Version, unknown.Change.Nonce)
	case errors.As(err, &notInForce):
		f.ExitCode = exitNotInForce
		f.Next = "look at the hosts named, in their logs and with chestnutctl dump; chestnutctl status shows whether they have caught up"
	case errors.As(err, &notObeyed):
		f.ExitCode = exitNotInForce
		f.Next = "ask again after the time in which evacuations must be in force; then look at the hosts named, as docs/operating/evacuations.md describes"
	case errors.Is(err, registry.ErrNoConfiguration):
		f.Next = "submit a first configuration with --base 0"
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnknown):
		f.Next = "check the address in --platform and whether the object API answers, and try again; nothing was accepted"
	case errors.Is(err, errHostsUnreachable):
		f.Next = "check the addresses in --admin and whether the hosts run"
	}
	return f
}

// reportedError wraps an error of a command that has already written its result.
// The error is then not written as JSON too, so that the output stays one
// document.
type reportedError struct{ error }

// Unwrap returns the cause.
func (e reportedError) Unwrap() error { return e.error }

// errHostsUnreachable means that some hosts did not answer.
var errHostsUnreachable = errors.New("some hosts could not be asked")
