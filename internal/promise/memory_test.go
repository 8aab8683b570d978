package promise

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/probe"
)

// farLimit is a time limit that no test waits for.
const farLimit = 120 * time.Second

// deathNoticed bounds the time until the peers of a dead host have cancelled
// its work: the silence that makes it suspect, the suspicion, and the sweep
// with its cancel, doubled for a busy machine.
func deathNoticed() time.Duration {
	m := membership.DefaultConfig()
	silence := time.Duration(m.SilenceIntervals) * m.HeartbeatInterval
	return 2 * (silence + m.ProbeTimeout + m.SuspicionTimeout + dispatch.DefaultConfig().CancelRetryMax)
}

// load sends long and short prompts whose limits are far, and waits until
// engines work on them.
func (w *world) load(ctx context.Context, f *flight, h fleet.Host) {
	before := started(w.counts())
	w.launch(ctx, f, h, w.prompt(700_000, 512, farLimit))
	for range 4 {
		w.launch(ctx, f, h, w.prompt(2000, 4000, farLimit))
	}
	w.underWay(before, 5)
}

func (w *world) memoryReturns(what string, limit time.Duration) {
	w.t.Helper()
	var held int64
	begun := time.Now()
	defer func() { w.t.Logf("%s: looked at for %s", what, time.Since(begun).Round(poll)) }()
	if !w.holds(limit, func() bool { held = w.counts().MemoryHeld(); return held == 0 }) {
		w.t.Errorf("%s: %d tokens of memory are held after %s", what, held, limit)
	}
}

func TestMemoryOfADeadHostReturns(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f flight
	w.load(w.ctx, &f, w.host(0, 0))
	must(t, fleet.Kill(w.router(w.host(0, 0))))
	f.land()
	w.memoryReturns("host killed and not replaced", deathNoticed())
}

// TestMemoryOfADeadHostReturnsThroughFaults adds lost cancels and silent
// connections to the death of the host.
func TestMemoryOfADeadHostReturnsThroughFaults(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f flight
	w.load(w.ctx, &f, w.host(0, 0))
	w.faultAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: 4, Path: engine.PathCancel})
	w.silence()
	must(t, fleet.Kill(w.router(w.host(0, 0))))
	f.land()
	w.memoryReturns("host killed, cancels lost, connections silent", deathNoticed())
}

// TestMemoryOfUnknownOwnersReturns reserves memory as a host would that died
// before any other heard of it, so that only the deadline tells.
func TestMemoryOfUnknownOwnersReturns(t *testing.T) {
	const lives = 3 * time.Second
	w := start(t, shape{dataCentres: 1, engines: 2, hosts: 2, policy: policyDefault})
	engines := engine.NewHTTPClient(httpcall.DefaultConfig())
	defer engines.Close()
	deadline := time.Now().Add(lives)
	for n := range 10 {
		u := w.upstream(roleEngine, 0, n%2)
		must(t, engines.Reserve(w.ctx, u.Address, engine.Reservation{
			Work:  engine.WorkID{Request: fmt.Sprintf("unknown-%d", n), Attempt: 1},
			Owner: engine.Owner{Host: "unknown", Incarnation: 1}, Tokens: 1000, Deadline: deadline,
		}))
	}
	if w.counts().MemoryHeld() == 0 {
		t.Fatal("nothing was reserved")
	}
	w.faultAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: 3, Path: engine.PathCancel})
	d := dispatch.DefaultConfig()
	hosts := time.Duration(len(w.fleet.Hosts))
	sweeps := hosts * probe.DefaultConfig().WorkListInterval
	w.memoryReturns("deadline passed", time.Until(deadline)+d.OverdueGrace+2*(sweeps+d.CancelRetryMax)+2*time.Second)
}

// TestMemoryReturnsAfterAllHostsDied kills every host of the data centre; the
// first one that is back gives back what its earlier process held.
func TestMemoryReturnsAfterAllHostsDied(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f flight
	w.load(w.ctx, &f, w.host(0, 0))
	for _, h := range w.fleet.Hosts {
		must(t, fleet.Kill(w.router(h)))
	}
	f.land()
	w.router(w.host(0, 0)).Wait(time.Second)
	must(t, w.fleet.StartRouter(w.host(0, 0)))
	must(t, w.fleet.WaitRouterReady(w.ctx, w.host(0, 0)))
	w.memoryReturns("one host is back", deathNoticed())
}

// hangUp lets all callers hang up while engines work for them; engines lose
// the first cancels given.
func (w *world) hangUp(lostCancels int) {
	w.t.Helper()
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	var f flight
	w.load(ctx, &f, w.host(0, 0))
	if lostCancels > 0 {
		w.faultAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: lostCancels, Path: engine.PathCancel})
	}
	cancel()
	f.land()
}

func TestMemoryReturnsWhenCallersHangUp(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	w.hangUp(0)
	w.memoryReturns("callers hung up", 10*time.Second)
	w.hangUp(6)
	w.memoryReturns("callers hung up and cancels were lost", 15*time.Second)
}
