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
	// limitWindow and limitRatio, limitSlack define what a server that names a
	// limit may get: within the window, the ratio of what the limit allows, and the
	// slack.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitSettling is the time after which the bound holds.
	limitSettling = 3 * time.Second
)

// mostWithin returns the largest number of requests that arrived within any
// window of the given length after a time.
func mostWithin(requests []standin.ReceivedRequest, window time.Duration, after time.Time) int {
	most := 0
	for i, first := range requests {
		if first.At.Before(after) {
			continue
		}
		n := 0
		for _, r := range requests[i:] {
			if r.At.Sub(first.At) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerInNeedGetsNoMoreThanItsLimit guards against hosts that go on sending
// at the usual rate to a server that has named a limit.
func TestServerInNeedGetsNoMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	h, store, engines, _ := setUp(t)
	hosts := []*testHost{h, startHost(t, "h2", store), startHost(t, "h3", store)}
	const limit, senders, warmUp = 2.0, 4, time.Second
	start := time.Now()
	end := start.Add(warmUp + limitSettling + limitWindow + time.Second)
	var sending sync.WaitGroup
	var served atomic.Int64
	for i := range senders * len(hosts) {
		sending.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := hosts[i%len(hosts)].send("POST", "/s/", "", "Request-Id", fmt.Sprintf("r-%d-%d", i, n), "Authorization", "Token k1", "Token-Usage", "100,20")
				if r.status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(warmUp)
	inNeed := engines[0]
	if receivedCount(engines[1:]) > receivedCount(engines[:1]) {
		inNeed = engines[1]
	}
	inNeed.SetLimit(limit)
	named := time.Now()
	sending.Wait()
	for _, host := range hosts {
		g.Expect(host.logs.hasEvent(7025)).To(BeTrue())
	}
	most := mostWithin(inNeed.ReceivedRequests(), limitWindow, named.Add(limitSettling))
	received := receivedCount(engines)
	t.Logf("at most %d requests within %v at the server in need; %d received by both, %d served", most, limitWindow, received, served.Load())
	g.Expect(most).To(BeNumerically("<=", limitRatio*limit*limitWindow.Seconds()+limitSlack))
	g.Expect(served.Load()).To(BeNumerically(">=", received-len(hosts)*senders), "the other server takes the load")
}
