package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// largeAnswerBytes is the size of an answer that is forwarded while it is read.
const largeAnswerBytes = maxBufferedBytes * 3 / 2

// expectWholeOrBroken lets the server that a host prefers send answers without end, and
// expects that no caller gets what looks like a complete answer and is not the whole
// answer of one server.
func expectWholeOrBroken(t *testing.T, h *testHost, desks []*standin.Server) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(h.sendCall("first", "GET", "/g/").status).To(Equal(http.StatusOK))
	spoiling := desks[0]
	if received := desks[1].ReceivedRequests(); len(received) > 0 && received[len(received)-1].ID == "first" {
		spoiling = desks[1]
	}
	before := len(spoiling.ReceivedRequests())
	spoiling.SetFault(standin.EndlessAnswer)
	whole, broken := 0, 0
	for i := range 6 {
		id := fmt.Sprint("r-", i)
		answer := h.sendCall(id, "GET", "/g/")
		if answer.readError != nil {
			broken++
			continue
		}
		whole++
		g.Expect(answer.body).To(BeElementOf(standin.FormatCallResponse(desks[0].ID, id), standin.FormatCallResponse(desks[1].ID, id)), "%s: %d bytes", id, len(answer.body))
	}
	g.Expect(len(spoiling.ReceivedRequests())).To(BeNumerically(">", before))
	t.Logf("%d whole answers, %d broken off", whole, broken)
}

// TestAnswerWithoutEndIsNotFollowedByAnotherServers guards against an answer that is made
// of the first bytes of one server's answer and the whole answer of another one.
func TestAnswerWithoutEndIsNotFollowedByAnotherServers(t *testing.T) {
	h, _, _, desks := setUp(t)
	expectWholeOrBroken(t, h, desks)
}

// TestAnswerWithoutEndThroughAnotherHostIsBrokenOff guards against the same when another
// host passes the answer on.
func TestAnswerWithoutEndThroughAnotherHostIsBrokenOff(t *testing.T) {
	h, _, _, _, desks := setUpCutOffHost(t)
	expectWholeOrBroken(t, h, desks)
}

// TestLargeAnswerWithAPauseIsDelivered guards against sound servers whose large answers
// are broken off, or sent for again, since they fall silent for a moment.
func TestLargeAnswerWithAPauseIsDelivered(t *testing.T) {
	for _, path := range []string{"/g/", "/u/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h, _, _, desks := setUp(t)
			for _, s := range desks {
				s.CallBytes, s.Pause = largeAnswerBytes, 400*time.Millisecond
			}
			setFault(desks, standin.Pausing)
			answer := h.sendCall("r-1", "POST", path)
			g.Expect(answer.readError).NotTo(HaveOccurred())
			g.Expect(answer.status).To(Equal(http.StatusOK))
			g.Expect(answer.body).To(HaveLen(largeAnswerBytes))
			g.Expect(receivedCount(desks)).To(Equal(1), "not sent again")
		})
	}
}
