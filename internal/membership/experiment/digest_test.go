package experiment

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// TestVersionIsKnownEverywhereWithinSeconds tells one host of a configuration
// version, then cuts that host off, and checks that no host goes back.
func TestVersionIsKnownEverywhereWithinSeconds(t *testing.T) {
	const target = 5 * time.Second
	f := newFleet(t, 40, 4, Chosen())
	within(t, f, 2*settling, "start", f.Agree)
	for version := uint64(1); version <= 3; version++ {
		f.Step(f.Nodes()[version], membership.ConfigurationApplied{Version: version})
		took := within(t, f, target, "version known", func() bool { return lowestVersion(f) == version })
		t.Logf("version %d: known to 40 hosts after %v", version, took)
	}
	f.Step(f.Nodes()[9], membership.ConfigurationApplied{Version: 2})
	f.Run(settling)
	if got := lowestVersion(f); got != 3 {
		t.Errorf("went back to version %d", got)
	}
	fresh, err := f.Start(20)
	if err != nil {
		t.Fatal(err)
	}
	within(t, f, target, "a fresh host learns the version", func() bool { return fresh.Core.ConfigVersion() == 3 })
}

func lowestVersion(f *Fleet) uint64 {
	lowest := f.Running()[0].Core.ConfigVersion()
	for _, node := range f.Running() {
		lowest = min(lowest, node.Core.ConfigVersion())
	}
	return lowest
}

// TestLeavingUpstreamIsToldAtOnce shows one host the sign, then all others,
// and checks that the others do not broadcast it again.
func TestLeavingUpstreamIsToldAtOnce(t *testing.T) {
	f := newFleet(t, 30, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	f.Run(settling)
	told := make(map[string]bool)
	f.OnEffect = func(_ time.Duration, observer string, e membership.Effect) {
		if d, ok := e.(membership.DigestReceived); ok && reflect.DeepEqual(d.Leaving, []string{"engine-7"}) {
			told[observer] = true
		}
	}
	f.Step(f.Nodes()[0], membership.UpstreamsChanged{Leaving: []string{"engine-7"}})
	f.Run(100 * time.Millisecond)
	if len(told) != 29 {
		t.Errorf("told to %d of 29 hosts", len(told))
	}
	sent := 0
	f.OnSend = func(*Node, wire.Message) { sent++ }
	for _, node := range f.Nodes()[1:] {
		f.Step(node, membership.UpstreamsChanged{Leaving: []string{"engine-7"}})
	}
	if sent != 0 {
		t.Errorf("%d messages sent for a sign that is known", sent)
	}
}

type loadKey struct{ observer, host, upstream string }

// TestLoadsReachTheDataCentreDespiteLoss changes loads for a while, then
// checks that every peer has the last ones, and no other data centre any.
func TestLoadsReachTheDataCentreDespiteLoss(t *testing.T) {
	f := newFleet(t, 8, 2, Chosen())
	within(t, f, settling, "start", f.Agree)
	f.Loss = 0.2
	seen := make(map[loadKey]wire.UpstreamLoad)
	f.OnEffect = func(_ time.Duration, observer string, e membership.Effect) {
		d, ok := e.(membership.DigestReceived)
		if !ok {
			return
		}
		for _, l := range d.Loads {
			seen[loadKey{observer, d.Host, l.Upstream}] = l
		}
	}
	last := make(map[string][]wire.UpstreamLoad)
	r := &run{Fleet: f, o: Options{Upstreams: 12, InFlight: 9}, rng: f.rng}
	for range 10 {
		for _, node := range f.Running() {
			last[node.Host.Name] = r.loads()
			f.Step(node, membership.LoadsChanged{Loads: last[node.Host.Name]})
		}
		f.Run(time.Second)
	}
	f.Run(2 * time.Minute)
	for _, observer := range f.Running() {
		for _, sender := range f.Running() {
			if observer != sender {
				compareLoads(t, seen, observer.Host, sender.Host, last[sender.Host.Name])
			}
		}
	}
}

func compareLoads(t *testing.T, seen map[loadKey]wire.UpstreamLoad, observer, sender membership.Host, loads []wire.UpstreamLoad) {
	t.Helper()
	for _, want := range loads {
		if observer.DataCentre != sender.DataCentre || want.Requests == 0 {
			want = wire.UpstreamLoad{}
		}
		got := seen[loadKey{observer.Name, sender.Name, want.Upstream}]
		if got.Requests != want.Requests || got.PrefillTokens != want.PrefillTokens {
			t.Errorf("%s has %+v of %s, want %+v", observer.Name, got, sender.Name, want)
		}
	}
}

// TestTrafficStaysBelowTheLimit loads a data centre with as many hosts as the aim.
func TestTrafficStaysBelowTheLimit(t *testing.T) {
	const limit = 3000
	for _, c := range []struct {
		policy membership.Config
		below  bool
	}{{Chosen(), true}, {Fixed(), false}} {
		f := newFleet(t, 30, 1, c.policy)
		r := &run{Fleet: f, o: Options{Hosts: 30, Upstreams: 60, InFlight: 100, Quiet: 20 * time.Second}, rng: f.rng}
		r.after(0, r.changeLoads)
		within(t, f, settling, "start", f.Agree)
		r.quiet()
		t.Logf("mean %.0f, max %.0f bytes a second", r.result.BytesMean, r.result.BytesMax)
		if below := r.result.BytesMax < limit; below != c.below {
			t.Errorf("below %d bytes a second: got %v, want %v", limit, below, c.below)
		}
		if r.result.FalseAlarms != 0 {
			t.Errorf("%d false alarms", r.result.FalseAlarms)
		}
	}
}

// TestSameSeedSameRun compares all effects of two runs with loss.
func TestSameSeedSameRun(t *testing.T) {
	if first, second := trace(t), trace(t); !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ: %d and %d effects", len(first), len(second))
	}
}

func trace(t *testing.T) []string {
	f := newFleet(t, 9, 3, Chosen())
	f.Loss = 0.1
	var log []string
	f.OnEffect = func(now time.Duration, host string, e membership.Effect) {
		log = append(log, fmt.Sprintf("%v %s %+v", now, host, e))
	}
	f.OnSend = func(from *Node, m wire.Message) {
		log = append(log, fmt.Sprintf("%v %s %+v", f.Now(), from.Host.Name, m))
	}
	f.Run(20 * time.Second)
	f.Nodes()[4].Down = true
	f.Run(20 * time.Second)
	return log
}

// TestLongListsAreNotRepeated shows a hundred leaving upstreams to all hosts.
func TestLongListsAreNotRepeated(t *testing.T) {
	const limit = 3000
	f := newFleet(t, 30, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("engine-%03d", i))
	}
	for _, node := range f.Running() {
		f.Step(node, membership.UpstreamsChanged{Leaving: names})
	}
	r := &run{Fleet: f, o: Options{Hosts: 30, Quiet: 25 * time.Second}, rng: f.rng}
	r.quiet()
	t.Logf("mean %.0f, max %.0f bytes a second", r.result.BytesMean, r.result.BytesMax)
	if r.result.BytesMax >= limit {
		t.Errorf("%.0f bytes a second, want less than %d", r.result.BytesMax, limit)
	}
}
