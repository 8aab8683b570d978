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

// stopUnderLateRequests has callers send requests of all kinds to a host, on kept connections,
// until one of the hosts that has been asked to stop is gone. It expects that all requests
// that reached a server get an answer, and that no unsafe one runs twice.
func stopUnderLateRequests(t *testing.T, h, stopped *testHost, servers []*standin.Server) {
	t.Helper()
	g := NewWithT(t)
	const callersOfEach, grace = 6, 3500 * time.Millisecond
	stopped.process.drain.grace = grace
	var sending sync.WaitGroup
	var ended atomic.Bool
	var mu sync.Mutex
	lost, statuses := map[string]error{}, map[int]int{}
	for i := range callersOfEach * len(paths) {
		sending.Go(func() {
			for n := 0; !ended.Load(); n++ {
				id := fmt.Sprintf("r-%d-%d", i, n)
				answer := h.sendTo(paths[i%len(paths)], id)
				mu.Lock()
				statuses[answer.status]++
				if answer.readError != nil {
					lost[id] = answer.readError
				}
				mu.Unlock()
				if answer.status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	h.await(func() bool { return receivedCount(servers) > 20 }, "load")
	stopped.stop()
	g.Expect(<-stopped.done).To(Succeed())
	stopped.done <- nil
	ended.Store(true)
	sending.Wait()
	t.Logf("answers by status: %v", statuses)
	runs := map[string]int{}
	for _, s := range servers {
		for _, r := range s.ReceivedRequests() {
			g.Expect(lost).NotTo(HaveKey(r.ID), "%s %s reached a server and got no answer", r.Method, r.Target)
			if r.Target == "/u/" && r.Executed {
				runs[r.ID]++
			}
		}
	}
	for id, n := range runs {
		g.Expect(n).To(Equal(1), "runs of %s", id)
	}
}

// TestLateRequestsOfAStopAreAnswered guards against requests that come late in a planned stop,
// are passed on to a server, and are cut off when the process ends.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	slow := func(servers []*standin.Server) {
		for _, s := range servers {
			s.CallTime, s.EventInterval = 400*time.Millisecond, 60*time.Millisecond
		}
	}
	t.Run("slow servers", func(t *testing.T) {
		h, _, engines, desks := setUp(t)
		slow(append(engines, desks...))
		stopUnderLateRequests(t, h, h, append(engines, desks...))
	})
	t.Run("passed on to another host", func(t *testing.T) {
		h, _, _, engines, desks := setUpCutOffHost(t)
		slow(append(engines, desks...))
		stopUnderLateRequests(t, h, h, append(engines, desks...))
	})
	t.Run("passed on to a host that stops", func(t *testing.T) {
		h, other, _, engines, desks := setUpCutOffHost(t)
		slow(append(engines, desks...))
		stopUnderLateRequests(t, h, other, append(engines, desks...))
	})
}
