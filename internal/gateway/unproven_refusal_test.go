package gateway

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestRefusalWithoutProofIsNotPassedOn guards against callers that send a request again
// which must run once, since its server has run it and answered with a status that promises
// the contrary.
func TestRefusalWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			h, other, _, _, desks := setUpCutOffHost(t)
			for _, s := range desks {
				s.CallStatus = status
			}
			for name, host := range map[string]*testHost{"cut off": h, "other": other} {
				before := receivedCount(desks)
				answer := host.sendCall("r-"+name, "POST", "/u/")
				g.Expect(answer.status).To(Equal(http.StatusBadGateway), name)
				g.Expect(receivedCount(desks)-before).To(Equal(1), "%s: run once", name)
			}
			g.Expect(other.sendCall("safe", "GET", "/g/").status).To(BeElementOf(status, http.StatusBadGateway), "a safe request may be sent again")
		})
	}
}
