package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// noticeLimit is how long an upstream may still get new work after it was
	// announced that it leaves.
	noticeLimit = 3 * time.Second
	// loadAfterNotice is how long new requests are sent after the announcement.
	loadAfterNotice = 7 * time.Second
)

// sendSteadyLoad sends short prompts and lookups to both hosts of the first data
// centre. After a second it calls announceLeaving, and it continues for
// loadAfterNotice from then on.
func (w *fixture) sendSteadyLoad(announceLeaving func()) []client.Outcome {
	w.t.Helper()
	var f requestGroup
	startTime := time.Now()
	announced := false
	for i := 0; time.Since(startTime) < time.Second+loadAfterNotice; i++ {
		if !announced && time.Since(startTime) > time.Second {
			announceLeaving()
			announced = true
		}
		w.sendAsync(w.ctx, &f, w.host(0, i%2), w.promptRequest(1000, 16, streamLimit))
		if i%4 == 0 {
			lookup := w.actionRequest("")
			lookup.Kind = w.fleet.Deployment.LookupKind
			w.sendAsync(w.ctx, &f, w.host(0, i%2), lookup)
		}
		time.Sleep(requestSpacing)
	}
	return f.waitAll()
}

// TestLeavingEngineGetsNoNewWorkAfterOwnNotice lets an engine report that it is
// leaving, while the platform's list does not show it as leaving.
func TestLeavingEngineGetsNoNewWorkAfterOwnNotice(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var long requestGroup
	for i := range 9 {
		w.sendAsync(w.ctx, &long, w.host(0, i%2), w.promptRequest(1500, 300, 40*time.Second))
	}
	w.waitUntilStarted(0, 9)
	leaving := w.upstream(roleEngine, 0, 0)
	outcomes := w.sendSteadyLoad(func() { w.setUpstreamFault(leaving, fleet.UpstreamFault{Kind: "leaving"}) })
	w.checkAllDelivered(outcomes)
	w.checkAllDelivered(long.waitAll())
	counts := w.counts()
	if last := counts.LastWorkWhileLeaving(); last > noticeLimit {
		t.Errorf("new work %s after the upstream reported that it is leaving", last)
	}
	if requestsStartedOn(counts, leaving.Name) == 0 {
		t.Error("the leaving engine never had work")
	}
}

// requestsStartedOn returns the number of requests that an engine has begun to work on.
func requestsStartedOn(c fleet.Counts, name string) int {
	for _, e := range c.Engines {
		if e.Name == name {
			return len(e.RunsByRequest)
		}
	}
	return 0
}

// TestLeavingEngineGetsNoNewWorkAfterPlatformListing marks an engine as leaving
// in the platform's list only; the engine itself does not report it.
func TestLeavingEngineGetsNoNewWorkAfterPlatformListing(t *testing.T) {
	const lag = time.Second
	w := startFleet(t, fleetSize{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault, hostListLag: lag})
	leaving := w.upstream(roleEngine, 0, 0)
	countAtLimit := make(chan int, 1)
	outcomes := w.sendSteadyLoad(func() {
		requireNoError(t, w.fleet.MarkLeaving(w.ctx, leaving))
		time.AfterFunc(lag+noticeLimit, func() {
			c, err := w.fleet.Counts(w.ctx, true)
			if err != nil {
				countAtLimit <- -1
				return
			}
			countAtLimit <- requestsStartedOn(c, leaving.Name)
		})
	})
	w.checkAllDelivered(outcomes)
	before := <-countAtLimit
	if before <= 0 {
		t.Fatalf("the leaving engine had %d requests before", before)
	}
	if after := requestsStartedOn(w.counts(), leaving.Name); after != before {
		t.Errorf("the leaving engine got %d requests later than %s after the platform listed it as leaving", after-before, noticeLimit)
	}
}

// TestLeavingServiceGetsNoNewCalls lets the plain service of a data centre report
// that it is leaving. Its calls must go to the service of the other data centre.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	w := startFleet(t, fleetSize{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	leaving := w.upstream(roleService, 0, 0)
	var f requestGroup
	announceAt := time.Now().Add(time.Second)
	end := announceAt.Add(loadAfterNotice)
	announced := false
	for i := 0; time.Now().Before(end); i++ {
		if !announced && time.Now().After(announceAt) {
			w.setUpstreamFault(leaving, fleet.UpstreamFault{Kind: "leaving"})
			announced = true
		}
		call := w.actionRequest(fmt.Sprintf("leaving-%d", i))
		if i%2 == 0 {
			call = w.actionRequest("")
			call.Kind = w.fleet.Deployment.LookupKind
		}
		w.sendAsync(w.ctx, &f, w.host(0, 0), call)
		time.Sleep(requestSpacing)
	}
	w.checkAllDelivered(f.waitAll())
	counts := w.counts()
	if last := counts.LastWorkWhileLeaving(); last > noticeLimit {
		t.Errorf("new work %s after the upstream reported that it is leaving", last)
	}
	for _, s := range counts.Services {
		if len(s.RunsByRequest) == 0 {
			t.Errorf("%s never had work", s.Name)
		}
	}
	for _, key := range keysRunMoreThanOnce(counts) {
		t.Error("run more than once: ", key)
	}
}
