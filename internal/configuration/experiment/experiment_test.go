package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// Bounds that the result of a run must keep.
const (
	// inForceLimitSmall and inForceLimitLarge are the largest times, in
	// seconds, until a change is in force on all hosts: for fleets of today's
	// size and for the size that the project aims at.
	inForceLimitSmall = 5
	inForceLimitLarge = 15
	// maxStoreCallsPerSecond is the budget for calls to the object API, one in
	// a hundred of the reads per second that the object API can serve.
	maxStoreCallsPerSecond = 20
)

// brokenBounds returns the names of the bounds that a result does not keep.
func brokenBounds(r Result, inForce float64) []string {
	var broken []string
	for name, bad := range map[string]bool{
		"reversions":        r.Reversions > 0,
		"not in force":      r.NotInForce > 0,
		"not ready":         r.NotReady > 0,
		"in force too late": r.InForceSeconds > inForce,
		"store budget":      r.StoreCallsPerSecond > maxStoreCallsPerSecond,
	} {
		if bad {
			broken = append(broken, name)
		}
	}
	return broken
}

// measure carries out and logs one run, and fails the test if the run fails.
func measure(t *testing.T, o Options) Result {
	t.Helper()
	r, err := Measure(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	return r
}

// TestChangesAreInForceWithinLimit runs fleets of several sizes in which hosts
// are replaced. Changes must be in force in time and the object API must not be
// overloaded.
func TestChangesAreInForceWithinLimit(t *testing.T) {
	sizes := []struct {
		hosts   int
		inForce float64
	}{{6, inForceLimitSmall}, {8, inForceLimitSmall}, {30, inForceLimitSmall}, {120, inForceLimitLarge}}
	for _, size := range sizes {
		for seed := range uint64(3) {
			if size.hosts > 30 && seed > 0 {
				continue
			}
			r := measure(t, DefaultOptions(size.hosts, seed))
			if broken := brokenBounds(r, size.inForce); len(broken) > 0 {
				t.Errorf("%d hosts, seed %d: broken bounds: %v", size.hosts, seed, broken)
			}
			if r.Changes == 0 || r.Applied < size.hosts*r.Changes/2 {
				t.Errorf("%d hosts: %d versions put in force for %d changes", size.hosts, r.Applied, r.Changes)
			}
		}
	}
}

// TestChangesSpreadDuringStoreFaults replaces hosts while the object API is
// faulty: it is unavailable to all hosts for half of the run, or to one data
// centre for the whole run, or all watches are silent for a while. All bounds
// must be kept.
func TestChangesSpreadDuringStoreFaults(t *testing.T) {
	outage := DefaultOptions(30, 4)
	outage.OutageFrom, outage.OutageTo = 21*time.Second, 45*time.Second
	cut := DefaultOptions(30, 4)
	cut.CutDataCentres = 1
	silent := DefaultOptions(6, 4)
	silent.SilentFrom, silent.SilentTo = 15*time.Second, 25*time.Second
	for name, o := range map[string]Options{"outage": outage, "cut": cut, "silent": silent} {
		if broken := brokenBounds(measure(t, o), inForceLimitSmall); len(broken) > 0 {
			t.Errorf("%s: broken bounds: %v", name, broken)
		}
	}
}

// TestEqualOptionsGiveEqualResults checks that a run depends only on its
// options.
func TestEqualOptionsGiveEqualResults(t *testing.T) {
	first, second := measure(t, DefaultOptions(12, 7)), measure(t, DefaultOptions(12, 7))
	if first != second {
		t.Errorf("equal options gave different results:\n%v\n%v", first, second)
	}
}

// TestWatchingByEveryHostExceedsStoreBudget shows that the bound on calls
// detects the naive design in which every host watches the object API.
func TestWatchingByEveryHostExceedsStoreBudget(t *testing.T) {
	o := DefaultOptions(120, 0)
	o.Organisations = 100
	o.NewFollower = func(c configuration.Config) Follower {
		c.Watchers = o.Hosts
		return configuration.New(c)
	}
	if r := measure(t, o); r.StoreCallsPerSecond <= maxStoreCallsPerSecond {
		t.Errorf("%.1f calls per second are within the budget, so the bound does not detect the naive design", r.StoreCallsPerSecond)
	}
}

// lastWriteWins is a counter-example to the Tracker: a Follower that puts every
// version in force that a peer reports, even if it is lower than the version in
// force.
type lastWriteWins struct {
	*configuration.Tracker
	current configuration.Snapshot
}

// Snapshot returns the version that was put in force last.
func (l *lastWriteWins) Snapshot() configuration.Snapshot { return l.current }

// Step puts a peer's version in force as soon as it is reported, and otherwise
// does what the Tracker does.
func (l *lastWriteWins) Step(now time.Duration, e configuration.Event) []configuration.Effect {
	if report, ok := e.(configuration.PeerVersion); ok && report.Version > 0 && report.Version != l.current.Version {
		return l.apply(configuration.Snapshot{Version: report.Version, Digest: report.Digest})
	}
	effects := l.Tracker.Step(now, e)
	for _, effect := range effects {
		if _, ok := effect.(configuration.Apply); ok {
			l.current = l.Tracker.Snapshot()
		}
	}
	return effects
}

// apply puts a version in force.
func (l *lastWriteWins) apply(snapshot configuration.Snapshot) []configuration.Effect {
	l.current = snapshot
	return []configuration.Effect{configuration.Apply{Version: snapshot.Version, Digest: snapshot.Digest}}
}

// TestLastWriteWinsCausesReversions shows that the count of reversions detects
// a Follower that goes back to older versions.
func TestLastWriteWinsCausesReversions(t *testing.T) {
	o := DefaultOptions(30, 0)
	o.NewFollower = func(c configuration.Config) Follower { return &lastWriteWins{Tracker: configuration.New(c)} }
	if r := measure(t, o); r.Reversions == 0 {
		t.Error("no reversion was counted for a Follower that goes back to older versions")
	}
}
