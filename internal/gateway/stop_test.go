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

// occupyEngines sends streams until all slots of the servers are taken, which end after
// the test. It returns a function that waits for the ends of the streams.
func occupyEngines(h *testHost, engines []*standin.Server) (wait func() []reply) {
	const slots = 16
	for _, s := range engines {
		s.EventCount, s.EventInterval = 40, 200*time.Millisecond
	}
	var running sync.WaitGroup
	answers := make([]reply, slots*len(engines))
	for i := range answers {
		running.Go(func() { answers[i] = h.sendPrompt(fmt.Sprint("first-", i), "5c:40,own:20") })
	}
	h.await(func() bool { return receivedCount(engines) == len(answers) }, "all slots are taken")
	return func() []reply { running.Wait(); return answers }
}

// TestStopAnswersRequestsThatWait guards against requests that wait for a server when their
// host stops and end with a closed connection, although they were not run.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	wait := occupyEngines(h, engines)
	h.process.drain.grace = 1200 * time.Millisecond
	var waiting sync.WaitGroup
	var answers [4]reply
	for i := range answers {
		waiting.Go(func() { answers[i] = h.sendPrompt(fmt.Sprint("waiting-", i), "5c:40,own:20") })
	}
	h.await(func() bool { return h.process.control.inFlight() == 2*16+len(answers) }, "requests wait")
	h.stop()
	waiting.Wait()
	for _, a := range answers {
		g.Expect(a.readError).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(receivedCount(engines)).To(Equal(2*16), "a refusal means that it was not run")
	for _, a := range wait() {
		g.Expect(a.readError).To(HaveOccurred(), "an unfinished stream does not look complete")
	}
}

// TestStopAnswersCallsAtAServer guards against calls that end with a closed connection
// since their server is still at work when their host stops. They may have run.
func TestStopAnswersCallsAtAServer(t *testing.T) {
	for _, path := range []string{"/u/", "/g/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h, _, _, desks := setUp(t)
			setFault(desks, standin.Silent)
			h.process.drain.grace = 700 * time.Millisecond
			answer := make(chan reply, 1)
			go func() { answer <- h.sendCall("r-1", "POST", path) }()
			h.await(func() bool { return receivedCount(desks) > 0 }, "a server has it")
			h.stop()
			a := <-answer
			g.Expect(a.readError).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusBadGateway))
		})
	}
}
