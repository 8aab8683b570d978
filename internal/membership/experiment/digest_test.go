package experiment

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// TestConfigVersionReachesAllHostsWithinSeconds passes a configuration version to
// one host and checks that all hosts learn it. Then it passes an older version to
// a host and checks that no host goes back to it, and that a restarted host
// learns the current version.
func TestConfigVersionReachesAllHostsWithinSeconds(t *testing.T) {
	const limit = 5 * time.Second
	f := newFleet(t, 40, 4, ProductConfig())
	waitFor(t, f, 2*agreementTimeout, "start", f.ViewsAgree)
	for version := uint64(1); version <= 3; version++ {
		f.Step(f.Nodes()[version], membership.ConfigurationApplied{Version: version})
		took := waitFor(t, f, limit, "version known to all hosts", func() bool { return lowestVersion(f) == version })
		t.Logf("version %d: known to 40 hosts after %v", version, took)
	}
	f.Step(f.Nodes()[9], membership.ConfigurationApplied{Version: 2})
	f.Run(agreementTimeout)
	if got := lowestVersion(f); got != 3 {
		t.Errorf("a host went back to version %d", got)
	}
	restarted, err := f.Start(20)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, f, limit, "version known to the restarted host", func() bool { return restarted.Core.ConfigVersion() == 3 })
}

// lowestVersion returns the lowest configuration version known to a running node.
func lowestVersion(f *Fleet) uint64 {
	lowest := f.Running()[0].Core.ConfigVersion()
	for _, node := range f.Running() {
		lowest = min(lowest, node.Core.ConfigVersion())
	}
	return lowest
}

// TestLeavingUpstreamIsBroadcastOnce reports a leaving upstream to one host,
// which must send it to all others at once. Then it reports the same to the
// others and checks that they do not broadcast it again.
func TestLeavingUpstreamIsBroadcastOnce(t *testing.T) {
	f := newFleet(t, 30, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	f.Run(agreementTimeout)
	reached := make(map[string]bool)
	f.OnEffect = func(_ time.Duration, observer string, e membership.Effect) {
		if d, ok := e.(membership.DigestReceived); ok && reflect.DeepEqual(d.Leaving, []string{"engine-7"}) {
			reached[observer] = true
		}
	}
	f.Step(f.Nodes()[0], membership.UpstreamsChanged{Leaving: []string{"engine-7"}})
	f.Run(100 * time.Millisecond)
	if len(reached) != 29 {
		t.Errorf("the leaving upstream is known to %d of 29 hosts", len(reached))
	}
	sent := 0
	f.OnSend = func(*Node, wire.Message) { sent++ }
	for _, node := range f.Nodes()[1:] {
		f.Step(node, membership.UpstreamsChanged{Leaving: []string{"engine-7"}})
	}
	if sent != 0 {
		t.Errorf("%d messages sent for an upstream that is known to be leaving", sent)
	}
}

// loadKey identifies the load of a host on an upstream as an observer received it.
type loadKey struct{ observer, host, upstream string }

// TestLoadsReachDataCentreDespiteMessageLoss changes the loads of all hosts for a
// while with message loss. Then it checks that every peer has received the last
// loads, and that no host of another data centre has received any.
func TestLoadsReachDataCentreDespiteMessageLoss(t *testing.T) {
	f := newFleet(t, 8, 2, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	f.LossRate = 0.2
	received := make(map[loadKey]wire.UpstreamLoad)
	f.OnEffect = func(_ time.Duration, observer string, e membership.Effect) {
		d, ok := e.(membership.DigestReceived)
		if !ok {
			return
		}
		for _, l := range d.Loads {
			received[loadKey{observer, d.Host, l.Upstream}] = l
		}
	}
	lastLoads := make(map[string][]wire.UpstreamLoad)
	r := &measurement{Fleet: f, options: Options{UpstreamsPerDataCentre: 12, RequestsPerHost: 9}, rng: f.rng}
	for range 10 {
		for _, node := range f.Running() {
			lastLoads[node.Host.Name] = r.drawLoads()
			f.Step(node, membership.LoadsChanged{Loads: lastLoads[node.Host.Name]})
		}
		f.Run(time.Second)
	}
	f.Run(2 * time.Minute)
	for _, observer := range f.Running() {
		for _, sender := range f.Running() {
			if observer != sender {
				compareLoads(t, received, observer.Host, sender.Host, lastLoads[sender.Host.Name])
			}
		}
	}
}

// compareLoads compares the loads that an observer has received from a sender
// with those that it should have received. Between data centres it should have
// received none.
func compareLoads(t *testing.T, received map[loadKey]wire.UpstreamLoad, observer, sender membership.Host, loads []wire.UpstreamLoad) {
	t.Helper()
	for _, want := range loads {
		if observer.DataCentre != sender.DataCentre || want.Requests == 0 {
			want = wire.UpstreamLoad{}
		}
		got := received[loadKey{observer.Name, sender.Name, want.Upstream}]
		if got.Requests != want.Requests || got.PrefillTokens != want.PrefillTokens {
			t.Errorf("%s has %+v of %s, want %+v", observer.Name, got, sender.Name, want)
		}
	}
}

// TestTrafficStaysBelowLimit checks that the traffic in a data centre with 30
// hosts and many changing loads stays below 3000 bytes a second per host, and
// that this check fails for heartbeats at a fixed interval.
func TestTrafficStaysBelowLimit(t *testing.T) {
	const limit = 3000
	for _, c := range []struct {
		policy membership.Config
		below  bool
	}{{ProductConfig(), true}, {FixedIntervalConfig(), false}} {
		f := newFleet(t, 30, 1, c.policy)
		r := &measurement{Fleet: f, options: Options{Hosts: 30, UpstreamsPerDataCentre: 60, RequestsPerHost: 100, QuietDuration: 20 * time.Second}, rng: f.rng}
		r.scheduleAfter(0, r.changeLoads)
		waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
		r.measureQuietTraffic()
		t.Logf("mean %.0f, max %.0f bytes a second", r.result.BytesPerSecondMean, r.result.BytesPerSecondMax)
		if below := r.result.BytesPerSecondMax < limit; below != c.below {
			t.Errorf("below %d bytes a second: got %v, want %v", limit, below, c.below)
		}
		if r.result.FalseAlarms != 0 {
			t.Errorf("%d false alarms", r.result.FalseAlarms)
		}
	}
}

// TestSameSeedGivesSameEffects checks that two runs with message loss and the
// same seed have the same effects and messages at the same times.
func TestSameSeedGivesSameEffects(t *testing.T) {
	if first, second := recordTrace(t), recordTrace(t); !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ: %d and %d effects", len(first), len(second))
	}
}

// recordTrace runs a fleet in which one host dies, and returns all effects and
// messages as text.
func recordTrace(t *testing.T) []string {
	f := newFleet(t, 9, 3, ProductConfig())
	f.LossRate = 0.1
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

// TestLongUpstreamListsKeepTrafficBelowLimit reports a hundred leaving upstreams
// to all hosts and checks that the traffic stays below 3000 bytes a second per
// host, since the lists are limited and not repeated in every heartbeat.
func TestLongUpstreamListsKeepTrafficBelowLimit(t *testing.T) {
	const limit = 3000
	f := newFleet(t, 30, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("engine-%03d", i))
	}
	for _, node := range f.Running() {
		f.Step(node, membership.UpstreamsChanged{Leaving: names})
	}
	r := &measurement{Fleet: f, options: Options{Hosts: 30, QuietDuration: 25 * time.Second}, rng: f.rng}
	r.measureQuietTraffic()
	t.Logf("mean %.0f, max %.0f bytes a second", r.result.BytesPerSecondMean, r.result.BytesPerSecondMax)
	if r.result.BytesPerSecondMax >= limit {
		t.Errorf("%.0f bytes a second, want less than %d", r.result.BytesPerSecondMax, limit)
	}
}
