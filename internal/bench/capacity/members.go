package capacity

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/membership/experiment"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// memberSizes are hosts and data centres.
var memberSizes = [][2]int{{8, 3}, {30, 3}, {120, 8}, {aimNodes, aimDataCentres}}

// memberFigures are of one host, sent and received together.
type memberFigures struct {
	bytes    float64
	messages float64
	core     float64
	state    float64
	// first, detected and everyone are from a death until one host, all of the
	// data centre and all of the system call it so.
	first    time.Duration
	detected time.Duration
	everyone time.Duration
}

// Virtual times of one measurement.
const (
	memberSettle = 15 * time.Second
	memberQuiet  = 5 * time.Second
	deathLimit   = 40 * time.Second
)

// deathHosts is the largest fleet in which a death is simulated: detection is
// the work of one data centre, and takes long to simulate in a large fleet.
const deathHosts = 120

func (r *run) members() error {
	t := r.table("Membership: one host, nothing failing, then one death",
		"hosts", "data centres", "bytes a second", "messages a second", "core with codec", "bytes kept", "death known to the first", "to its data centre", "everywhere")
	for _, s := range memberSizes {
		r.tell(fmt.Sprintf("membership %d hosts", s[0]))
		f, err := measureMembers(s[0], s[1])
		if err != nil {
			return err
		}
		r.figures.members = f
		t.add(count(float64(s[0])), count(float64(s[1])), count(f.bytes), count(f.messages), core(f.core), size(f.state),
			seconds(f.first), seconds(f.detected), seconds(f.everyone))
	}
	return nil
}

func seconds(d time.Duration) string {
	if d == 0 {
		return "not run"
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func measureMembers(hosts, dataCentres int) (memberFigures, error) {
	var m memberFigures
	var f *experiment.Fleet
	_, state, err := heapOf(func() (any, error) {
		var err error
		f, err = experiment.NewFleet(hosts, dataCentres, membership.DefaultConfig(), seed)
		if err != nil {
			return nil, err
		}
		setLoads(f)
		f.Run(memberSettle)
		return f, nil
	})
	if err != nil {
		return m, errors.Wrapf(err, "measure membership of %d hosts", hosts)
	}
	n := float64(hosts)
	m.state = float64(state) / n
	quietFigures(f, &m, n)
	if hosts <= deathHosts {
		deathFigures(f, &m)
	}
	return m, nil
}

func deathFigures(f *experiment.Fleet, m *memberFigures) {
	dead := f.Nodes()[1]
	dead.Down = true
	isDead := func(s wire.State) bool { return s == wire.Dead }
	start := f.Now()
	wait := func(dataCentre string, known func(holds, all int) bool) time.Duration {
		f.RunUntil(deathLimit, func() bool { return known(f.CountObservers(dead.Host.Name, dataCentre, isDead)) })
		return f.Now() - start
	}
	all := func(holds, all int) bool { return holds == all }
	m.first = wait("", func(holds, _ int) bool { return holds > 0 })
	m.detected = wait(dead.Host.DataCentre, all)
	m.everyone = wait("", all)
}

// quietFigures measures traffic and processor time while nothing changes but
// the loads.
func quietFigures(f *experiment.Fleet, m *memberFigures, hosts float64) {
	messages := 0
	f.OnSend = func(*experiment.Node, wire.Message) { messages++ }
	before, start := traffic(f), processorTime()
	for range int(memberQuiet / time.Second) {
		setLoads(f)
		f.Run(time.Second)
	}
	used := processorTime() - start
	f.OnSend = nil
	perHost := 1 / memberQuiet.Seconds() / hosts
	m.bytes = float64(traffic(f)-before) * perHost
	m.messages = 2 * float64(messages) * perHost
	m.core = used.Seconds() * perHost
}

func traffic(f *experiment.Fleet) int {
	sum := 0
	for _, n := range f.Nodes() {
		sum += n.SentBytes + n.ReceivedBytes
	}
	return sum
}

// setLoads gives every host new work on the engines of its data centre.
func setLoads(f *experiment.Fleet) {
	engines := aimServers * len(f.Running()) / aimNodes / dataCentresOf(f)
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

func dataCentresOf(f *experiment.Fleet) int {
	seen := make(map[string]bool)
	for _, n := range f.Nodes() {
		seen[n.Host.DataCentre] = true
	}
	return len(seen)
}
