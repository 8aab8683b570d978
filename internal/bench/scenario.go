package bench

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/logevent"
)

// scenario injects faults into a fleet while requests are sent to it.
type scenario func(ctx context.Context, st *scenarioRun) error

// scenarios holds the scenarios by their names on the command line.
var scenarios = map[string]scenario{
	"outage":        platformOutage,
	"lost-answers":  lostAnswers,
	"paused-holder": pauseLeaseHolders,
	"config-churn":  configChurn,
	"host-churn":    hostChurn,
	"cut":           cutDataCentre,
}

// ScenarioNames returns the names of the scenarios in alphabetical order.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasScenario reports whether there is a scenario with the given name.
func HasScenario(name string) bool { return scenarios[name] != nil }

// scenarioByName returns the scenario with the given name, or nil for an empty
// name.
func scenarioByName(name string) (scenario, error) {
	if name == "" {
		return nil, nil
	}
	run, known := scenarios[name]
	if !known {
		return nil, errors.Errorf("unknown scenario %q: give one of %s", name, strings.Join(ScenarioNames(), ", "))
	}
	return run, nil
}

// scenarioRun is the state of one scenario while it runs against a fleet.
type scenarioRun struct {
	*measurement
	*versionWatcher
	duration time.Duration
	// deployment is the deployment that the next change declares.
	deployment workload.Deployment
	// notes are added to the report at the end.
	notes []string
	// changes is the number of changes submitted so far.
	changes int
}

// inForceLimit is the longest wait for a version to be in force everywhere.
const inForceLimit = 30 * time.Second

// startScenario runs a scenario concurrently with the load. The returned function
// waits until the scenario has ended and fills the report with what the statuses
// of the routers showed.
func (m *measurement) startScenario(ctx context.Context, run scenario) (finish func()) {
	if run == nil {
		return func() {}
	}
	st := &scenarioRun{measurement: m, versionWatcher: watchVersions(ctx, m.fleet), duration: m.conditions.Duration, deployment: m.options.Deployment}
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, st) }()
	return func() {
		if err := <-ended; err != nil {
			st.notes = append(st.notes, "the scenario was not carried out whole: "+err.Error())
		}
		st.versionWatcher.Stop()
		reverted, notes := st.versionWatcher.Reverted()
		m.report.ConfigReverted = &reverted
		m.report.Notes = append(m.report.Notes, append(st.notes, notes...)...)
	}
}

// waitUntilShare waits until the given share of the run's duration has passed.
func (st *scenarioRun) waitUntilShare(ctx context.Context, share float64) error {
	due := st.started.Add(time.Duration(share * float64(st.duration)))
	return st.sleep(ctx, time.Until(due))
}

// sleep waits for a duration, or returns an error if ctx ends first.
func (st *scenarioRun) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the run was stopped")
	case <-timer.C:
		return nil
	}
}

// logFault emits a log event about a fault, with the time since the start of the
// run.
func (st *scenarioRun) logFault(format string, args ...any) {
	description := fmt.Sprintf(format, args...)
	logevent.BenchFault.Emit(st.options.Log, log.Fields{"fault": description, "after": time.Since(st.started).Round(time.Millisecond).String()})
}

// submitChange submits a configuration that differs from the last one, and
// returns its version.
func (st *scenarioRun) submitChange(ctx context.Context) (uint64, error) {
	st.changes++
	c := st.deployment.Configuration()
	organisation := &c.Organisations[0]
	organisation.Share += float64(st.changes%2) + 1
	version, err := st.options.Submitter.Submit(ctx, st.fleet.PlatformURL(), c, st.version)
	if err != nil {
		return 0, errors.Wrapf(err, "submitting change %d", st.changes)
	}
	st.version = version
	return version, nil
}

// measureChange submits a change and measures the time until it is in force on
// every host. The report keeps the longest time.
func (st *scenarioRun) measureChange(ctx context.Context) error {
	version, err := st.submitChange(ctx)
	if err != nil {
		return err
	}
	accepted := time.Now()
	waiting, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	if err := st.waitVersion(waiting, version); err != nil {
		st.notes = append(st.notes, err.Error())
	}
	took := time.Since(accepted).Seconds()
	if st.report.ConfigInForceSeconds == nil || took > *st.report.ConfigInForceSeconds {
		st.report.ConfigInForceSeconds = &took
	}
	return nil
}
