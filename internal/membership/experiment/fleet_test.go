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

func TestFleetAgreesAfterJoin(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{8, 3}, {30, 1}, {120, 4}} {
		f := newFleet(t, size.hosts, size.dataCentres, membership.DefaultConfig())
		took := within(t, f, 60*time.Second, "join", f.Agree)
		t.Logf("%d hosts: agreed after %v", size.hosts, took)
		for _, n := range f.Nodes() {
			n.Sent, n.Received = 0, 0
		}
		f.Run(60 * time.Second)
		most, sum := 0, 0
		for _, n := range f.Nodes() {
			most = max(most, n.Sent+n.Received)
			sum += n.Sent + n.Received
		}
		t.Logf("bytes/s mean %d max %d", sum/60/size.hosts, most/60)
		if !f.Agree() {
			t.Error("no longer agree")
		}
		f.Nodes()[2].Down = true
		own := within(t, f, 60*time.Second, "death", func() bool {
			holds, all := f.Shown("host-002", f.Nodes()[2].Host.DataCentre, isDead)
			return holds == all
		})
		all := within(t, f, 60*time.Second, "death everywhere", f.Agree)
		t.Logf("detected after %v, everywhere %v later", own, all)
	}
}
