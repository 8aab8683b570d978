package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// freezeAll sends prompts and actions, and freezes everything that could
// answer them until long after their limits.
func (w *world) freezeAll() []client.Outcome {
	w.t.Helper()
	const limit = 4 * time.Second
	var f flight
	before := started(w.counts())
	for i := range 6 {
		w.launch(w.ctx, &f, w.host(0, i%2), w.prompt(1500, 60, limit))
	}
	w.underWay(before, 1)
	w.faultAll(roleEngine, fleet.UpstreamFault{Kind: "freeze", ForMillis: 8_000})
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "freeze", ForMillis: 8_000})
	for i := range 4 {
		w.launch(w.ctx, &f, w.host(0, i%2), w.prompt(1500, 40, limit))
		w.launch(w.ctx, &f, w.host(0, i%2), w.action(fmt.Sprintf("frozen-%d", i)))
	}
	return f.land()
}

func TestRequestsEndByTheirLimitWhenAllFreezes(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 1, hosts: 2, policy: policyDefault})
	outcomes := w.freezeAll()
	t.Log(tally(outcomes))
	if delivered(outcomes) == len(outcomes) {
		t.Error("nothing was frozen in time")
	}
	// What was held back may still run once the upstreams thaw.
	w.memoryReturns("upstreams go on", 20*time.Second)
	time.Sleep(time.Second)
	w.right(outcomes)
	for _, key := range keysRunAgain(w.counts()) {
		t.Error("run again: ", key)
	}
}
