package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
)

// agreementLimit is the longest time until the data centres agree after the
// network between them works again.
const agreementLimit = 10 * time.Second

// TestCutOffDataCentreKeepsServing cuts a data centre off from the platform and
// from the other data centre while requests are in flight, and changes the
// configuration. Prompts must be answered all the same, and actions, which need
// the platform, must be refused as not run. After the network works again, the data
// centre must get the new configuration and run actions again.
func TestCutOffDataCentreKeepsServing(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 4, hosts: 4, policy: policyDefault})
	stop := w.watchVersions()
	var inFlight, during, actions requestGroup
	for i := range 8 {
		w.sendAsync(w.ctx, &inFlight, w.host(i%2, i/2%2), w.promptRequest(1500, 80, streamLimit))
	}
	w.waitUntilStarted(0, 8)
	w.fleet.Network.CutDataCentre(1, true)
	w.submitChange()
	for i := range 40 {
		w.sendAsync(w.ctx, &during, w.host(1, i%2), w.promptRequest(1000, 24, streamLimit))
		if i%10 == 0 {
			w.sendAsync(w.ctx, &actions, w.host(1, i%2), w.actionRequest(fmt.Sprintf("cut-%d", i)))
		}
		time.Sleep(2 * pollInterval)
	}
	w.checkAllDelivered(inFlight.waitAll())
	w.checkAllDelivered(during.waitAll())
	for _, o := range actions.waitAll() {
		if o.Result != client.Refused || o.ProblemOutcome != client.ProblemNotRun {
			t.Errorf("an action without the platform: %s, execution reported as %s (%s)", o.Result, o.ProblemOutcome, o.Code)
		}
	}
	w.checkOutcomes(actions.outcomes)
	for _, h := range w.fleet.HostsOf(1) {
		if w.servesNewestVersion(h) {
			t.Errorf("%s has a version that could not reach it", h.Name)
		}
	}
	w.fleet.Network.Heal()
	w.waitInForceEverywhere(agreementLimit)
	w.eventually("actions run again", agreementLimit, func() bool {
		return w.send(w.ctx, w.host(1, 0), w.actionRequest("healed")).Result == client.Delivered
	})
	for _, host := range stop() {
		t.Errorf("%s went back to an older version", host)
	}
	for _, key := range keysRunMoreThanOnce(w.counts()) {
		t.Error("run more than once: ", key)
	}
}
