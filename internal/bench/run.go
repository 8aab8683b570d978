package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/report"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// measurement is one run in progress.
type measurement struct {
	*session
	report         *report.Report
	capacity       workload.Capacity
	conditions     report.Conditions
	plan           []*workload.Request
	platformBefore fleet.PlatformCallCounts
	usageBefore    fleet.Usage
	bytesBefore    []fleet.ControlBytes
	started        time.Time
}

// Run measures one deployment under one policy. Without a scenario, the run has
// two phases of equal length: first the short prompts alone, then the same
// prompts among all others. A run with a scenario has only the second phase, over
// the whole duration.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	capacity, err := workload.EstimateCapacity(o.Deployment.Engines, o.Engine, workload.DefaultMix())
	if err != nil {
		return nil, err
	}
	run, err := scenarioByName(o.Scenario)
	if err != nil {
		return nil, err
	}
	duration := o.Duration
	if run == nil {
		duration /= 2
	}
	profile := workload.DefaultTrafficProfile(o.Load*capacity.PromptsPerSecond, duration)
	s, err := openSession(ctx, o)
	if err != nil {
		return nil, err
	}
	defer s.close()
	m := &measurement{
		session:  s,
		capacity: capacity,
		plan:     workload.NewPlan(o.Deployment, profile, o.Seed),
		report:   newReport(o, capacity, profile),
		conditions: report.Conditions{
			LinkAllowance: 2 * o.Deployment.ClientDelay,
			Weights:       kindWeights(o.Deployment),
			Capacity:      capacity,
			Duration:      duration,
			KilledHosts:   make(map[string]bool),
		},
	}
	if err := m.measure(ctx, run); err != nil {
		return nil, err
	}
	return m.report, nil
}

func newReport(o Options, c workload.Capacity, profile workload.TrafficProfile) *report.Report {
	return &report.Report{
		Deployment:               o.Deployment.Name,
		Policy:                   o.Policy,
		Scenario:                 o.Scenario,
		Seed:                     o.Seed,
		Seconds:                  o.Duration.Seconds(),
		Load:                     o.Load,
		CapacityPromptsPerSecond: c.PromptsPerSecond,
		CapacityBound:            c.Bottleneck,
		OfferedPromptsPerSecond:  profile.Rate,
		Notes:                    []string{},
	}
}

// kindWeights returns the weight of each request kind of a deployment.
func kindWeights(d workload.Deployment) map[string]float64 {
	all := make(map[string]float64)
	for _, kind := range d.Configuration().Kinds {
		all[kind.Name] = kind.Weight
	}
	return all
}

func (m *measurement) measure(ctx context.Context, run scenario) error {
	if err := m.measureIdle(ctx); err != nil {
		return err
	}
	var baseline []client.Outcome
	if run == nil {
		baseline = m.runPlan(ctx, "shorts alone", workload.Baseline(m.plan))
	}
	if err := m.recordCountersAtStart(ctx); err != nil {
		return err
	}
	finish := m.startScenario(ctx, run)
	outcomes := m.runPlan(ctx, "all prompts", m.plan)
	finish()
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := m.computeRates(ctx); err != nil {
		return err
	}
	all := append(append([]client.Outcome(nil), outcomes...), baseline...)
	m.report.Measure(m.conditions, outcomes)
	m.report.Check(m.conditions, all)
	if run == nil {
		m.report.MeasureBaseline(baseline)
	}
	counts, err := m.waitMemoryFree(ctx)
	if err != nil {
		return err
	}
	checkCounters(m.report, m.options.Deployment, counts, all)
	for _, ended := range m.unexpectedlyEnded(run) {
		m.report.Notes = append(m.report.Notes, "ended during the run: "+ended)
	}
	if late := m.report.DriverDelaySecondsP99; late != nil && *late > maxDriverDelay.Seconds() {
		m.report.Notes = append(m.report.Notes, fmt.Sprintf("the bench itself sent %.3f s late (p99): the machine was too busy, and the times measure it", *late))
	}
	if len(outcomes) < len(m.plan) {
		m.report.Notes = append(m.report.Notes, fmt.Sprintf("%d of %d requests were sent", len(outcomes), len(m.plan)))
	}
	return nil
}

// maxDriverDelay is the largest delay (p99) of the bench's own sending at which
// the measured times are still meaningful.
const maxDriverDelay = 50 * time.Millisecond

// unexpectedlyEnded returns the processes that have ended in a run without a
// scenario. Scenarios end processes on purpose, so for them it returns none.
func (m *measurement) unexpectedlyEnded(run scenario) []string {
	if run != nil {
		return nil
	}
	return m.fleet.EndedProcesses()
}

// idleTime is the time for which the fleet gets no requests, so that the cost of
// control alone can be measured.
const idleTime = 5 * time.Second

// measureIdle measures the processor time of the system's own processes while
// callers send no requests.
func (m *measurement) measureIdle(ctx context.Context) error {
	before := m.fleet.Usage()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleTime):
	}
	m.report.ControlCPUShare = make(map[string]float64)
	for name, share := range m.fleet.Usage().SharesSince(before) {
		if m.fleet.IsSystemProcess(name) {
			m.report.ControlCPUShare[name] = share
		}
	}
	return nil
}

// recordCountersAtStart stores the counters at the start of the measured phase.
func (m *measurement) recordCountersAtStart(ctx context.Context) error {
	var err error
	m.platformBefore, err = m.fleet.ReadPlatformCounts(ctx)
	m.usageBefore = m.fleet.Usage()
	m.bytesBefore = m.fleet.Network.ControlBytes()
	m.started = time.Now()
	return err
}

// computeRates calculates rates from the changes of the counters since
// recordCountersAtStart.
func (m *measurement) computeRates(ctx context.Context) error {
	passed := time.Since(m.started).Seconds()
	after, err := m.fleet.ReadPlatformCounts(ctx)
	if err != nil {
		return err
	}
	m.report.StoreCallsPerSecond = make(map[string]float64)
	for kind, n := range after.Calls {
		m.report.StoreCallsPerSecond[kind] = float64(n-m.platformBefore.Calls[kind]) / passed
	}
	m.report.ProcessCPUShare = m.fleet.Usage().SharesSince(m.usageBefore)
	m.measureControlBytes(passed)
	return nil
}

// measureControlBytes calculates, for each data centre, the mean rate of control
// traffic of its hosts.
func (m *measurement) measureControlBytes(passed float64) {
	m.report.ControlBytesPerSecond = make(map[string]float64)
	m.report.ControlBytesByKind = make(map[string]float64)
	for dcIndex, now := range m.fleet.Network.ControlBytes() {
		hosts := float64(len(m.fleet.HostsOf(dcIndex)))
		peers := float64(now.Peers-m.bytesBefore[dcIndex].Peers) / passed / hosts
		platform := float64(now.Platform-m.bytesBefore[dcIndex].Platform) / passed / hosts
		name := m.options.Deployment.DataCentres[dcIndex] + " mean host"
		m.report.ControlBytesPerSecond[name] = peers + platform
		m.report.ControlBytesByKind[name+", peers"] = peers
		m.report.ControlBytesByKind[name+", platform"] = platform
	}
}
