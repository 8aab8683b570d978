package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// What a server that names a limit may get: within limitWindow, limitRatio times
// what the limit allows, and limitSlack requests, from limitSettling on.
const (
	limitWindow   = 4 * time.Second
	limitRatio    = 1.5
	limitSlack    = 5
	limitSettling = 3 * time.Second
)

// mostWithinWindow returns the largest number of arrivals within limitWindow that
// begins at the given time or later.
func mostWithinWindow(arrivals []time.Duration, from time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first < from {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at < first+limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// limitedFleet describes a simulated fleet in which some servers name a limit from
// a second after the start on.
type limitedFleet struct {
	hosts, servers, limited int
	limit, perSecond        float64
	reportDelay             time.Duration
}

// run plays the fleet under short prompts. It fails the test if a server gets more
// than its limit allows.
func (f limitedFleet) run(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(PolicyPredict, f.hosts, f.servers, seed)
	sim.setReportDelay(f.reportDelay)
	const named, length = time.Second, 10 * time.Second
	sim.generateTraffic(rand.New(rand.NewPCG(seed, 7)), shortRoute, f.perSecond, 4960, 0.9, 300, length)
	sim.schedule(named, func() {
		for i := range f.limited {
			sim.servers[fmt.Sprintf("i-%d", i)].limit = f.limit
		}
	})
	sim.runUntil(length + 8*time.Second)
	for i := range f.limited {
		s := sim.servers[fmt.Sprintf("i-%d", i)]
		most := mostWithinWindow(s.arrivals, named+limitSettling)
		t.Logf("seed %d, %s: at most %d of %.0f allowed within %v", seed, s.id, most, limitRatio*f.limit*limitWindow.Seconds()+limitSlack, limitWindow)
		if float64(most) > limitRatio*f.limit*limitWindow.Seconds()+limitSlack {
			t.Errorf("seed %d: %s got %d requests within %v", seed, s.id, most, limitWindow)
		}
	}
	return sim
}

// TestLimitHoldsForAllHostsTogether guards against hosts that each allow themselves
// the whole limit, and against those that pick the same moment.
func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	t.Parallel()
	for _, f := range []limitedFleet{
		{hosts: 8, servers: 18, limited: 2, limit: 1.9, perSecond: 37, reportDelay: 8 * time.Millisecond},
		{hosts: 8, servers: 18, limited: 6, limit: 0.3, perSecond: 37, reportDelay: 8 * time.Millisecond},
		{hosts: 80, servers: 60, limited: 20, limit: 2, perSecond: 120, reportDelay: manyHostsReportDelay},
	} {
		t.Run(fmt.Sprint(f.hosts, "-", f.limited), func(t *testing.T) {
			sim := f.run(t, 1)
			t.Logf("%.3f in time", sim.inTimeShare("short"))
			if got := sim.inTimeShare("short"); got < 0.9 {
				t.Errorf("%.3f of the requests in time, want at least 0.9", got)
			}
		})
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce guards against callers that wait for
// servers which have all named limits far below the load.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	sim := limitedFleet{hosts: 8, servers: 6, limited: 6, limit: 2, perSecond: 40, reportDelay: 8 * time.Millisecond}.run(t, 1)
	timedOut, refused, delivered := 0, 0, 0
	for _, r := range sim.results {
		switch {
		case r.delivered:
			delivered++
		case r.refused:
			refused++
		default:
			timedOut++
		}
	}
	t.Logf("%d delivered, %d refused, %d timed out", delivered, refused, timedOut)
	if timedOut > 0 || refused == 0 {
		t.Errorf("%d requests timed out, %d refused; want none and some", timedOut, refused)
	}
}

// TestLimitHoldsWhenAllServersNameOne guards against many hosts that all look for
// the few free places of a service whose servers have all named limits.
func TestLimitHoldsWhenAllServersNameOne(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		limitedFleet{hosts: 80, servers: 60, limited: 60, limit: 1, perSecond: 120, reportDelay: manyHostsReportDelay}.run(t, seed)
	}
}

// TestFreePlacesOfLimitedServersAreUsed guards against requests that are refused
// although servers take more than there is, because each host leaves the free
// places to the others.
func TestFreePlacesOfLimitedServersAreUsed(t *testing.T) {
	for _, hosts := range []int{8, 80} {
		sim := limitedFleet{hosts: hosts, servers: 6, limited: 6, limit: 6, perSecond: 20, reportDelay: manyHostsReportDelay}.run(t, 1)
		t.Logf("%d hosts: %.3f in time", hosts, sim.inTimeShare("short"))
		if got := sim.inTimeShare("short"); got < 0.8 {
			t.Errorf("%d hosts: %.3f of the requests in time, want at least 0.8", hosts, got)
		}
	}
}

// TestEndedLimitNoLongerBinds guards against a server that is left out after it
// has stopped naming a limit.
func TestEndedLimitNoLongerBinds(t *testing.T) {
	i := intake{}
	i.setLimit(2, 0)
	if at := i.admitsAt(0); at != 500*time.Millisecond {
		t.Errorf("a server that begins to name a limit takes a request at %v, want 0.5s, since it counts as full", at)
	}
	i.recordStart(time.Second)
	i.recordStart(time.Second)
	if got := i.admitsAt(time.Second); got != 1500*time.Millisecond {
		t.Errorf("admits at %v, want 1.5s, when half a second's worth of the limit and one request are left", got)
	}
	i.setLimit(0, time.Second)
	if at := i.admitsAt(time.Second); at != time.Second {
		t.Errorf("admits at %v without a limit, want at once", at)
	}
}
