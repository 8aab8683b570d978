package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStopUnderLoadAnswersAllThatReachedAServer has callers send unsafe requests on kept
// connections until the host is gone. It guards against requests that are cut off by a
// planned stop after they were accepted.
func TestStopUnderLoadAnswersAllThatReachedAServer(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	const callers = 16
	var answered, refused, sent atomic.Int64
	var running sync.WaitGroup
	stopped := make(chan struct{})
	for caller := range callers {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				sent.Add(1)
				r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", fmt.Sprintf("c%d-%d", caller, i), "Deadline-Ms", "2000")...)
				switch {
				case r.readError != nil:
				case r.status == http.StatusOK:
					answered.Add(1)
				case r.status == http.StatusServiceUnavailable:
					refused.Add(1)
				}
			}
		})
	}
	h.await(func() bool { return answered.Load() > 200 }, "load")
	h.stop()
	g.Expect(<-h.done).To(Succeed())
	h.done <- nil
	close(stopped)
	running.Wait()
	t.Logf("%d sent, %d answered, %d refused", sent.Load(), answered.Load(), refused.Load())
	g.Eventually(func() int64 { return int64(receivedCount(desks)) }, time.Second).Should(Equal(answered.Load()), "every request that a server got is answered")
}
