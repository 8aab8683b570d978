package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// TestAnswersThatEndWithTheirConnectionAreDelivered guards against answers that are
// lost because they have neither a length nor chunks.
func TestAnswersThatEndWithTheirConnectionAreDelivered(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	setFault(engines, standin.Unframed)
	setFault(desks, standin.Unframed)
	stream := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(stream.readError).NotTo(HaveOccurred())
	g.Expect(stream.body).To(Equal(expectedStream("r-1", engines[0].EventCount)))
	call := h.send("GET", "/g/", "", standin.HeaderRequestID, "r-2", standin.HeaderKey, standin.KeyHeaderValue("k1"))
	g.Expect(call.status).To(Equal(http.StatusOK))
	g.Expect(call.body).To(HaveSuffix("for r-2"))
}

// expectStreamFromTheOtherServer sends prompts to two servers, one of which has a fault,
// and expects whole streams. It returns the host and the servers.
func expectStreamFromTheOtherServer(t *testing.T, fault standin.Fault) (*testHost, []*standin.Server) {
	t.Helper()
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	engines[0].SetFault(fault)
	engines[1].SetFault(standin.Unframed)
	for range 4 {
		answer := h.sendPrompt("r-1", "5c:40,own:20")
		g.Expect(answer.readError).NotTo(HaveOccurred())
		g.Expect(answer.body).To(Equal(expectedStream("r-1", engines[0].EventCount)))
	}
	g.Expect(receivedCount(engines[:1])).To(BeNumerically(">", 0))
	return h, engines
}

// TestStreamThatClosesWithinAnEventIsBrokenOff guards against streams without length
// or chunks that look complete although their server broke them off.
func TestStreamThatClosesWithinAnEventIsBrokenOff(t *testing.T) {
	h, engines := expectStreamFromTheOtherServer(t, standin.UnframedTruncating)
	setFault(engines, standin.UnframedTruncating)
	NewWithT(t).Expect(h.sendPrompt("r-2", "5c:40,own:20").readError).To(HaveOccurred(), "no server completes it")
}

// TestStreamThatClosesBeforeItsFirstEventIsRepeated guards against a crash that looks
// like an empty stream when its answer has neither a length nor chunks.
func TestStreamThatClosesBeforeItsFirstEventIsRepeated(t *testing.T) {
	expectStreamFromTheOtherServer(t, standin.UnframedEmpty)
}

// TestStalledStreamsAreContinuedElsewhere guards against streams that never end because
// their server sends a byte, or a comment, now and then.
func TestStalledStreamsAreContinuedElsewhere(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Dripping, standin.Pinging} {
		t.Run(string(fault), func(t *testing.T) {
			g := NewWithT(t)
			h, _, engines, _ := setUp(t)
			setFault(engines, fault)
			for _, s := range engines {
				s.EventCount = 4
			}
			start := time.Now()
			answer := h.sendPrompt("r-1", "5c:40,own:20")
			g.Expect(answer.readError).NotTo(HaveOccurred())
			g.Expect(strings.ReplaceAll(answer.body, ": still here\n\n", "")).To(Equal(expectedStream("r-1", 4)))
			g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second), "not held until the deadline")
			g.Expect(receivedCount(engines)).To(Equal(2))
		})
	}
}

// TestEndlessBytesAreCutOff guards against servers that send a header or a body
// without end until the host closes the connection.
func TestEndlessBytesAreCutOff(t *testing.T) {
	for _, fault := range []standin.Fault{standin.EndlessHeader, standin.EndlessBody, standin.EndlessFailure} {
		t.Run(string(fault), func(t *testing.T) {
			g := NewWithT(t)
			h, _, engines, desks := setUp(t)
			setFault(engines, fault)
			setFault(desks, fault)
			for _, request := range []struct{ path, usage string }{{"/s/", "100,20"}, {"/u/", ""}, {"/g/", ""}} {
				start := time.Now()
				answer := h.send("POST", request.path, "", standin.HeaderRequestID, "r", standin.HeaderKey, standin.KeyHeaderValue("k1"), standin.HeaderUsage, request.usage)
				g.Expect(answer.status).To(Equal(http.StatusBadGateway), request.path)
				g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "not held until the deadline")
			}
			for _, s := range append(engines, desks...) {
				g.Eventually(func() int { return s.CancelledRequests() - len(s.ReceivedRequests()) }, 3*time.Second).Should(BeZero(), "its connections are closed")
			}
		})
	}
}

// TestServerThatPausesIsLeftToFinish guards against streams that are sent again
// because a sound server fell silent for a moment.
func TestServerThatPausesIsLeftToFinish(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	setFault(engines, standin.Pausing)
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(expectedStream("r-1", engines[0].EventCount)))
	g.Expect(receivedCount(engines)).To(Equal(1), "not sent again")
	g.Expect(h.logs.hasEvent(7020)).To(BeFalse(), "no server is avoided")
}

// TestServerThatIsSilentBeforeItsAnswerIsLeftToAnswer guards against requests that are
// sent again in a rush since a sound server was silent for a second.
func TestServerThatIsSilentBeforeItsAnswerIsLeftToAnswer(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, s := range engines {
		s.EventInterval, s.EventCount = 1100*time.Millisecond, 2
	}
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(expectedStream("r-1", 2)))
	g.Expect(receivedCount(engines)).To(Equal(1), "not sent again")
	g.Expect(h.logs.hasEvent(7020)).To(BeFalse(), "no server is avoided")
}

// TestNoiseWithinAStreamIsNotPassedOn guards against bytes that are no events between the
// events of a stream that another server continues.
func TestNoiseWithinAStreamIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	h, engines := expectStreamFromTheOtherServer(t, standin.NoisyStream)
	setFault(engines, standin.NoisyStream)
	answer := h.sendPrompt("r-2", "5c:40,own:20")
	g.Expect(answer.readError).To(HaveOccurred(), "no server completes it")
	g.Expect(expectedStream("r-2", engines[0].EventCount)).To(HavePrefix(answer.body))
}

// TestNoiseThroughAnotherHostIsNotPassedOn guards against the same when another host passes
// the stream on.
func TestNoiseThroughAnotherHostIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	h, _, _, engines, _ := setUpCutOffHost(t)
	setFault(engines, standin.NoisyStream)
	for _, s := range engines {
		s.EventCount = 4
	}
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(expectedStream("r-1", 4)))
	g.Expect(h.logs.hasEvent(7008)).To(BeTrue(), "another host was asked")
}

// TestErrorInPlaceOfTheRestIsNotPassedOn breaks streams off and lets the next server answer
// with something else than the rest. It guards against an error's text within a stream,
// and against a stream that ends as if it were complete.
func TestErrorInPlaceOfTheRestIsNotPassedOn(t *testing.T) {
	for _, status := range []int{204, 206, 302, 400, 404, 413, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			h, _, engines, _ := setUp(t)
			setFault(engines, standin.Truncating)
			for _, s := range engines {
				s.ResumeStatus = status
			}
			answer := h.sendPrompt("r-1", "5c:40,own:20")
			g.Expect(answer.status).To(Equal(http.StatusOK), "the stream had begun")
			g.Expect(answer.readError).To(HaveOccurred(), "it does not look complete")
			g.Expect(answer.body).To(Equal(expectedStream("r-1", 2)))
			g.Expect(receivedCount(engines)).To(Equal(2))
		})
	}
}

// TestErrorThroughAnotherHostInPlaceOfTheRestIsNotPassedOn guards against the same when
// another host passes the answers on.
func TestErrorThroughAnotherHostInPlaceOfTheRestIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	h, _, _, engines, _ := setUpCutOffHost(t)
	setFault(engines, standin.Truncating)
	for _, s := range engines {
		s.ResumeStatus = http.StatusNoContent
	}
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).To(HaveOccurred(), "it does not look complete")
	g.Expect(answer.body).To(Equal(expectedStream("r-1", 2)))
}

// TestEmptyRestWithoutLengthIsNotTheEnd guards against a stream that ends as if it were
// complete, since the server that was to go on with it ended before its first event.
func TestEmptyRestWithoutLengthIsNotTheEnd(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	setFault(engines, standin.Truncating)
	for _, s := range engines {
		s.EventInterval = 100 * time.Millisecond
	}
	go func() {
		h.await(func() bool { return receivedCount(engines) == 1 }, "a server has the request")
		setFault(engines, standin.UnframedEmpty)
	}()
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).To(HaveOccurred(), "it does not look complete")
	g.Expect(answer.body).To(Equal(expectedStream("r-1", 2)))
}

// TestSilentServerIsKeptWhileNoOtherCanAnswer guards against a request that is taken from a
// sound server which is silent for a moment, waits for another one in vain, and fails while
// the first one goes on.
func TestSilentServerIsKeptWhileNoOtherCanAnswer(t *testing.T) {
	for name, faults := range map[string]struct{ beforeFirst, within time.Duration }{
		"before the answer": {beforeFirst: 1600 * time.Millisecond},
		"within the answer": {within: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, store, engines, _ := setUp(t)
			store.Remove(standin.KindServers, engines[1].ID)
			h.await(func() bool { return h.serverCount("llm") == 1 }, "one server is left")
			engines[0].EventCount = 4
			if faults.within > 0 {
				engines[0].Pause = faults.within
				setFault(engines, standin.Pausing)
			} else {
				engines[0].EventInterval, engines[0].EventCount = faults.beforeFirst, 1
			}
			answer := h.sendPrompt("r-1", "5c:40,own:20")
			g.Expect(answer.readError).NotTo(HaveOccurred())
			g.Expect(answer.body).To(Equal(expectedStream("r-1", engines[0].EventCount)))
			g.Expect(receivedCount(engines)).To(Equal(1), "not sent again")
		})
	}
}

// serverCount returns the number of servers of a service that the host knows.
func (h *testHost) serverCount(service string) (n int) {
	dump, err := h.process.Dump(context.Background())
	if err != nil {
		h.t.Fatal(err)
	}
	for _, u := range dump.(balance.Dump).Upstreams {
		if u.Service == service {
			n++
		}
	}
	return n
}
