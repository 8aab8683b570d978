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

// terminal writes a command's results.
type terminal struct {
	streams
	json bool
}

// show writes the document in the JSON form, or the lines otherwise.
func (t *terminal) show(document any, lines ...string) error {
	if t.json {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(document), "write the result")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(t.out, line); err != nil {
			return errors.Wrap(err, "write the result")
		}
	}
	return nil
}

// progress tells on the error output what is under way.
func (t *terminal) progress(line string) {
	fmt.Fprintln(t.errOut, line)
}

// failure is a failed command in the JSON form.
type failure struct {
	Error    string       `json:"error"`
	Next     string       `json:"next"`
	ExitCode int          `json:"exit_code"`
	Findings finding.List `json:"findings,omitempty"`
}

// fail writes an error with what to do next and returns the exit code.
func (t *terminal) fail(err error) int {
	f := explain(err)
	var shown shownError
	if t.json && errors.As(err, &shown) {
		return f.ExitCode
	}
	if t.json {
		if shown := t.show(f); shown != nil {
			fmt.Fprintln(t.errOut, shown)
		}
		return f.ExitCode
	}
	fmt.Fprintln(t.errOut, f.Error)
	fmt.Fprintln(t.errOut, "next: "+f.Next)
	return f.ExitCode
}

// notInForceError says that a version is not in force everywhere.
type notInForceError struct{ force operate.Rollout }

// Error tells where the version is behind.
func (e notInForceError) Error() string {
	return "not in force everywhere: " + e.force.String()
}

// explain finds the exit code of an error and what its reader can do.
func explain(err error) failure {
	f := failure{Error: err.Error(), ExitCode: exitFailed, Next: "read the error, and try again"}
	var refused finding.Error
	var conflict *registry.ConflictError
	var unknown *registry.UnknownOutcomeError
	var behind notInForceError
	switch {
	case errors.As(err, &refused):
		f.ExitCode = exitUsage
		f.Findings = refused.Findings
		f.Next = "mend every place named, and run the command again"
	case errors.As(err, &conflict):
		f.ExitCode = exitConflict
		f.Next = fmt.Sprintf("compare with chestnutctl diff, take the other change into yours, and submit with --base %d", conflict.CurrentVersion)
	case errors.As(err, &unknown):
		f.Next = fmt.Sprintf("run chestnutctl status: if version %d shows the nonce %s, the change was accepted; otherwise submit again on the same base",
			unknown.Change.Version, unknown.Change.Nonce)
	case errors.As(err, &behind):
		f.ExitCode = exitNotInForce
		f.Next = "look at the hosts named, in their logs and with chestnutctl dump; chestnutctl status shows whether they have caught up"
	case errors.Is(err, registry.ErrNoConfiguration):
		f.Next = "submit a first configuration with --base 0"
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnknown):
		f.Next = "check the address in --platform and whether the object API answers, and try again; nothing was accepted"
	case errors.Is(err, errHostsNotAsked):
		f.Next = "check the addresses in --admin and whether the hosts run"
	}
	return f
}

// shownError is an error whose result was already written, so that the JSON
// form stays one document.
type shownError struct{ error }

// Unwrap returns the cause.
func (e shownError) Unwrap() error { return e.error }

// errHostsNotAsked says that some hosts did not answer.
var errHostsNotAsked = errors.New("some hosts could not be asked")
