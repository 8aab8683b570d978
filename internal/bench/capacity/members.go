package capacity

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/membership/experiment"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// memberSizes are pairs of numbers of hosts and of data centres.
var memberSizes = [][2]int{{8, 3}, {30, 3}, {120, 8}, {targetNodes, targetDataCentres}}

// memberFigures are the measurements of one host; traffic is that sent and
// received together.
type memberFigures struct {
	bytesPerSecond    float64
	messagesPerSecond float64
	coreShare         float64
	stateBytes        float64
	// firstDetection, dataCentreDetection and fullDetection are the times from
	// the death of a host until one host, all hosts of its data centre and all
	// hosts of the system consider it dead.
	firstDetection      time.Duration
	dataCentreDetection time.Duration
	fullDetection       time.Duration
}

// The virtual times of one measurement of membership.
const (
	memberWarmUp      = 15 * time.Second
	memberMeasureTime = 5 * time.Second
	deathLimit        = 40 * time.Second
)

// deathHosts is the largest fleet in which the death of a host is simulated.
// Detection is the work of one data centre, so a larger fleet would show nothing
// new, and its simulation takes long.
const deathHosts = 120

func (r *measurementRun) addMembershipTable() error {
	t := r.newTable("Membership: one host, nothing failing, then one death",
		"hosts", "data centres", "bytes a second", "messages a second", "core with codec", "bytes kept", "death known to the first", "to its data centre", "everywhere")
	for _, s := range memberSizes {
		r.printProgress(fmt.Sprintf("membership %d hosts", s[0]))
		f, err := measureMembers(s[0], s[1])
		if err != nil {
			return err
		}
		r.figures.members = f
		t.add(formatNumber(float64(s[0])), formatNumber(float64(s[1])), formatNumber(f.bytesPerSecond), formatNumber(f.messagesPerSecond), formatCoreShare(f.coreShare), formatBytes(f.stateBytes),
			formatSeconds(f.firstDetection), formatSeconds(f.dataCentreDetection), formatSeconds(f.fullDetection))
	}
	return nil
}

// formatSeconds formats a duration in seconds; 0 means that the measurement was
// not run.
func formatSeconds(d time.Duration) string {
	if d == 0 {
		return "not run"
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func measureMembers(hosts, dataCentres int) (memberFigures, error) {
	var result memberFigures
	var f *experiment.Fleet
	_, state, err := heapGrowth(func() (any, error) {
		var err error
		f, err = experiment.NewFleet(hosts, dataCentres, membership.DefaultConfig(), seed)
		if err != nil {
			return nil, err
		}
		setLoads(f)
		f.Run(memberWarmUp)
		return f, nil
	})
	if err != nil {
		return result, errors.Wrapf(err, "measure membership of %d hosts", hosts)
	}
	n := float64(hosts)
	result.stateBytes = float64(state) / n
	measureSteadyState(f, &result, n)
	if hosts <= deathHosts {
		measureDeath(f, &result)
	}
	return result, nil
}

// measureDeath takes one host down and measures the times until the others
// consider it dead.
func measureDeath(f *experiment.Fleet, m *memberFigures) {
	dead := f.Nodes()[1]
	dead.Down = true
	isDead := func(s wire.State) bool { return s == wire.Dead }
	start := f.Now()
	wait := func(dataCentre string, known func(observers, all int) bool) time.Duration {
		f.RunUntil(deathLimit, func() bool { return known(f.CountObservers(dead.Host.Name, dataCentre, isDead)) })
		return f.Now() - start
	}
	all := func(holds, all int) bool { return holds == all }
	m.firstDetection = wait("", func(holds, _ int) bool { return holds > 0 })
	m.dataCentreDetection = wait(dead.Host.DataCentre, all)
	m.fullDetection = wait("", all)
}

// measureSteadyState measures traffic and processor time while nothing changes except
// the loads.
func measureSteadyState(f *experiment.Fleet, m *memberFigures, hosts float64) {
	messages := 0
	f.OnSend = func(*experiment.Node, wire.Message) { messages++ }
	before, start := totalTraffic(f), processorTime()
	for range int(memberMeasureTime / time.Second) {
		setLoads(f)
		f.Run(time.Second)
	}
	used := processorTime() - start
	f.OnSend = nil
	perHost := 1 / memberMeasureTime.Seconds() / hosts
	m.bytesPerSecond = float64(totalTraffic(f)-before) * perHost
	m.messagesPerSecond = 2 * float64(messages) * perHost
	m.coreShare = used.Seconds() * perHost
}

// totalTraffic returns the bytes that all hosts have sent and received.
func totalTraffic(f *experiment.Fleet) int {
	sum := 0
	for _, n := range f.Nodes() {
		sum += n.SentBytes + n.ReceivedBytes
	}
	return sum
}

// setLoads changes the load that every host reports for the engines of its data
// centre.
func setLoads(f *experiment.Fleet) {
	engines := targetServers * len(f.Running()) / targetNodes / countDataCentres(f)
	now := int(f.Now() / time.Second)
	for i, node := range f.Running() {
		loads := make([]wire.UpstreamLoad, engines)
		for j := range loads {
			n := 1 + (i+j+now)%5
			loads[j] = wire.UpstreamLoad{
				Upstream: fmt.Sprintf("engine-%04d", j), Requests: n, PrefillTokens: 1000 * n, MemoryTokens: 4000 * n,
			}
		}
		f.Step(node, membership.LoadsChanged{Loads: loads})
	}
}

func countDataCentres(f *experiment.Fleet) int {
	seen := make(map[string]bool)
	for _, n := range f.Nodes() {
		seen[n.Host.DataCentre] = true
	}
	return len(seen)
}
