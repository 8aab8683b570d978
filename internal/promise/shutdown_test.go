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
	w.eventually("the host says that it is stopping", 5*time.Second, func() bool {
		status, err := w.fleet.Status(w.ctx, stopping)
		return err == nil && status.Draining
	})
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
		refused := o.Result == client.Refused && o.Status == http.StatusServiceUnavailable && o.Told == client.ToldNotRun && !counts.RanRequest(o.RequestID)
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

// TestShutdownWhileThePlatformAndAnEngineFail stops a router whose claims are
// made, while the platform goes down and an engine dies, which comes back empty.
// Everything in flight is answered, and the process exits once it has recorded
// the outcomes, so that repeats get the recorded answer.
func TestShutdownWhileThePlatformAndAnEngineFail(t *testing.T) {
	const actions = 6
	w := start(t, shape{dataCentres: 2, engines: 4, hosts: 4, policy: policyDefault})
	stopping := w.host(0, 0)
	var f, repeats flight
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 2000, Path: callPath})
	for i := range actions {
		w.launch(w.ctx, &f, stopping, w.action(fmt.Sprintf("stop-%d", i)))
	}
	for i := range 8 {
		w.launch(w.ctx, &f, stopping, w.prompt(1500+100*i, 120, streamLimit))
	}
	w.underWay(0, 8)
	time.Sleep(midStream)
	w.platform(fleet.PlatformFaults{Down: true})
	w.fault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 2000})
	router := w.router(stopping)
	must(t, fleet.Drain(router))
	w.all(f.land())
	w.platform(fleet.PlatformFaults{})
	if !router.Wait(10 * time.Second) {
		t.Error("the router did not exit after the platform was back")
	} else if err := router.Err(); err != nil {
		t.Error("the router ended with ", err)
	}
	for i := range actions {
		w.launch(w.ctx, &repeats, w.host(1, 0), w.action(fmt.Sprintf("stop-%d", i)))
	}
	w.all(repeats.land())
	for key, n := range runsOf(w.counts()) {
		if n != 1 {
			t.Errorf("%s was run %d times", key, n)
		}
	}
}
