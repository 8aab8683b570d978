package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
)

// agreed bounds the time until the data centres agree once a cut has healed.
const agreed = 10 * time.Second

// TestCutOffDataCentreGoesOnServing cuts a data centre off from the platform
// and the other one, with requests in flight, and changes the configuration.
func TestCutOffDataCentreGoesOnServing(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 4, hosts: 4, policy: policyDefault})
	stop := w.versions()
	var inFlight, during, actions flight
	for i := range 8 {
		w.launch(w.ctx, &inFlight, w.host(i%2, i/2%2), w.prompt(1500, 80, streamLimit))
	}
	w.underWay(0, 8)
	w.fleet.Network.CutDataCentre(1, true)
	w.change()
	for i := range 40 {
		w.launch(w.ctx, &during, w.host(1, i%2), w.prompt(1000, 24, streamLimit))
		if i%10 == 0 {
			w.launch(w.ctx, &actions, w.host(1, i%2), w.action(fmt.Sprintf("cut-%d", i)))
		}
		time.Sleep(2 * poll)
	}
	w.all(inFlight.land())
	w.all(during.land())
	for _, o := range actions.land() {
		if o.Result != client.Refused || o.ProblemOutcome != client.ProblemNotRun {
			t.Errorf("an action without the platform: %s, told %s (%s)", o.Result, o.ProblemOutcome, o.Code)
		}
	}
	w.right(actions.outcomes)
	for _, h := range w.fleet.HostsOf(1) {
		if w.serves(h) {
			t.Errorf("%s has a version that could not reach it", h.Name)
		}
	}
	w.fleet.Network.Heal()
	w.everywhere(agreed)
	w.eventually("actions run again", agreed, func() bool {
		return w.send(w.ctx, w.host(1, 0), w.action("healed")).Result == client.Delivered
	})
	for _, host := range stop() {
		t.Errorf("%s went back to an older version", host)
	}
	for _, key := range keysRunAgain(w.counts()) {
		t.Error("run again: ", key)
	}
}
