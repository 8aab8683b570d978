package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/configuration/registry"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/operate"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// The positional argument of the commands that read a configuration.
const (
	fileArgument = "FILE"
	fileHelp     = "name the configuration's file, or /dev/stdin for the standard input"
)

// commands returns the subcommands in the order in which the help lists them.
func commands() []*command {
	diff, submit, status := &diffSettings{}, &submitSettings{}, &statusSettings{}
	dump, account, evacuations := &hostSettings{}, &hostSettings{}, &hostSettings{}
	return []*command{
		{
			name: "check", help: "Checks a configuration and lists every finding with its place.",
			argument: fileArgument, argumentHelp: fileHelp, target: &noSettings{}, run: runCheck,
		},
		{
			name: "diff", help: "Shows how a configuration differs from the accepted one.",
			argument: fileArgument, argumentHelp: fileHelp, target: diff,
			run: func(ctx context.Context, out *outputWriter, file string) error { return runDiff(ctx, out, diff, file) },
		},
		{
			name: "submit", help: "Submits a configuration on a base version and waits until it is in force in every data centre.",
			argument: fileArgument, argumentHelp: fileHelp, target: submit,
			run: func(ctx context.Context, out *outputWriter, file string) error {
				return runSubmit(ctx, out, submit, file)
			},
		},
		{
			name: "status", help: "Shows the accepted version and what every host has in force.", target: status,
			run: func(ctx context.Context, out *outputWriter, _ string) error { return runStatus(ctx, out, status) },
		},
		{
			name: "dump", help: "Prints the state of every host as JSON.", target: dump,
			run: func(ctx context.Context, out *outputWriter, _ string) error { return runDump(ctx, out, dump) },
		},
		{
			name: "evacuations", help: "Shows which data centres are out of service, since when, and which gateways obey.", target: evacuations,
			run: func(ctx context.Context, out *outputWriter, _ string) error {
				return runEvacuations(ctx, out, evacuations)
			},
		},
		{
			name: "account", help: "Shows the decisions that the hosts took for a request.",
			argument: "REQUEST-ID", argumentHelp: "name the request by its X-Request-Id", target: account,
			run: func(ctx context.Context, out *outputWriter, id string) error {
				return runAccount(ctx, out, account, id)
			},
		},
	}
}

// loadConfiguration reads a configuration from a file and checks it. The error
// lists every finding.
func loadConfiguration(file string) (intent.Configuration, error) {
	f, err := os.Open(file)
	if err != nil {
		return intent.Configuration{}, finding.List{{Place: fileArgument, Problem: err.Error()}}.Err()
	}
	defer f.Close()
	c, err := intent.Parse(f)
	if err != nil {
		return intent.Configuration{}, err
	}
	return c, finding.List(c.Check()).Err()
}

// runCheck checks a configuration and shows the number and the total size of the
// parts in which it would be stored.
func runCheck(_ context.Context, out *outputWriter, file string) error {
	c, err := loadConfiguration(file)
	if err != nil {
		return err
	}
	parts, err := configuration.Split(c)
	if err != nil {
		return err
	}
	bytes := 0
	for _, p := range parts {
		bytes += len(p.Bytes)
	}
	type result struct {
		Accepted bool `json:"accepted"`
		Parts    int  `json:"parts"`
		Bytes    int  `json:"stored_bytes"`
	}
	return out.writeResult(result{true, len(parts), bytes},
		fmt.Sprintf("no findings; it would be stored in %d parts of %d bytes in all", len(parts), bytes))
}

// readAccepted reads the accepted configuration from the object API. If none has
// been accepted yet, it returns an empty one with version 0.
func readAccepted(ctx context.Context, url string) (registry.Accepted, error) {
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: url})
	if err != nil {
		return registry.Accepted{}, err
	}
	defer client.Close()
	a, err := registry.Read(ctx, client)
	if errors.Is(err, registry.ErrNoConfiguration) {
		return registry.Accepted{}, nil
	}
	return a, err
}

// runDiff shows the differences between the accepted configuration and the file.
func runDiff(ctx context.Context, out *outputWriter, s *diffSettings, file string) error {
	c, err := loadConfiguration(file)
	if err != nil {
		return err
	}
	a, err := readAccepted(ctx, s.Platform)
	if err != nil {
		return err
	}
	differences, err := operate.Compare(a.Configuration, c)
	if err != nil {
		return err
	}
	type result struct {
		Base        uint64               `json:"base"`
		Differences []operate.Difference `json:"differences"`
	}
	base := a.Manifest.Change.Version
	lines := []string{fmt.Sprintf("%d differences from version %d; submit with --base %d", len(differences), base, base)}
	for _, d := range differences {
		lines = append(lines, d.String())
	}
	return out.writeResult(result{base, differences}, lines...)
}

// statusResult is the JSON form of the result of status.
type statusResult struct {
	Accepted configuration.Change `json:"accepted"`
	operate.Rollout
	Hosts []operate.HostStatus `json:"hosts"`
}

// runStatus shows the accepted version and what each host has in force. It fails
// if the version is not in force on all hosts of all data centres. Without admin
// addresses it asks no host and does not fail.
func runStatus(ctx context.Context, out *outputWriter, s *statusSettings) error {
	a, err := readAccepted(ctx, s.Platform)
	if err != nil {
		return err
	}
	change := a.Manifest.Change
	if change.Version == 0 {
		return registry.ErrNoConfiguration
	}
	r := statusResult{Accepted: change, Hosts: operate.Admin{Addresses: s.Admin}.Status(ctx)}
	lines := []string{fmt.Sprintf("version %d by %s (%s), nonce %s, is accepted", change.Version, change.Author, change.Note, change.Nonce)}
	if len(s.Admin) == 0 {
		r.Rollout = operate.Rollout{Version: change.Version}
		return out.writeResult(r, append(lines, "no host was asked; name their addresses in --admin")...)
	}
	r.Rollout = operate.EvaluateRollout(change.Version, dataCentreNames(a.Configuration), r.Hosts)
	for _, h := range r.Hosts {
		lines = append(lines, hostLine(h))
	}
	if err := out.writeResult(r, append(lines, r.Rollout.String())...); err != nil {
		return err
	}
	if !r.Everywhere {
		return reportedError{notInForceError{r.Rollout}}
	}
	return nil
}

// hostLine returns the line that shows a host's state, or the error if the host
// could not be asked.
func hostLine(h operate.HostStatus) string {
	if h.Error != "" {
		return fmt.Sprintf("%s: %s", h.Address, h.Error)
	}
	return fmt.Sprintf("%s: %s in %s has version %d, ready %t, draining %t", h.Address, h.Host, h.DataCentre, h.ConfigVersion, h.Ready, h.Draining)
}

// dataCentreNames returns the names of the data centres that a configuration declares.
func dataCentreNames(c intent.Configuration) []string {
	names := make([]string, len(c.DataCentres))
	for i, d := range c.DataCentres {
		names[i] = d.Name
	}
	return names
}

// runDump prints the state of every host, always as JSON. It fails if a host
// could not be asked.
func runDump(ctx context.Context, out *outputWriter, s *hostSettings) error {
	all := operate.Admin{Addresses: s.Admin}.Dump(ctx)
	asJSON := &outputWriter{streams: out.streams, json: true}
	if err := asJSON.writeResult(all); err != nil {
		return err
	}
	var failed []string
	for _, d := range all {
		if d.Error != "" {
			failed = append(failed, d.Address)
		}
	}
	if len(failed) > 0 {
		return reportedError{errors.Wrapf(errHostsUnreachable, "%v", failed)}
	}
	return nil
}

// runAccount shows, in the order of time, the decisions that the hosts took for a
// request. It fails if a host could not be asked or no host knows the request.
func runAccount(ctx context.Context, out *outputWriter, s *hostSettings, id string) error {
	decisions, failed := operate.Admin{Addresses: s.Admin}.Decisions(ctx, id)
	type result struct {
		Request   string               `json:"request"`
		Decisions []operate.Decision   `json:"decisions"`
		Failed    []operate.HostStatus `json:"hosts_not_asked,omitempty"`
	}
	var lines []string
	for _, d := range decisions {
		at := time.UnixMilli(d.AtMillis).UTC().Format("15:04:05.000")
		lines = append(lines, fmt.Sprintf("%s %s: %s %s", at, d.Host, d.Decision, d.Detail))
	}
	if len(decisions) == 0 {
		lines = append(lines, "no host that answered remembers the request; it is older than their memory, or the id is wrong")
	}
	if err := out.writeResult(result{id, decisions, failed}, lines...); err != nil {
		return err
	}
	for _, f := range failed {
		out.writeProgress(f.Error)
	}
	switch {
	case len(failed) > 0:
		return reportedError{errHostsUnreachable}
	case len(decisions) == 0:
		return reportedError{errors.Wrapf(operate.ErrNotKnown, "request %s", id)}
	}
	return nil
}
