package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// immediateTimeout is the time within which all hosts must learn a change that
// is sent at once.
const immediateTimeout = 2 * time.Second

// countEffects counts the effects of type E that match from now on. The counter
// that it returns is updated while the fleet runs.
func countEffects[E membership.Effect](f *Fleet, match func(observer string, e E) bool) *int {
	count := new(int)
	f.OnEffect = func(_ time.Duration, observer string, effect membership.Effect) {
		if e, ok := effect.(E); ok && match(observer, e) {
			*count++
		}
	}
	return count
}

// detectsRestart reports whether all peers learn at once that a host's process
// was replaced by one with the given incarnation.
func detectsRestart(t *testing.T, incarnation func(old uint64) uint64) bool {
	f := newFleet(t, 8, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	old := f.Nodes()[3].Host
	replaced := countEffects(f, func(_ string, e membership.IncarnationReplaced) bool {
		return e.Host == old.Name && e.OldIncarnation == old.Incarnation
	})
	cfg := ProductConfig()
	cfg.Self = old
	cfg.Self.Incarnation = incarnation(old.Incarnation)
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.HostList)
	_, ok := f.RunUntil(immediateTimeout, func() bool { return *replaced == 7 })
	return ok
}

func TestRestartIsDetectedImmediately(t *testing.T) {
	if !detectsRestart(t, func(old uint64) uint64 { return old + 1 }) {
		t.Errorf("not all peers detected the restart within %v", immediateTimeout)
	}
}

// TestRestartWithSameIncarnationIsNotDetected shows that the same check fails if
// the new process cannot be distinguished from the one before.
func TestRestartWithSameIncarnationIsNotDetected(t *testing.T) {
	if detectsRestart(t, func(old uint64) uint64 { return old }) {
		t.Error("noticed")
	}
}

// TestRestartWithLowerIncarnationRaisesIncarnation restarts a host with a lower
// incarnation, as after the wall clock was set back. The host must raise its
// incarnation above the earlier one, or the others ignore it.
func TestRestartWithLowerIncarnationRaisesIncarnation(t *testing.T) {
	f := newFleet(t, 8, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	cfg := ProductConfig()
	cfg.Self = f.Nodes()[3].Host
	cfg.Self.Incarnation -= 1000
	raised := countEffects(f, func(observer string, e membership.IncarnationRaised) bool {
		return observer == cfg.Self.Name && e.Incarnation > cfg.Self.Incarnation+1000
	})
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.HostList)
	waitFor(t, f, agreementTimeout, "agreement on the new incarnation", f.ViewsAgree)
	if *raised == 0 {
		t.Error("the host did not raise its incarnation")
	}
}

// TestDuplicateNameSupersedesEarlierProcess starts a second process with the
// name of a running host at another address. The first process must be told to
// stop.
func TestDuplicateNameSupersedesEarlierProcess(t *testing.T) {
	f := newFleet(t, 8, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	first := f.Nodes()[3]
	superseded := countEffects(f, func(observer string, e membership.Superseded) bool {
		return observer == first.Host.Name && e.Address == "127.9.9.9:7000"
	})
	cfg := ProductConfig()
	cfg.Self = first.Host
	cfg.Self.Address = "127.9.9.9:7000"
	cfg.Self.Incarnation++
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.HostList)
	waitFor(t, f, agreementTimeout, "the first process is superseded", func() bool { return *superseded == 1 })
	first.Down = true
	waitFor(t, f, agreementTimeout, "agreement", f.ViewsAgree)
}

// pauseFor pauses a host for a time and then continues it.
func pauseFor(f *Fleet, node *Node, d time.Duration) {
	node.Paused = true
	f.Run(d)
	node.Paused = false
}

// TestPausedHostIsDeclaredDeadAndRejoins pauses a host for 30 s. The others must
// declare it dead and see it as alive again afterwards, and it must not take its
// own pause for a failure of the others.
func TestPausedHostIsDeclaredDeadAndRejoins(t *testing.T) {
	f := newFleet(t, 8, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	paused := f.Nodes()[3]
	falseReports := countEffects(f, func(observer string, e membership.MemberChanged) bool {
		return observer == paused.Host.Name && e.State != wire.Alive
	})
	paused.Paused = true
	f.Run(30 * time.Second)
	if matching, total := f.CountObservers(paused.Host.Name, "", isDead); matching != total {
		t.Errorf("%d of %d hosts see the paused host as dead", matching, total)
	}
	paused.Paused = false
	waitFor(t, f, recoveryTimeout, "agreement after the pause", f.ViewsAgree)
	f.Run(agreementTimeout)
	if *falseReports != 0 {
		t.Errorf("the paused host saw %d times another host as not alive", *falseReports)
	}
}

// declaresDeadAfterPause reports whether a host that was paused while it
// suspected another one declares that one dead after the pause, although the
// suspect has become reachable meanwhile.
func declaresDeadAfterPause(t *testing.T, cfg membership.Config) bool {
	f := newFleet(t, 8, 1, cfg)
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	suspect, paused := f.Nodes()[2], f.Nodes()[3]
	f.Partitioned = func(from, to *Node) bool { return from == suspect || to == suspect }
	waitFor(t, f, agreementTimeout, "suspicion", func() bool { return stateSeenBy(paused, suspect.Host.Name) == wire.Suspect })
	f.Partitioned = nil
	declaredDead := countEffects(f, func(observer string, e membership.MemberChanged) bool {
		return observer == paused.Host.Name && e.Host == suspect.Host.Name && e.State == wire.Dead
	})
	pauseFor(f, paused, 20*time.Second)
	f.Run(agreementTimeout)
	return *declaredDead > 0
}

func TestSuspectSurvivesPauseOfObserver(t *testing.T) {
	if declaresDeadAfterPause(t, ProductConfig()) {
		t.Error("the suspect was declared dead after the pause")
	}
}

// TestSuspectIsDeclaredDeadIfPauseIsNotDetected shows that the same check fails
// for a host that counts its own pause as silence of the others.
func TestSuspectIsDeclaredDeadIfPauseIsNotDetected(t *testing.T) {
	cfg := ProductConfig()
	cfg.MaxPause = time.Hour
	if !declaresDeadAfterPause(t, cfg) {
		t.Error("the suspect was not declared dead after the pause")
	}
}

// countFalseDeaths counts how often a live host is declared dead in five minutes
// while one message in five is lost.
func countFalseDeaths(t *testing.T, cfg membership.Config) int {
	f := newFleet(t, 12, 1, cfg)
	f.LossRate = 0.2
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	dead := countEffects(f, func(_ string, e membership.MemberChanged) bool { return e.State == wire.Dead })
	f.Run(5 * time.Minute)
	return *dead
}

func TestMessageLossCausesNoFalseDeaths(t *testing.T) {
	if n := countFalseDeaths(t, ProductConfig()); n != 0 {
		t.Errorf("live hosts were declared dead %d times", n)
	}
}

// TestMessageLossCausesFalseDeathsWithoutSuspicion shows that the same check
// fails if a host is declared dead for its silence alone, practically without
// probe and suspicion.
func TestMessageLossCausesFalseDeathsWithoutSuspicion(t *testing.T) {
	cfg := ProductConfig()
	cfg.SilenceIntervals = 2
	cfg.ProbeTimeout = time.Millisecond
	cfg.SuspicionTimeout = time.Millisecond
	if n := countFalseDeaths(t, cfg); n == 0 {
		t.Error("no live host was declared dead")
	}
}

// TestLeavingHostIsAnnouncedAndNeverSuspected makes a host leave and stop some
// time later. The others must learn both at once and must suspect no host.
func TestLeavingHostIsAnnouncedAndNeverSuspected(t *testing.T) {
	f := newFleet(t, 12, 3, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	suspects := countEffects(f, func(_ string, e membership.MemberChanged) bool { return e.State == wire.Suspect })
	node := f.Nodes()[4]
	f.Step(node, membership.Leave{})
	waitFor(t, f, immediateTimeout, "departure known to all hosts", func() bool {
		matching, total := f.CountObservers(node.Host.Name, "", func(s wire.State) bool { return s == wire.Leaving })
		return matching == total
	})
	f.Run(30 * time.Second)
	f.Step(node, membership.Stop{})
	node.Down = true
	waitFor(t, f, immediateTimeout, "end known to all hosts", f.ViewsAgree)
	if *suspects != 0 {
		t.Errorf("a host was suspected %d times", *suspects)
	}
}

// TestHostListDoesNotDetermineStates passes a platform list that contains a host
// that does not run and lacks one that does. The list must not change the state
// of either.
func TestHostListDoesNotDetermineStates(t *testing.T) {
	f := newFleet(t, 6, 1, ProductConfig())
	waitFor(t, f, agreementTimeout, "start", f.ViewsAgree)
	hostList := membership.HostsListed{Hosts: append([]membership.ListedHost{
		{Name: "ghost", DataCentre: "dc-00", Address: "127.8.8.8:7000"},
	}, f.HostList.Hosts[1:]...)}
	for _, node := range f.Running() {
		f.Step(node, hostList)
	}
	f.Run(time.Minute)
	if !f.ViewsAgree() {
		t.Error("a host that is only listed is seen as alive, or a host missing from the list as dead")
	}
}
