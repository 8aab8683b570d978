package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// freezeAll sends prompts and actions, and freezes all engines and services that
// could answer them until long after the requests' limits.
func (w *fixture) freezeAll() []client.Outcome {
	w.t.Helper()
	const limit = 4 * time.Second
	var f requestGroup
	before := startedRequests(w.counts())
	for i := range 6 {
		w.sendAsync(w.ctx, &f, w.host(0, i%2), w.promptRequest(1500, 60, limit))
	}
	w.waitUntilStarted(before, 1)
	w.setFaultOnAll(roleEngine, fleet.UpstreamFault{Kind: "freeze", ForMillis: 8_000})
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "freeze", ForMillis: 8_000})
	for i := range 4 {
		w.sendAsync(w.ctx, &f, w.host(0, i%2), w.promptRequest(1500, 40, limit))
		w.sendAsync(w.ctx, &f, w.host(0, i%2), w.actionRequest(fmt.Sprintf("frozen-%d", i)))
	}
	return f.waitAll()
}

// TestRequestsEndWithinLimitWhenUpstreamsFreeze guards against requests that wait
// for a frozen upstream beyond their time limit.
func TestRequestsEndWithinLimitWhenUpstreamsFreeze(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 1, hosts: 2, policy: policyDefault})
	outcomes := w.freezeAll()
	t.Log(countByOutcome(outcomes))
	if countDelivered(outcomes) == len(outcomes) {
		t.Error("all requests were delivered before the upstreams froze")
	}
	// Work that the upstreams had accepted may still run once they continue, so the
	// outcomes are compared with the counts only after that.
	w.checkMemoryReleased("upstreams go on", 20*time.Second)
	time.Sleep(time.Second)
	w.checkOutcomes(outcomes)
	for _, key := range keysRunMoreThanOnce(w.counts()) {
		t.Error("run more than once: ", key)
	}
}
