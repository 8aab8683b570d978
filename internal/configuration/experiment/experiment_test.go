package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
)

// Bounds that a run must keep.
const (
	// inForceToday and inForceAim are seconds until a change is in force
	// everywhere, at today's size and at the aim's.
	inForceToday = 5
	inForceAim   = 15
	// storeBudget is one in a hundred of the reads a second that the object
	// API takes.
	storeBudget = 20
)

// violations lists the bounds that a result breaks.
func violations(r Result, inForce float64) []string {
	var broken []string
	for name, bad := range map[string]bool{
		"reversions":        r.Reversions > 0,
		"not in force":      r.NotInForce > 0,
		"not ready":         r.NotReady > 0,
		"in force too late": r.InForceSeconds > inForce,
		"store budget":      r.StoreCallsPerSecond > storeBudget,
	} {
		if bad {
			broken = append(broken, name)
		}
	}
	return broken
}

func measure(t *testing.T, o Options) Result {
	t.Helper()
	r, err := Measure(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	return r
}

func TestChangesAreInForceInTime(t *testing.T) {
	sizes := []struct {
		hosts   int
		inForce float64
	}{{6, inForceToday}, {8, inForceToday}, {30, inForceToday}, {120, inForceAim}}
	for _, size := range sizes {
		for seed := range uint64(3) {
			if size.hosts > 30 && seed > 0 {
				continue
			}
			r := measure(t, DefaultOptions(size.hosts, seed))
			if broken := violations(r, size.inForce); len(broken) > 0 {
				t.Errorf("%d hosts, seed %d: %v", size.hosts, seed, broken)
			}
			if r.Changes == 0 || r.Applied < size.hosts*r.Changes/2 {
				t.Errorf("%d hosts: %d versions put in force for %d changes", size.hosts, r.Applied, r.Changes)
			}
		}
	}
}

// TestOutageCutAndSilence takes the object API away from all hosts for half of the
// run, or from one data centre for the whole of it, or makes all watches
// silent, while hosts are replaced.
func TestOutageCutAndSilence(t *testing.T) {
	outage := DefaultOptions(30, 4)
	outage.OutageFrom, outage.OutageTo = 21*time.Second, 45*time.Second
	cut := DefaultOptions(30, 4)
	cut.CutDataCentres = 1
	silent := DefaultOptions(6, 4)
	silent.SilentFrom, silent.SilentTo = 15*time.Second, 25*time.Second
	for name, o := range map[string]Options{"outage": outage, "cut": cut, "silent": silent} {
		if broken := violations(measure(t, o), inForceToday); len(broken) > 0 {
			t.Errorf("%s: %v", name, broken)
		}
	}
}

func TestEqualOptionsGiveEqualResults(t *testing.T) {
	first, second := measure(t, DefaultOptions(12, 7)), measure(t, DefaultOptions(12, 7))
	if first != second {
		t.Errorf("results differ:\n%v\n%v", first, second)
	}
}

// TestEveryHostWatchingBreaksTheBudget is the naive way to follow the object API.
func TestEveryHostWatchingBreaksTheBudget(t *testing.T) {
	o := DefaultOptions(120, 0)
	o.Organisations = 100
	o.New = func(c configuration.Config) Follower {
		c.Watchers = o.Hosts
		return configuration.New(c)
	}
	if r := measure(t, o); r.StoreCallsPerSecond <= storeBudget {
		t.Errorf("%.1f calls a second keep the budget; the check shows nothing", r.StoreCallsPerSecond)
	}
}

// lastWriteWins takes whatever manifest it hears of last, of any version.
type lastWriteWins struct {
	*configuration.Tracker
	holding configuration.Snapshot
}

func (l *lastWriteWins) Snapshot() configuration.Snapshot { return l.holding }

func (l *lastWriteWins) Step(now time.Duration, e configuration.Event) []configuration.Effect {
	if heard, ok := e.(configuration.PeerVersion); ok && heard.Version > 0 && heard.Version != l.holding.Version {
		return l.take(configuration.Snapshot{Version: heard.Version, Digest: heard.Digest})
	}
	effects := l.Tracker.Step(now, e)
	for _, effect := range effects {
		if _, ok := effect.(configuration.Apply); ok {
			l.holding = l.Tracker.Snapshot()
		}
	}
	return effects
}

func (l *lastWriteWins) take(h configuration.Snapshot) []configuration.Effect {
	l.holding = h
	return []configuration.Effect{configuration.Apply{Version: h.Version, Digest: h.Digest}}
}

func TestLastWriteWinsReverts(t *testing.T) {
	o := DefaultOptions(30, 0)
	o.New = func(c configuration.Config) Follower { return &lastWriteWins{Tracker: configuration.New(c)} }
	if r := measure(t, o); r.Reversions == 0 {
		t.Error("no reversion; the check shows nothing")
	}
}
