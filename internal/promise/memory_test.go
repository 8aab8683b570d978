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

// longTimeLimit is a time limit that does not pass during any test.
const longTimeLimit = 120 * time.Second

// deadHostCleanupLimit returns the longest time until the peers of a dead host
// have cancelled its work: the silence after which they probe it, the time limit of
// the probe, the time for which they suspect it, and the longest pause before a
// cancel is retried. The sum is doubled for a busy machine.
func deadHostCleanupLimit() time.Duration {
	m := membership.DefaultConfig()
	silence := time.Duration(m.SilenceIntervals) * m.HeartbeatInterval
	return 2 * (silence + m.ProbeTimeout + m.SuspicionTimeout + dispatch.DefaultConfig().CancelRetryMax)
}

// startLoad sends one long prompt and several short ones, whose limits don't pass
// during the test, and waits until engines work on them.
func (w *fixture) startLoad(ctx context.Context, f *requestGroup, h fleet.Host) {
	before := startedRequests(w.counts())
	w.sendAsync(ctx, f, h, w.promptRequest(700_000, 512, longTimeLimit))
	for range 4 {
		w.sendAsync(ctx, f, h, w.promptRequest(2000, 4000, longTimeLimit))
	}
	w.waitUntilStarted(before, 5)
}

// checkMemoryReleased reports an error if engines still hold memory when the
// limit has passed.
func (w *fixture) checkMemoryReleased(what string, limit time.Duration) {
	w.t.Helper()
	var held int64
	startTime := time.Now()
	defer func() {
		w.t.Logf("%s: waited for the release of memory for %s", what, time.Since(startTime).Round(pollInterval))
	}()
	if !w.waitFor(limit, func() bool { held = w.counts().MemoryHeld(); return held == 0 }) {
		w.t.Errorf("%s: %d tokens of memory are held after %s", what, held, limit)
	}
}

// TestMemoryOfDeadHostIsReleased guards against memory that engines hold for ever
// because the host that owned the work was killed.
func TestMemoryOfDeadHostIsReleased(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f requestGroup
	w.startLoad(w.ctx, &f, w.host(0, 0))
	requireNoError(t, fleet.Kill(w.routerProcess(w.host(0, 0))))
	f.waitAll()
	w.checkMemoryReleased("host killed and not replaced", deadHostCleanupLimit())
}

// TestMemoryOfDeadHostIsReleasedDespiteFaults kills a host while engines lose
// cancels and open connections have become silent.
func TestMemoryOfDeadHostIsReleasedDespiteFaults(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f requestGroup
	w.startLoad(w.ctx, &f, w.host(0, 0))
	w.setFaultOnAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: 4, Path: engine.PathCancel})
	w.silenceEngines()
	requireNoError(t, fleet.Kill(w.routerProcess(w.host(0, 0))))
	f.waitAll()
	w.checkMemoryReleased("host killed, cancels lost, connections silent", deadHostCleanupLimit())
}

// TestMemoryOfUnknownOwnersIsReleased reserves memory in the name of a host that
// no other host knows, as if it had died before any of them discovered it. The
// other hosts can only see from the deadline that the work is to be cancelled.
func TestMemoryOfUnknownOwnersIsReleased(t *testing.T) {
	const reservationLifetime = 3 * time.Second
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 2, hosts: 2, policy: policyDefault})
	engines := engine.NewHTTPClient(httpcall.DefaultConfig())
	defer engines.Close()
	deadline := time.Now().Add(reservationLifetime)
	for n := range 10 {
		u := w.upstream(roleEngine, 0, n%2)
		requireNoError(t, engines.Reserve(w.ctx, u.Address, engine.Reservation{
			Work:  engine.WorkID{Request: fmt.Sprintf("unknown-%d", n), Attempt: 1},
			Owner: engine.Owner{Host: "unknown", Incarnation: 1}, Tokens: 1000, Deadline: deadline,
		}))
	}
	if w.counts().MemoryHeld() == 0 {
		t.Fatal("nothing was reserved")
	}
	w.setFaultOnAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: 3, Path: engine.PathCancel})
	d := dispatch.DefaultConfig()
	hosts := time.Duration(len(w.fleet.Hosts))
	sweeps := hosts * probe.DefaultConfig().WorkListInterval
	w.checkMemoryReleased("deadline passed", time.Until(deadline)+d.OverdueGrace+2*(sweeps+d.CancelRetryMax)+2*time.Second)
}

// TestMemoryIsReleasedAfterAllHostsDied kills every host of the data centre. The
// first host that is restarted must release the memory that its earlier process
// held.
func TestMemoryIsReleasedAfterAllHostsDied(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var f requestGroup
	w.startLoad(w.ctx, &f, w.host(0, 0))
	for _, h := range w.fleet.Hosts {
		requireNoError(t, fleet.Kill(w.routerProcess(h)))
	}
	f.waitAll()
	w.routerProcess(w.host(0, 0)).Wait(time.Second)
	requireNoError(t, w.fleet.StartRouter(w.host(0, 0)))
	requireNoError(t, w.fleet.WaitRouterReady(w.ctx, w.host(0, 0)))
	w.checkMemoryReleased("one host is back", deadHostCleanupLimit())
}

// hangUpCallers starts requests and closes all their callers' connections while
// engines work on them. Each engine loses the first lostCancels cancels.
func (w *fixture) hangUpCallers(lostCancels int) {
	w.t.Helper()
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	var f requestGroup
	w.startLoad(ctx, &f, w.host(0, 0))
	if lostCancels > 0 {
		w.setFaultOnAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: lostCancels, Path: engine.PathCancel})
	}
	cancel()
	f.waitAll()
}

func TestMemoryIsReleasedWhenCallersHangUp(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	w.hangUpCallers(0)
	w.checkMemoryReleased("callers hung up", 10*time.Second)
	w.hangUpCallers(6)
	w.checkMemoryReleased("callers hung up and cancels were lost", 15*time.Second)
}
