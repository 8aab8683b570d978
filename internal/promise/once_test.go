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
	callPath = service.PathCallPrefix
	// atOnce bounds a refusal that waits for nothing.
	atOnce = 2 * time.Second
)

// runsOf is how often services ran each key.
func runsOf(c fleet.Counts) map[string]int {
	runs := make(map[string]int)
	for _, s := range c.Services {
		for key, n := range s.RunsByKey {
			runs[key] += n
		}
	}
	return runs
}

// keysRunAgain lists the keys that were run more than once.
func keysRunAgain(c fleet.Counts) []string {
	var again []string
	for key, n := range runsOf(c) {
		if n > 1 {
			again = append(again, fmt.Sprintf("%s: %d times", key, n))
		}
	}
	return again
}

// loseAnswers sends each key to two data centres at the same time while
// services lose answers, and once more afterwards.
func (w *world) loseAnswers(f *flight) {
	const keys = 12
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "lose_answer", Count: keys / 3, Path: callPath})
	var first flight
	for i := range keys {
		r := w.action(fmt.Sprintf("lost-%d", i))
		w.launch(w.ctx, &first, w.host(0, 0), r)
		w.launch(w.ctx, &first, w.host(1, 0), r)
	}
	f.outcomes = append(f.outcomes, first.land()...)
	for i := range keys {
		w.launch(w.ctx, f, w.host(1, 1), w.action(fmt.Sprintf("lost-%d", i)))
	}
	f.wait.Wait()
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "clear"})
}

// killBetween kills a router with actions at every step between their claim
// and their answer, and sends the same keys to the others.
func (w *world) killBetween(f *flight) {
	const keys = 10
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 200, Path: callPath})
	var lost flight
	for i := range keys {
		w.launch(w.ctx, &lost, w.host(0, 1), w.action(fmt.Sprintf("kill-%d", i)))
		time.Sleep(spacing)
	}
	must(w.t, fleet.Kill(w.router(w.host(0, 1))))
	lost.land()
	for range 2 {
		for i := range keys {
			r := w.action(fmt.Sprintf("kill-%d", i))
			w.launch(w.ctx, f, w.host(0, 0), r)
			w.launch(w.ctx, f, w.host(1, i%2), r)
		}
		f.wait.Wait()
	}
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "clear"})
}

// losePlatform sends keys twice while the platform loses answers of calls
// that took effect.
func (w *world) losePlatform(f *flight) {
	w.platform(fleet.PlatformFaults{LoseAnswerProbability: 0.3})
	for i := range 8 {
		r := w.action(fmt.Sprintf("store-%d", i))
		w.launch(w.ctx, f, w.host(0, 0), r)
		w.launch(w.ctx, f, w.host(1, 0), r)
	}
	f.wait.Wait()
	w.platform(fleet.PlatformFaults{})
}

// platformFails lets the platform lose answers, go down while actions are
// between claim and answer, and come back, with each key sent to two data
// centres in each of the phases.
func (w *world) platformFails(f *flight) {
	const keys = 8
	both := func() {
		for i := range keys {
			r := w.action(fmt.Sprintf("outage-%d", i))
			w.launch(w.ctx, f, w.host(0, 0), r)
			w.launch(w.ctx, f, w.host(1, 0), r)
			time.Sleep(spacing)
		}
	}
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "delay", DelayMillis: 150, Path: callPath})
	w.platform(fleet.PlatformFaults{LoseAnswerProbability: 0.5})
	both()
	w.platform(fleet.PlatformFaults{Down: true})
	both()
	w.platform(fleet.PlatformFaults{LoseAnswerProbability: 0.2})
	both()
	f.wait.Wait()
	w.platform(fleet.PlatformFaults{})
	w.faultAll(roleService, fleet.UpstreamFault{Kind: "clear"})
	both()
	f.wait.Wait()
}

func TestActionsRunAtMostOnce(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	var f flight
	w.loseAnswers(&f)
	w.losePlatform(&f)
	w.platformFails(&f)
	w.killBetween(&f)
	counts := w.counts()
	for _, key := range keysRunAgain(counts) {
		t.Error("run again: ", key)
	}
	w.right(f.outcomes)
	t.Log(tally(f.outcomes))
	runs := runsOf(counts)
	for _, o := range f.outcomes {
		if o.Result == client.Delivered && runs[o.Request.IdempotencyKey] == 0 {
			t.Errorf("%s was answered as done and no service ran it", o.Request.IdempotencyKey)
		}
	}
	if len(runs) == 0 {
		t.Error("no action was run at all")
	}
}

func TestNaiveRoutersRunActionsAgain(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 4, policy: policyNaive})
	var f flight
	w.loseAnswers(&f)
	w.killBetween(&f)
	if len(keysRunAgain(w.counts())) == 0 {
		t.Error("the check did not notice the naive routers running keys again")
	}
}

// pauseBetween pauses a router with actions at every step between their claim
// and their answer until long after their limits, repeats the keys elsewhere
// meanwhile, and lets it go on.
func (w *world) pauseBetween(f *flight) {
	const keys = 20
	paused := w.router(w.host(0, 0))
	for i := range keys {
		w.launch(w.ctx, f, w.host(0, 0), w.action(fmt.Sprintf("pause-%d", i)))
		time.Sleep(spacing / 20)
	}
	must(w.t, fleet.Pause(paused))
	end := time.Now().Add(workload.TimeLimit(workload.ClassService, 0) + time.Second)
	for time.Now().Before(end) {
		for i := range keys {
			w.launch(w.ctx, f, w.host(1, i%2), w.action(fmt.Sprintf("pause-%d", i)))
		}
		time.Sleep(time.Second)
	}
	must(w.t, fleet.Continue(paused))
	f.wait.Wait()
	for i := range keys {
		w.launch(w.ctx, f, w.host(0, 0), w.action(fmt.Sprintf("pause-%d", i)))
	}
	f.wait.Wait()
}

// TestPausedHostRunsNoActionAgain lets a host wake up with claims that others
// were asked for meanwhile. What the paused host itself answered came late, as
// it has to, and is not judged for that.
func TestPausedHostRunsNoActionAgain(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 4, policy: policyDefault})
	var f flight
	w.pauseBetween(&f)
	counts := w.counts()
	t.Log(tally(f.outcomes))
	for _, key := range keysRunAgain(counts) {
		t.Error("run again: ", key)
	}
	var others []client.Outcome
	for _, o := range f.outcomes {
		if o.Told == client.ToldNotRun && counts.RanRequest(o.RequestID) {
			t.Errorf("%s at %s was told not_run and ran", o.Request.IdempotencyKey, o.Address)
		}
		if o.Address != w.host(0, 0).Callers {
			others = append(others, o)
		}
	}
	w.right(others)
}

func TestNaiveRoutersRunActionsOfAPausedHostAgain(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 4, policy: policyNaive})
	var f flight
	w.pauseBetween(&f)
	if len(keysRunAgain(w.counts())) == 0 {
		t.Error("the check did not notice the naive routers running keys again")
	}
}

// TestNaiveRoutersRunActionsWithoutThePlatform is what the check above notices.
func TestNaiveRoutersRunActionsWithoutThePlatform(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 2, policy: policyNaive})
	w.platform(fleet.PlatformFaults{Down: true})
	w.send(w.ctx, w.host(0, 0), w.action("down-0"))
	if len(runsOf(w.counts())) == 0 {
		t.Error("the naive routers ran no action without the platform")
	}
}

// TestActionsAreRefusedWithoutThePlatform takes the platform down: actions are refused
// at once and were not run, prompts are answered, and the same keys run when
// the platform is back.
func TestActionsAreRefusedWithoutThePlatform(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	w.platform(fleet.PlatformFaults{Down: true})
	var actions, prompts flight
	for i := range 6 {
		w.launch(w.ctx, &actions, w.host(i%2, 0), w.action(fmt.Sprintf("down-%d", i)))
		w.launch(w.ctx, &prompts, w.host(i%2, 0), w.prompt(2000, 32, 20*time.Second))
	}
	actions.land()
	for _, o := range actions.outcomes {
		if o.Result != client.Refused || o.Told != client.ToldNotRun || !o.HasRetryAfter {
			t.Errorf("%s: %s, told %s (%s), Retry-After %t", o.Request.IdempotencyKey, o.Result, o.Told, o.Code, o.HasRetryAfter)
		}
		if took := o.End - o.Sent; took > atOnce {
			t.Errorf("%s was refused after %s", o.Request.IdempotencyKey, took)
		}
	}
	w.all(prompts.land())
	w.right(actions.outcomes)
	if runs := runsOf(w.counts()); len(runs) > 0 {
		t.Errorf("run while the platform was down: %v", runs)
	}
	w.platform(fleet.PlatformFaults{})
	w.eventually("an action refused before is done", 10*time.Second, func() bool {
		return w.send(context.Background(), w.host(0, 0), w.action("down-0")).Result == client.Delivered
	})
	if n := runsOf(w.counts())["down-0"]; n != 1 {
		t.Errorf("the key was run %d times", n)
	}
}
