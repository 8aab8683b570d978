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

// measured is one run under way.
type measured struct {
	*session
	report     *report.Report
	capacity   workload.Capacity
	conditions report.Conditions
	plan       []*workload.Request
	before     fleet.PlatformCallCounts
	usage      fleet.Usage
	bytes      []fleet.ControlBytes
	started    time.Time
}

// Run measures one deployment under one policy. Without a scenario it has two
// phases of equal length: the short prompts alone, then the same ones among
// all others. A scenario has the second phase only, over the whole time.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	capacity, err := workload.EstimateCapacity(o.Deployment.Engines, o.Engine, workload.DefaultMix())
	if err != nil {
		return nil, err
	}
	run, err := scenarioOf(o.Scenario)
	if err != nil {
		return nil, err
	}
	duration := o.Duration
	if run == nil {
		duration /= 2
	}
	shape := workload.DefaultTrafficProfile(o.Load*capacity.PromptsPerSecond, duration)
	s, err := open(ctx, o)
	if err != nil {
		return nil, err
	}
	defer s.close()
	m := &measured{
		session:  s,
		capacity: capacity,
		plan:     workload.NewPlan(o.Deployment, shape, o.Seed),
		report:   newReport(o, capacity, shape),
		conditions: report.Conditions{
			LinkAllowance: 2 * o.Deployment.ClientDelay,
			Weights:       weights(o.Deployment),
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

func newReport(o Options, c workload.Capacity, shape workload.TrafficProfile) *report.Report {
	return &report.Report{
		Deployment:               o.Deployment.Name,
		Policy:                   o.Policy,
		Scenario:                 o.Scenario,
		Seed:                     o.Seed,
		Seconds:                  o.Duration.Seconds(),
		Load:                     o.Load,
		CapacityPromptsPerSecond: c.PromptsPerSecond,
		CapacityBound:            c.Bottleneck,
		OfferedPromptsPerSecond:  shape.Rate,
		Notes:                    []string{},
	}
}

func weights(d workload.Deployment) map[string]float64 {
	all := make(map[string]float64)
	for _, kind := range d.Configuration().Kinds {
		all[kind.Name] = kind.Weight
	}
	return all
}

func (m *measured) measure(ctx context.Context, run scenario) error {
	if err := m.measureIdle(ctx); err != nil {
		return err
	}
	var baseline []client.Outcome
	if run == nil {
		baseline = m.drive(ctx, "shorts alone", workload.Baseline(m.plan))
	}
	if err := m.begin(ctx); err != nil {
		return err
	}
	finish := m.startScenario(ctx, run)
	outcomes := m.drive(ctx, "all prompts", m.plan)
	finish()
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := m.end(ctx); err != nil {
		return err
	}
	all := append(append([]client.Outcome(nil), outcomes...), baseline...)
	m.report.Measure(m.conditions, outcomes)
	m.report.Check(m.conditions, all)
	if run == nil {
		m.report.MeasureBaseline(baseline)
	}
	counts, err := m.settle(ctx)
	if err != nil {
		return err
	}
	checkCounters(m.report, m.options.Deployment, counts, all)
	for _, dead := range m.unexpectedlyDead(run) {
		m.report.Notes = append(m.report.Notes, "ended during the run: "+dead)
	}
	if late := m.report.DriverDelaySecondsP99; late != nil && *late > driverLate.Seconds() {
		m.report.Notes = append(m.report.Notes, fmt.Sprintf("the bench itself sent %.3f s late (p99): the machine was too busy, and the times measure it", *late))
	}
	if len(outcomes) < len(m.plan) {
		m.report.Notes = append(m.report.Notes, fmt.Sprintf("%d of %d requests were sent", len(outcomes), len(m.plan)))
	}
	return nil
}

// driverLate is how late the bench may send for the times to be worth anything.
const driverLate = 50 * time.Millisecond

func (m *measured) unexpectedlyDead(run scenario) []string {
	if run != nil {
		return nil
	}
	return m.fleet.EndedProcesses()
}

// idleTime is how long the fleet is left without requests, to see what control
// alone costs.
const idleTime = 5 * time.Second

// measureIdle measures the processor time of the system's own processes while
// no caller asks anything.
func (m *measured) measureIdle(ctx context.Context) error {
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

// begin notes the counters before the measured phase.
func (m *measured) begin(ctx context.Context) error {
	var err error
	m.before, err = m.fleet.ReadPlatformCounts(ctx)
	m.usage = m.fleet.Usage()
	m.bytes = m.fleet.Network.ControlBytes()
	m.started = time.Now()
	return err
}

// end turns the counters since begin into rates.
func (m *measured) end(ctx context.Context) error {
	passed := time.Since(m.started).Seconds()
	after, err := m.fleet.ReadPlatformCounts(ctx)
	if err != nil {
		return err
	}
	m.report.StoreCallsPerSecond = make(map[string]float64)
	for kind, n := range after.Calls {
		m.report.StoreCallsPerSecond[kind] = float64(n-m.before.Calls[kind]) / passed
	}
	m.report.ProcessCPUShare = m.fleet.Usage().SharesSince(m.usage)
	m.measureControlBytes(passed)
	return nil
}

// measureControlBytes takes the mean of the hosts of each data centre.
func (m *measured) measureControlBytes(passed float64) {
	m.report.ControlBytesPerSecond = make(map[string]float64)
	m.report.ControlBytesByKind = make(map[string]float64)
	for place, now := range m.fleet.Network.ControlBytes() {
		hosts := float64(len(m.fleet.HostsOf(place)))
		peers := float64(now.Peers-m.bytes[place].Peers) / passed / hosts
		platform := float64(now.Platform-m.bytes[place].Platform) / passed / hosts
		name := m.options.Deployment.DataCentres[place] + " mean host"
		m.report.ControlBytesPerSecond[name] = peers + platform
		m.report.ControlBytesByKind[name+", peers"] = peers
		m.report.ControlBytesByKind[name+", platform"] = platform
	}
}
