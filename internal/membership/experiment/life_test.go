package experiment

import (
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// atOnce is what "at once" may mean for news within a data centre.
const atOnce = 2 * time.Second

// changes collects effects that match.
func changes[E membership.Effect](f *Fleet, match func(observer string, e E) bool) *int {
	count := new(int)
	f.OnEffect = func(_ time.Duration, observer string, effect membership.Effect) {
		if e, ok := effect.(E); ok && match(observer, e) {
			*count++
		}
	}
	return count
}

// noticesRestart tells whether all peers learn at once that a host's process
// was replaced, the new one having the incarnation given.
func noticesRestart(t *testing.T, incarnation func(old uint64) uint64) bool {
	f := newFleet(t, 8, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	old := f.Nodes()[3].Host
	replaced := changes(f, func(_ string, e membership.IncarnationReplaced) bool {
		return e.Host == old.Name && e.OldIncarnation == old.Incarnation
	})
	cfg := Chosen()
	cfg.Self = old
	cfg.Self.Incarnation = incarnation(old.Incarnation)
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.Listing)
	_, ok := f.RunUntil(atOnce, func() bool { return *replaced == 7 })
	return ok
}

func TestRestartIsNoticedAtOnce(t *testing.T) {
	if !noticesRestart(t, func(old uint64) uint64 { return old + 1 }) {
		t.Errorf("not all peers noticed within %v", atOnce)
	}
}

// TestRestartWithoutIncarnationIsNotNoticed shows that the same check fails
// when a process cannot be told from the one before.
func TestRestartWithoutIncarnationIsNotNoticed(t *testing.T) {
	if noticesRestart(t, func(old uint64) uint64 { return old }) {
		t.Error("noticed")
	}
}

// TestClockSetBack starts a host again with a lower incarnation. It must take
// a higher one than before.
func TestClockSetBack(t *testing.T) {
	f := newFleet(t, 8, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	cfg := Chosen()
	cfg.Self = f.Nodes()[3].Host
	cfg.Self.Incarnation -= 1000
	raised := changes(f, func(observer string, e membership.IncarnationRaised) bool {
		return observer == cfg.Self.Name && e.Incarnation > cfg.Self.Incarnation+1000
	})
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.Listing)
	within(t, f, settling, "agreement on the new incarnation", f.Agree)
	if *raised == 0 {
		t.Error("the host was not told to raise its incarnation")
	}
}

// TestNameTaken runs a second process with a host's name elsewhere. The first
// must give way.
func TestNameTaken(t *testing.T) {
	f := newFleet(t, 8, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	first := f.Nodes()[3]
	superseded := changes(f, func(observer string, e membership.Superseded) bool {
		return observer == first.Host.Name && e.Address == "127.9.9.9:7000"
	})
	cfg := Chosen()
	cfg.Self = first.Host
	cfg.Self.Address = "127.9.9.9:7000"
	cfg.Self.Incarnation++
	node, err := f.Add(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Step(node, f.Listing)
	within(t, f, settling, "the first gives way", func() bool { return *superseded == 1 })
	first.Down = true
	within(t, f, settling, "agreement", f.Agree)
}

// sleep lets a host sleep and wake.
func sleep(f *Fleet, node *Node, d time.Duration) {
	node.Frozen = true
	f.Run(d)
	node.Frozen = false
}

func TestPausedHostIsDeadForOthersAndComesBack(t *testing.T) {
	f := newFleet(t, 8, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	paused := f.Nodes()[3]
	blamed := changes(f, func(observer string, e membership.MemberChanged) bool {
		return observer == paused.Host.Name && e.State != wire.Alive
	})
	paused.Frozen = true
	f.Run(30 * time.Second)
	if holds, all := f.CountObservers(paused.Host.Name, "", isDead); holds != all {
		t.Errorf("the paused host is dead for %d of %d", holds, all)
	}
	paused.Frozen = false
	within(t, f, healing, "agreement after the pause", f.Agree)
	f.Run(settling)
	if *blamed != 0 {
		t.Errorf("the paused host called %d others suspect or dead", *blamed)
	}
}

// killsOnWaking tells whether a host that was paused while it suspected
// another calls that one dead on waking, though it is back meanwhile.
func killsOnWaking(t *testing.T, cfg membership.Config) bool {
	f := newFleet(t, 8, 1, cfg)
	within(t, f, settling, "start", f.Agree)
	suspect, paused := f.Nodes()[2], f.Nodes()[3]
	f.Separated = func(from, to *Node) bool { return from == suspect || to == suspect }
	within(t, f, settling, "suspicion", func() bool { return believed(paused, suspect.Host.Name) == wire.Suspect })
	f.Separated = nil
	killed := changes(f, func(observer string, e membership.MemberChanged) bool {
		return observer == paused.Host.Name && e.Host == suspect.Host.Name && e.State == wire.Dead
	})
	sleep(f, paused, 20*time.Second)
	f.Run(settling)
	return *killed > 0
}

func TestPauseIsNotHeldAgainstASuspect(t *testing.T) {
	if killsOnWaking(t, Chosen()) {
		t.Error("called dead on waking")
	}
}

// TestPauseKillsASuspectWithoutExcuse shows that the same check fails for a
// host that holds its own pause against the others.
func TestPauseKillsASuspectWithoutExcuse(t *testing.T) {
	cfg := Chosen()
	cfg.MaxPause = time.Hour
	if !killsOnWaking(t, cfg) {
		t.Error("not called dead on waking")
	}
}

// falseDeaths counts the live hosts called dead while one message in five is lost.
func falseDeaths(t *testing.T, cfg membership.Config) int {
	f := newFleet(t, 12, 1, cfg)
	f.Loss = 0.2
	within(t, f, settling, "start", f.Agree)
	dead := changes(f, func(_ string, e membership.MemberChanged) bool { return e.State == wire.Dead })
	f.Run(5 * time.Minute)
	return *dead
}

func TestLossKillsNobody(t *testing.T) {
	if n := falseDeaths(t, Chosen()); n != 0 {
		t.Errorf("%d live hosts called dead", n)
	}
}

// TestLossKillsWithoutSuspicion shows that the same check fails when silence
// alone makes a host dead.
func TestLossKillsWithoutSuspicion(t *testing.T) {
	cfg := Chosen()
	cfg.SilenceIntervals = 2
	cfg.ProbeTimeout = time.Millisecond
	cfg.SuspicionTimeout = time.Millisecond
	if n := falseDeaths(t, cfg); n == 0 {
		t.Error("nobody was called dead")
	}
}

// TestLeaveIsKnownAtOnceAndNeverSuspected announces, then stops.
func TestLeaveIsKnownAtOnceAndNeverSuspected(t *testing.T) {
	f := newFleet(t, 12, 3, Chosen())
	within(t, f, settling, "start", f.Agree)
	suspects := changes(f, func(_ string, e membership.MemberChanged) bool { return e.State == wire.Suspect })
	node := f.Nodes()[4]
	f.Step(node, membership.Leave{})
	within(t, f, atOnce, "leaving is known", func() bool {
		holds, all := f.CountObservers(node.Host.Name, "", func(s wire.State) bool { return s == wire.Leaving })
		return holds == all
	})
	f.Run(30 * time.Second)
	f.Step(node, membership.Stop{})
	node.Down = true
	within(t, f, atOnce, "the end is known", f.Agree)
	if *suspects != 0 {
		t.Errorf("%d hosts suspected", *suspects)
	}
}

// TestListIsOneInputAmongOthers lists a host that does not run and leaves out
// one that does.
func TestListIsOneInputAmongOthers(t *testing.T) {
	f := newFleet(t, 6, 1, Chosen())
	within(t, f, settling, "start", f.Agree)
	listing := membership.HostsListed{Hosts: append([]membership.ListedHost{
		{Name: "ghost", DataCentre: "dc-00", Address: "127.8.8.8:7000"},
	}, f.Listing.Hosts[1:]...)}
	for _, node := range f.Running() {
		f.Step(node, listing)
	}
	f.Run(time.Minute)
	if !f.Agree() {
		t.Error("a listed host was taken as alive, or an unlisted one as dead")
	}
}
