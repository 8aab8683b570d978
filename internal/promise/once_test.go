package promise

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/service"
)

const (
	// callPath is the path of calls to a service.
	callPath = service.PathCallPrefix
	// immediateRefusalLimit is the longest time of a refusal that waits for nothing.
	immediateRefusalLimit = 2 * time.Second
)

// runsByKey returns how many times services ran the action of each key.
func runsByKey(c fleet.Counts) map[string]int {
	runs := make(map[string]int)
	for _, s := range c.Services {
		for key, n := range s.RunsByKey {
			runs[key] += n
		}
	}
	return runs
}

// keysRunMoreThanOnce lists the keys whose action was run more than once, with
// the number of runs.
func keysRunMoreThanOnce(c fleet.Counts) []string {
	var repeated []string
	for key, n := range runsByKey(c) {
		if n > 1 {
			repeated = append(repeated, fmt.Sprintf("%s: %d times", key, n))
		}
	}
	return repeated
}

// loseAnswers sends an action with each key to two data centres at the same time
// while services lose answers, and sends each key once more afterwards.
func (w *fixture) loseAnswers(f *requestGroup) {
	const keys = 12
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "lose_answer", Count: keys / 3, Path: callPath})
	var first requestGroup
	for i := range keys {
		r := w.actionRequest(fmt.Sprintf("lost-%d", i))
		w.sendAsync(w.ctx, &first, w.host(0, 0), r)
		w.sendAsync(w.ctx, &first, w.host(1, 0), r)
	}
	f.outcomes = append(f.outcomes, first.waitAll()...)
	for i := range keys {
		w.sendAsync(w.ctx, f, w.host(1, 1), w.actionRequest(fmt.Sprintf("lost-%d", i)))
	}
	f.pending.Wait()
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "clear"})
}

// killDuringActions kills a router while it has actions at different steps between
// their claim and their answer, and sends the same keys to other hosts.
func (w *fixture) killDuringActions(f *requestGroup) {
	const keys = 10
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 200, Path: callPath})
	var lost requestGroup
	for i := range keys {
		w.sendAsync(w.ctx, &lost, w.host(0, 1), w.actionRequest(fmt.Sprintf("kill-%d", i)))
		time.Sleep(requestSpacing)
	}
	requireNoError(w.t, fleet.Kill(w.routerProcess(w.host(0, 1))))
	lost.waitAll()
	for range 2 {
		for i := range keys {
			r := w.actionRequest(fmt.Sprintf("kill-%d", i))
			w.sendAsync(w.ctx, f, w.host(0, 0), r)
			w.sendAsync(w.ctx, f, w.host(1, i%2), r)
		}
		f.pending.Wait()
	}
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "clear"})
}

// losePlatformAnswers sends each key to two data centres while the platform loses
// answers of calls that took effect.
func (w *fixture) losePlatformAnswers(f *requestGroup) {
	w.setPlatformFaults(fleet.PlatformFaults{LoseAnswerProbability: 0.3})
	for i := range 8 {
		r := w.actionRequest(fmt.Sprintf("store-%d", i))
		w.sendAsync(w.ctx, f, w.host(0, 0), r)
		w.sendAsync(w.ctx, f, w.host(1, 0), r)
	}
	f.pending.Wait()
	w.setPlatformFaults(fleet.PlatformFaults{})
}

// failPlatform makes the platform lose answers, go down while actions are between
// their claim and their answer, lose answers again, and recover. In each of these
// phases it sends each key to two data centres.
func (w *fixture) failPlatform(f *requestGroup) {
	const keys = 8
	sendToBothDataCentres := func() {
		for i := range keys {
			r := w.actionRequest(fmt.Sprintf("outage-%d", i))
			w.sendAsync(w.ctx, f, w.host(0, 0), r)
			w.sendAsync(w.ctx, f, w.host(1, 0), r)
			time.Sleep(requestSpacing)
		}
	}
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 150, Path: callPath})
	w.setPlatformFaults(fleet.PlatformFaults{LoseAnswerProbability: 0.5})
	sendToBothDataCentres()
	w.setPlatformFaults(fleet.PlatformFaults{Down: true})
	sendToBothDataCentres()
	w.setPlatformFaults(fleet.PlatformFaults{LoseAnswerProbability: 0.2})
	sendToBothDataCentres()
	f.pending.Wait()
	w.setPlatformFaults(fleet.PlatformFaults{})
	w.setFaultOnAll(roleService, fleet.UpstreamFault{Kind: "clear"})
	sendToBothDataCentres()
	f.pending.Wait()
}

// TestActionsRunAtMostOnce guards against actions that are run twice because an
// answer was lost, the platform failed, or a router was killed after it had made
// the call. An action that was answered as done must have been run.
func TestActionsRunAtMostOnce(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	var f requestGroup
	w.loseAnswers(&f)
	w.losePlatformAnswers(&f)
	w.failPlatform(&f)
	w.killDuringActions(&f)
	counts := w.counts()
	for _, key := range keysRunMoreThanOnce(counts) {
		t.Error("run more than once: ", key)
	}
	w.checkOutcomes(f.outcomes)
	t.Log(countByOutcome(f.outcomes))
	runs := runsByKey(counts)
	for _, o := range f.outcomes {
		if o.Result == client.Delivered && runs[o.Request.IdempotencyKey] == 0 {
			t.Errorf("%s was answered as done and no service ran it", o.Request.IdempotencyKey)
		}
	}
	if len(runs) == 0 {
		t.Error("no action was run at all")
	}
}

// TestNaiveRoutersRepeatActions checks that TestActionsRunAtMostOnce can fail:
// routers with the naive policy run keys again under the same faults.
func TestNaiveRoutersRepeatActions(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 4, policy: policyNaive})
	var f requestGroup
	w.loseAnswers(&f)
	w.killDuringActions(&f)
	if len(keysRunMoreThanOnce(w.counts())) == 0 {
		t.Error("the check did not notice the naive routers running keys again")
	}
}

// pauseDuringActions pauses a router while it has actions at different steps
// between their claim and their answer. It sends the same keys to another data
// centre until long after the actions' limits, and then lets the router continue.
func (w *fixture) pauseDuringActions(f *requestGroup) {
	const keys = 20
	paused := w.routerProcess(w.host(0, 0))
	for i := range keys {
		w.sendAsync(w.ctx, f, w.host(0, 0), w.actionRequest(fmt.Sprintf("pause-%d", i)))
		time.Sleep(requestSpacing / 20)
	}
	requireNoError(w.t, fleet.Pause(paused))
	end := time.Now().Add(workload.TimeLimit(workload.ClassService, 0) + time.Second)
	for time.Now().Before(end) {
		for i := range keys {
			w.sendAsync(w.ctx, f, w.host(1, i%2), w.actionRequest(fmt.Sprintf("pause-%d", i)))
		}
		time.Sleep(time.Second)
	}
	requireNoError(w.t, fleet.Continue(paused))
	f.pending.Wait()
	for i := range keys {
		w.sendAsync(w.ctx, f, w.host(0, 0), w.actionRequest(fmt.Sprintf("pause-%d", i)))
	}
	f.pending.Wait()
}

// TestPausedHostRepeatsNoAction lets a paused host continue with claims whose
// keys were sent to other hosts meanwhile. The answers of the paused host itself
// necessarily come late, so they are not checked against the time limit.
func TestPausedHostRepeatsNoAction(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	var f requestGroup
	w.pauseDuringActions(&f)
	counts := w.counts()
	t.Log(countByOutcome(f.outcomes))
	for _, key := range keysRunMoreThanOnce(counts) {
		t.Error("run more than once: ", key)
	}
	var others []client.Outcome
	for _, o := range f.outcomes {
		if o.ProblemOutcome == client.ProblemNotRun && counts.RanRequest(o.RequestID) {
			t.Errorf("%s at %s was reported as not_run and ran", o.Request.IdempotencyKey, o.Address)
		}
		if o.Address != w.host(0, 0).Callers {
			others = append(others, o)
		}
	}
	w.checkOutcomes(others)
}

// TestNaiveRoutersRepeatActionsOfPausedHost checks that
// TestPausedHostRepeatsNoAction can fail.
func TestNaiveRoutersRepeatActionsOfPausedHost(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 4, policy: policyNaive})
	var f requestGroup
	w.pauseDuringActions(&f)
	if len(keysRunMoreThanOnce(w.counts())) == 0 {
		t.Error("the check did not notice the naive routers running keys again")
	}
}

// TestNaiveRoutersRunActionsWithoutPlatform checks that the test below, which
// requires that no action is run while the platform is down, can fail.
func TestNaiveRoutersRunActionsWithoutPlatform(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 2, policy: policyNaive})
	w.setPlatformFaults(fleet.PlatformFaults{Down: true})
	w.send(w.ctx, w.host(0, 0), w.actionRequest("down-0"))
	if len(runsByKey(w.counts())) == 0 {
		t.Error("the naive routers ran no action without the platform")
	}
}

// TestActionsAreRefusedWithoutPlatform takes the platform down. Actions must be
// refused at once and must not be run, while prompts are answered. The same keys
// must run once the platform is back.
func TestActionsAreRefusedWithoutPlatform(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	w.setPlatformFaults(fleet.PlatformFaults{Down: true})
	var actions, prompts requestGroup
	for i := range 6 {
		w.sendAsync(w.ctx, &actions, w.host(i%2, 0), w.actionRequest(fmt.Sprintf("down-%d", i)))
		w.sendAsync(w.ctx, &prompts, w.host(i%2, 0), w.promptRequest(2000, 32, 20*time.Second))
	}
	actions.waitAll()
	for _, o := range actions.outcomes {
		if o.Result != client.Refused || o.ProblemOutcome != client.ProblemNotRun || !o.HasRetryAfter {
			t.Errorf("%s: %s, execution reported as %s (%s), Retry-After %t", o.Request.IdempotencyKey, o.Result, o.ProblemOutcome, o.Code, o.HasRetryAfter)
		}
		if took := o.End - o.Sent; took > immediateRefusalLimit {
			t.Errorf("%s was refused after %s", o.Request.IdempotencyKey, took)
		}
	}
	w.checkAllDelivered(prompts.waitAll())
	w.checkOutcomes(actions.outcomes)
	if runs := runsByKey(w.counts()); len(runs) > 0 {
		t.Errorf("run while the platform was down: %v", runs)
	}
	w.setPlatformFaults(fleet.PlatformFaults{})
	w.eventually("an action refused before is done", 10*time.Second, func() bool {
		return w.send(context.Background(), w.host(0, 0), w.actionRequest("down-0")).Result == client.Delivered
	})
	if n := runsByKey(w.counts())["down-0"]; n != 1 {
		t.Errorf("the key was run %d times", n)
	}
}
