package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

const (
	// freeRepeatCrashes is the number of crashes under one request after which the
	// bound on its arrivals is in force, settlingAfterCrashes later.
	freeRepeatCrashes = 3
	// minServedDuringCrashes is the least share of sound calls that are to be served.
	minServedDuringCrashes = 0.9
)

// startHosts starts gateways that know each other.
func startHosts(t *testing.T, store *standin.Store, count int) []*testHost {
	t.Helper()
	hosts := make([]*testHost, count)
	for i := range hosts {
		hosts[i] = startHost(t, fmt.Sprint("h", i), store)
	}
	return hosts
}

// call sends a call with a key and a body.
func (h *testHost) call(method, path, id, body string) reply {
	return h.send(method, path, body, standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"), standin.HeaderDeadline, "1000")
}

// arrivalsWithBody returns the number of requests with a body that reached servers
// after a time.
func arrivalsWithBody(servers []*standin.Server, body string, after time.Time) int {
	n := 0
	for _, s := range servers {
		for _, r := range s.ReceivedRequests() {
			if r.Body == body && r.At.After(after) {
				n++
			}
		}
	}
	return n
}

// soundCalls counts calls and those that were served.
type soundCalls struct{ sent, served atomic.Int64 }

// share returns the share of the calls that were served.
func (s *soundCalls) share() float64 {
	return float64(s.served.Load()) / float64(max(1, s.sent.Load()))
}

// callRegularly sends calls at an interval, to one host after the other, until a time.
// The function body returns the body of each.
func callRegularly(hosts []*testHost, method, path, name string, interval time.Duration, until time.Time, body func(n int) string, calls *soundCalls) {
	var answers sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		answers.Go(func() {
			r := hosts[n%len(hosts)].call(method, path, fmt.Sprint(name, "-", n), body(n))
			calls.sent.Add(1)
			if r.status == http.StatusOK && r.readError == nil {
				calls.served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	answers.Wait()
}

// TestRepeatedRequestThatCrashesServersIsKeptAwayFromOthers guards against one call that
// comes again and again, at any host, and crashes each server that runs it.
func TestRepeatedRequestThatCrashesServersIsKeptAwayFromOthers(t *testing.T) {
	for name, route := range map[string]string{"repeatable": "/g/x", "not repeatable": "/u/x"} {
		for _, servers := range []int{3, 12} {
			t.Run(fmt.Sprint(name, ", ", servers, " servers"), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				store := standin.NewStore()
				t.Cleanup(store.Close)
				store.PutConfiguration(1, "k1")
				_, desks := startServers(t, store, 0, servers)
				for _, s := range desks {
					s.CrashUnderBody("bad")
				}
				hosts := startHosts(t, store, 3)
				const length, settling = 12 * time.Second, 4 * time.Second
				start := time.Now()
				var sound, soundLater, bad soundCalls
				var sending sync.WaitGroup
				sending.Go(func() {
					callRegularly(hosts, "POST", route, "bad", 250*time.Millisecond, start.Add(length), func(int) string { return "bad" }, &bad)
				})
				sending.Go(func() {
					own := func(n int) string { return fmt.Sprint("sound-", n%7) }
					callRegularly(hosts, "POST", route, "early", 60*time.Millisecond, start.Add(settling), own, &sound)
					callRegularly(hosts, "POST", route, "later", 60*time.Millisecond, start.Add(length), own, &soundLater)
				})
				sending.Wait()
				crashes := crashTimes(desks)
				later := 0
				if len(crashes) >= freeRepeatCrashes {
					later = arrivalsWithBody(desks, "bad", crashes[freeRepeatCrashes-1].Add(settlingAfterCrashes))
				}
				t.Logf("%d crashes, %d later arrivals; sound calls served: %d of %d in the first %v, %d of %d later",
					len(crashes), later, sound.served.Load(), sound.sent.Load(), settling, soundLater.served.Load(), soundLater.sent.Load())
				g.Expect(later).To(BeNumerically("<=", maxLaterArrivals))
				g.Expect(soundLater.share()).To(BeNumerically(">=", minServedDuringCrashes))
			})
		}
	}
}

// TestEqualCallsThatWereOnCrashedServersAreServed guards against calls that are refused
// since many equal ones were on servers which crashed for another reason.
func TestEqualCallsThatWereOnCrashedServersAreServed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	_, desks := startServers(t, store, 0, 20)
	for _, s := range desks {
		s.CallTime = 60 * time.Millisecond
	}
	hosts := startHosts(t, store, 3)
	const length, settled = 12 * time.Second, 3 * time.Second
	start := time.Now()
	var during, afterwards soundCalls
	var sending sync.WaitGroup
	equal := func(int) string { return "" }
	sending.Go(func() {
		callRegularly(hosts, "GET", "/g/x", "during", 15*time.Millisecond, start.Add(length), equal, &during)
		callRegularly(hosts, "GET", "/g/x", "after", 15*time.Millisecond, start.Add(length+settled), equal, &afterwards)
	})
	for round := range 4 {
		time.Sleep(time.Until(start.Add(time.Duration(1+3*round) * time.Second)))
		for i := range 7 {
			desks[(5*round+i)%len(desks)].Crash()
		}
	}
	sending.Wait()
	t.Logf("served %d of %d during the crashes, %d of %d afterwards", during.served.Load(), during.sent.Load(), afterwards.served.Load(), afterwards.sent.Load())
	g.Expect(during.share()).To(BeNumerically(">=", minServedDuringCrashes))
	g.Expect(afterwards.share()).To(Equal(1.0))
	for _, h := range hosts {
		g.Expect(h.logs.hasEvent(7026)).To(BeFalse())
	}
}
