package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
)

const (
	// quietAfter is how long after the sign an upstream may get new work.
	quietAfter = 3 * time.Second
	// watched is how long new work is sent after the sign.
	watched = 7 * time.Second
)

// steady sends short prompts and lookups to all hosts for a while, and calls
// sign after a second.
func (w *world) steady(sign func()) []client.Outcome {
	w.t.Helper()
	var f flight
	begun := time.Now()
	signed := false
	for i := 0; time.Since(begun) < time.Second+watched; i++ {
		if !signed && time.Since(begun) > time.Second {
			sign()
			signed = true
		}
		w.launch(w.ctx, &f, w.host(0, i%2), w.prompt(1000, 16, streamLimit))
		if i%4 == 0 {
			lookup := w.action("")
			lookup.Kind = w.fleet.Deployment.LookupKind
			w.launch(w.ctx, &f, w.host(0, i%2), lookup)
		}
		time.Sleep(spacing)
	}
	return f.land()
}

// TestLeavingUpstreamsGetNothingNewByTheirOwnSign lets an engine say that it
// leaves, while the platform's list knows nothing of it.
func TestLeavingUpstreamsGetNothingNewByTheirOwnSign(t *testing.T) {
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault})
	var long flight
	for i := range 9 {
		w.launch(w.ctx, &long, w.host(0, i%2), w.prompt(1500, 300, 40*time.Second))
	}
	w.underWay(0, 9)
	leaving := w.upstream(roleEngine, 0, 0)
	outcomes := w.steady(func() { w.fault(leaving, fleet.UpstreamFault{Kind: "leaving"}) })
	w.all(outcomes)
	w.all(long.land())
	counts := w.counts()
	if last := counts.LastWorkWhileLeaving(); last > quietAfter {
		t.Errorf("new work %s after the sign", last)
	}
	if work(counts, leaving.Name) == 0 {
		t.Error("the leaving engine never had work")
	}
}

// work is how many requests an engine has begun to work on.
func work(c fleet.Counts, name string) int {
	for _, e := range c.Engines {
		if e.Name == name {
			return len(e.RunsByRequest)
		}
	}
	return 0
}

// TestLeavingUpstreamsGetNothingNewByThePlatformsList lets the platform's list
// alone say that an engine leaves.
func TestLeavingUpstreamsGetNothingNewByThePlatformsList(t *testing.T) {
	const lag = time.Second
	w := start(t, shape{dataCentres: 1, engines: 3, hosts: 2, policy: policyDefault, hostsLag: lag})
	leaving := w.upstream(roleEngine, 0, 0)
	quiet := make(chan int, 1)
	outcomes := w.steady(func() {
		must(t, w.fleet.MarkLeaving(w.ctx, leaving))
		time.AfterFunc(lag+quietAfter, func() {
			c, err := w.fleet.Counts(w.ctx, true)
			if err != nil {
				quiet <- -1
				return
			}
			quiet <- work(c, leaving.Name)
		})
	})
	w.all(outcomes)
	before := <-quiet
	if before <= 0 {
		t.Fatalf("the leaving engine had %d requests before", before)
	}
	if after := work(w.counts(), leaving.Name); after != before {
		t.Errorf("the leaving engine got %d requests later than %s after the sign", after-before, quietAfter)
	}
}

// TestLeavingServicesGetNothingNew lets the plain service of a data centre say
// that it leaves; its calls go to the other data centre's.
func TestLeavingServicesGetNothingNew(t *testing.T) {
	w := start(t, shape{dataCentres: 2, engines: 2, hosts: 2, policy: policyDefault})
	leaving := w.upstream(roleService, 0, 0)
	var f flight
	signed := time.Now().Add(time.Second)
	end := signed.Add(watched)
	told := false
	for i := 0; time.Now().Before(end); i++ {
		if !told && time.Now().After(signed) {
			w.fault(leaving, fleet.UpstreamFault{Kind: "leaving"})
			told = true
		}
		call := w.action(fmt.Sprintf("leaving-%d", i))
		if i%2 == 0 {
			call = w.action("")
			call.Kind = w.fleet.Deployment.LookupKind
		}
		w.launch(w.ctx, &f, w.host(0, 0), call)
		time.Sleep(spacing)
	}
	w.all(f.land())
	counts := w.counts()
	if last := counts.LastWorkWhileLeaving(); last > quietAfter {
		t.Errorf("new work %s after the sign", last)
	}
	for _, s := range counts.Services {
		if len(s.RunsByRequest) == 0 {
			t.Errorf("%s never had work", s.Name)
		}
	}
	for _, key := range keysRunAgain(counts) {
		t.Error("run again: ", key)
	}
}
