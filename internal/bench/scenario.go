package bench

import (
	"context"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// scenario disturbs a fleet while it is driven, until ctx ends, and returns
// what the report should note.
type scenario func(ctx context.Context, m *measured) []string

// scenarios by name.
var scenarios = map[string]scenario{}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// scenarioOf returns nil for no scenario.
func scenarioOf(name string) (scenario, error) {
	if name == "" {
		return nil, nil
	}
	run, known := scenarios[name]
	if !known {
		return nil, errors.Errorf("unknown scenario %q: give one of %s", name, strings.Join(ScenarioNames(), ", "))
	}
	return run, nil
}

// startScenario runs a scenario beside the load; the function returned waits
// for its end.
func (m *measured) startScenario(ctx context.Context, run scenario) (finish func() []string) {
	if run == nil {
		return func() []string { return nil }
	}
	notes := make(chan []string, 1)
	go func() { notes <- run(ctx, m) }()
	return func() []string { return <-notes }
}

// HasScenario reports whether there is a scenario of that name.
func HasScenario(name string) bool { return scenarios[name] != nil }
