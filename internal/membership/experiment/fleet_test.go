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

func within(t *testing.T, f *Fleet, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	took, ok := f.RunUntil(limit, condition)
	if !ok {
		t.Fatalf("%s: not within %v", what, limit)
	}
	return took
}

// TestFleetAgreesAndFindsADeath starts fleets, checks that they stay in
// agreement below the traffic limit, and kills one host.
func TestFleetAgreesAndFindsADeath(t *testing.T) {
	const limit = 3000
	for _, size := range []struct{ hosts, dataCentres int }{{8, 3}, {30, 1}, {120, 4}} {
		f := newFleet(t, size.hosts, size.dataCentres, Chosen())
		took := within(t, f, time.Minute, "start", f.Agree)
		r := &run{Fleet: f, o: Options{Hosts: size.hosts, Quiet: 20 * time.Second}, rng: f.rng}
		r.quiet()
		if !f.Agree() || r.result.FalseAlarms != 0 || r.result.BytesMax >= limit {
			t.Errorf("%d hosts: agree %v, %d false alarms, %.0f bytes a second", size.hosts, f.Agree(), r.result.FalseAlarms, r.result.BytesMax)
		}
		dead := f.Nodes()[2]
		dead.Down = true
		inside := within(t, f, settling, "death", func() bool {
			holds, all := f.CountObservers(dead.Host.Name, dead.Host.DataCentre, isDead)
			return holds == all
		})
		everywhere := within(t, f, settling, "death everywhere", f.Agree)
		t.Logf("%d hosts: start %v, death %v, everywhere %v later", size.hosts, took, inside, everywhere)
	}
}
