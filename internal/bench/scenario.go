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

// scenario disturbs a fleet while it is driven.
type scenario func(ctx context.Context, st *stage) error

// scenarios by name.
var scenarios = map[string]scenario{
	"outage":        outage,
	"lost-answers":  lostAnswers,
	"paused-holder": pausedHolder,
	"config-churn":  configChurn,
	"host-churn":    hostChurn,
	"cut":           cut,
}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasScenario reports whether there is a scenario of that name.
func HasScenario(name string) bool { return scenarios[name] != nil }

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

// stage is where a scenario takes place.
type stage struct {
	*measured
	*follower
	duration time.Duration
	// deployment is what the next change declares.
	deployment workload.Deployment
	// notes go into the report.
	notes []string
	// changes counts the submitted configurations.
	changes int
}

// inForceLimit bounds the wait for a version to be in force everywhere.
const inForceLimit = 30 * time.Second

// startScenario runs a scenario beside the load. The function returned waits
// for its end and fills the report with what the routers' statuses showed.
func (m *measured) startScenario(ctx context.Context, run scenario) (finish func()) {
	if run == nil {
		return func() {}
	}
	st := &stage{measured: m, follower: follow(ctx, m.fleet), duration: m.conditions.Duration, deployment: m.options.Deployment}
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, st) }()
	return func() {
		if err := <-ended; err != nil {
			st.notes = append(st.notes, "the scenario was not carried out whole: "+err.Error())
		}
		st.follower.Stop()
		reverted, notes := st.follower.Reverted()
		m.report.ConfigReverted = &reverted
		m.report.Notes = append(m.report.Notes, append(st.notes, notes...)...)
	}
}

// at waits until a part of the run's duration has passed.
func (st *stage) at(ctx context.Context, part float64) error {
	due := st.started.Add(time.Duration(part * float64(st.duration)))
	return st.pause(ctx, time.Until(due))
}

func (st *stage) pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the run was stopped")
	case <-timer.C:
		return nil
	}
}

// tell logs a fault and prints it among the progress.
func (st *stage) tell(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	logevent.BenchFault.Emit(st.options.Log, log.Fields{"fault": what, "after": time.Since(st.started).Round(time.Millisecond).String()})
}

// change submits a configuration that differs from the last, and returns its version.
func (st *stage) change(ctx context.Context) (uint64, error) {
	st.changes++
	c := st.deployment.Configuration()
	first := &c.Organisations[0]
	first.Share += float64(st.changes%2) + 1
	version, err := st.options.Submitter.Submit(ctx, st.fleet.PlatformURL(), c, st.version)
	if err != nil {
		return 0, errors.Wrapf(err, "submitting change %d", st.changes)
	}
	st.version = version
	return version, nil
}

// changeInForce submits a change and measures how long it takes until it is in
// force on every host; the report keeps the longest.
func (st *stage) changeInForce(ctx context.Context) error {
	version, err := st.change(ctx)
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
