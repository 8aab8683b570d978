package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

func isDead(s wire.State) bool { return s == wire.Dead }

func newFleet(t *testing.T, hosts, dataCentres int, cfg membership.Config) *Fleet {
	t.Helper()
	f, err := NewFleet(hosts, dataCentres, cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// waitFor runs the fleet until the condition holds and returns the time that
// this took. The test fails if the limit passes first.
func waitFor(t *testing.T, f *Fleet, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	took, ok := f.RunUntil(limit, condition)
	if !ok {
		t.Fatalf("%s: not within %v", what, limit)
	}
	return took
}

// TestFleetAgreesAndDetectsDeath starts fleets of three sizes. It checks that the
// views agree and stay so with traffic below the limit and without false alarms,
// and that every host detects the death of one host.
func TestFleetAgreesAndDetectsDeath(t *testing.T) {
	const limit = 3000
	for _, size := range []struct{ hosts, dataCentres int }{{8, 3}, {30, 1}, {120, 4}} {
		f := newFleet(t, size.hosts, size.dataCentres, ProductConfig())
		startTime := waitFor(t, f, time.Minute, "start", f.ViewsAgree)
		r := &measurement{Fleet: f, options: Options{Hosts: size.hosts, QuietDuration: 20 * time.Second}, rng: f.rng}
		r.measureQuietTraffic()
		if !f.ViewsAgree() || r.result.FalseAlarms != 0 || r.result.BytesPerSecondMax >= limit {
			t.Errorf("%d hosts: agree %v, %d false alarms, %.0f bytes a second", size.hosts, f.ViewsAgree(), r.result.FalseAlarms, r.result.BytesPerSecondMax)
		}
		dead := f.Nodes()[2]
		dead.Down = true
		withinDataCentre := waitFor(t, f, agreementTimeout, "death", func() bool {
			matching, total := f.CountObservers(dead.Host.Name, dead.Host.DataCentre, isDead)
			return matching == total
		})
		everywhere := waitFor(t, f, agreementTimeout, "death known in all data centres", f.ViewsAgree)
		t.Logf("%d hosts: agreement after %v, death known in the data centre after %v and everywhere %v later", size.hosts, startTime, withinDataCentre, everywhere)
	}
}
