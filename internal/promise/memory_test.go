package promise

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/membership"
)

const (
	cancelPath = engine.PathCancel
	// farLimit is a time limit that no test waits for.
	farLimit = 120 * time.Second
)

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

// cancelsLost drops the first cancels on every engine, and is what the callers
// who hang up meet.
func (w *world) hangUp(lostCancels int) {
	w.t.Helper()
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	var f flight
	w.load(ctx, &f, w.host(0, 0))
	if lostCancels > 0 {
		w.faultAll(roleEngine, fleet.UpstreamFault{Kind: "drop", Count: lostCancels, Path: cancelPath})
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
