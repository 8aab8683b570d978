package promise

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

// TestShutdownCutsOffNoRequest stops a router with short, long and slow
// requests in flight.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	stopping := w.host(0, 0)
	var f flight
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 1500, Path: callPath})
	w.launch(w.ctx, &f, stopping, w.prompt(500_000, 64, 30*time.Second))
	for i := range 8 {
		w.launch(w.ctx, &f, stopping, w.prompt(1000+200*i, 120, 30*time.Second))
		if i%2 == 0 {
			w.launch(w.ctx, &f, stopping, w.action(fmt.Sprintf("stop-%d", i)))
		}
	}
	w.underWay(0, 9)
	router := w.router(stopping)
	must(t, fleet.Drain(router))
	time.Sleep(poll)
	var late flight
	for i := range 10 {
		w.launch(w.ctx, &late, stopping, w.prompt(1000, 16, streamLimit))
		w.launch(w.ctx, &late, stopping, w.action(fmt.Sprintf("late-%d", i)))
		time.Sleep(poll)
	}
	outcomes := f.land()
	if !router.Wait(10 * time.Second) {
		t.Error("the router did not exit after its last request")
	} else if err := router.Err(); err != nil {
		t.Error("the router ended with ", err)
	}
	w.all(outcomes)
	counts := w.counts()
	late.land()
	t.Log(tally(late.outcomes))
	for _, o := range late.outcomes {
		refused := o.Result == client.Refused && o.Status == http.StatusServiceUnavailable && o.Told == client.ToldNotRun && !counts.Ran(o.RequestID)
		unreached := o.Result == client.Broken && o.Status == 0
		if !refused && !unreached {
			t.Errorf("%s while stopping: %s, status %d, %s %s %s", o.Request.Kind, o.Result, o.Status, o.Code, o.Told, o.Detail)
		}
	}
	for key := range runsOf(counts) {
		if strings.HasPrefix(key, "late") {
			t.Errorf("%s was run by a stopping host", key)
		}
	}
	w.memoryReturns("host stopped", 10*time.Second)
}
