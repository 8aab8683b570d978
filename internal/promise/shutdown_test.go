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

// TestShutdownCompletesRequestsInFlight stops a router gracefully while short,
// long and slow requests are in flight. All of them must be answered; requests
// that arrive while the router is stopping must be refused and not be run.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	stopping := w.host(0, 0)
	var f requestGroup
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 1500, Path: callPath})
	w.sendAsync(w.ctx, &f, stopping, w.promptRequest(500_000, 64, 30*time.Second))
	for i := range 8 {
		w.sendAsync(w.ctx, &f, stopping, w.promptRequest(1000+200*i, 120, 30*time.Second))
		if i%2 == 0 {
			w.sendAsync(w.ctx, &f, stopping, w.actionRequest(fmt.Sprintf("stop-%d", i)))
		}
	}
	w.waitUntilStarted(0, 9)
	router := w.routerProcess(stopping)
	requireNoError(t, fleet.Drain(router))
	w.eventually("the host reports that it is stopping", 5*time.Second, func() bool {
		status, err := w.fleet.Status(w.ctx, stopping)
		return err == nil && status.Draining
	})
	var late requestGroup
	for i := range 10 {
		w.sendAsync(w.ctx, &late, stopping, w.promptRequest(1000, 16, streamLimit))
		w.sendAsync(w.ctx, &late, stopping, w.actionRequest(fmt.Sprintf("late-%d", i)))
		time.Sleep(pollInterval)
	}
	outcomes := f.waitAll()
	if !router.Wait(10 * time.Second) {
		t.Error("the router did not exit after its last request")
	} else if err := router.Err(); err != nil {
		t.Error("the router ended with ", err)
	}
	w.checkAllDelivered(outcomes)
	counts := w.counts()
	late.waitAll()
	t.Log(countByOutcome(late.outcomes))
	for _, o := range late.outcomes {
		refused := o.Result == client.Refused && o.Status == http.StatusServiceUnavailable && o.ProblemOutcome == client.ProblemNotRun && !counts.RanRequest(o.RequestID)
		unreached := o.Result == client.Broken && o.Status == 0
		if !refused && !unreached {
			t.Errorf("%s while stopping: %s, status %d, %s %s %s", o.Request.Kind, o.Result, o.Status, o.Code, o.ProblemOutcome, o.Detail)
		}
	}
	for key := range runsByKey(counts) {
		if strings.HasPrefix(key, "late") {
			t.Errorf("%s was run by a stopping host", key)
		}
	}
	w.checkMemoryReleased("host stopped", 10*time.Second)
}

// TestShutdownWhilePlatformAndEngineFail stops a router that has already claimed
// its actions, while the platform goes down and an engine dies and restarts
// without its work. Every request in flight must be answered, and the process
// must not exit before it has recorded the outcomes of the actions, so that
// repeated actions get the recorded answer.
func TestShutdownWhilePlatformAndEngineFail(t *testing.T) {
	const actions = 6
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 4, hosts: 4, policy: policyDefault})
	stopping := w.host(0, 0)
	var f, repeats requestGroup
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 2000, Path: callPath})
	for i := range actions {
		w.sendAsync(w.ctx, &f, stopping, w.actionRequest(fmt.Sprintf("stop-%d", i)))
	}
	for i := range 8 {
		w.sendAsync(w.ctx, &f, stopping, w.promptRequest(1500+100*i, 120, streamLimit))
	}
	w.waitUntilStarted(0, 8)
	time.Sleep(midStreamDelay)
	w.setPlatformFaults(fleet.PlatformFaults{Down: true})
	w.setUpstreamFault(w.upstream(roleEngine, 0, 0), fleet.UpstreamFault{Kind: "die", ForMillis: 2000})
	router := w.routerProcess(stopping)
	requireNoError(t, fleet.Drain(router))
	w.checkAllDelivered(f.waitAll())
	w.setPlatformFaults(fleet.PlatformFaults{})
	if !router.Wait(10 * time.Second) {
		t.Error("the router did not exit after the platform was back")
	} else if err := router.Err(); err != nil {
		t.Error("the router ended with ", err)
	}
	for i := range actions {
		w.sendAsync(w.ctx, &repeats, w.host(1, 0), w.actionRequest(fmt.Sprintf("stop-%d", i)))
	}
	w.checkAllDelivered(repeats.waitAll())
	for key, n := range runsByKey(w.counts()) {
		if n != 1 {
			t.Errorf("%s was run %d times", key, n)
		}
	}
}
