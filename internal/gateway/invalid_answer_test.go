package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// expectNothingLeft expects that nothing of any request is left in the host: neither in the
// decision core, nor at a server as far as the core knows, nor in its memory.
func (h *testHost) expectNothingLeft() {
	h.t.Helper()
	NewWithT(h.t).Eventually(func(g Gomega) {
		dump, err := h.process.Dump(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		core := dump.(balance.Dump)
		g.Expect([]int{core.Waiting, core.InFlight, h.process.control.inFlight()}).To(Equal([]int{0, 0, 0}), "waiting, at servers, goroutines")
		for _, u := range core.Upstreams {
			g.Expect([]int{u.Requests, u.HelperParts, u.MemoryTokens}).To(Equal([]int{0, 0, 0}), u.ID)
		}
		held := h.process.budget.Figures().Held
		g.Expect([]int64{held[memory.Request], held[memory.Answer]}).To(Equal([]int64{0, 0}), "held for requests and answers")
	}, 2*time.Second, 20*time.Millisecond).Should(Succeed())
}

// panickingWriter is a response whose header can't be sent.
type panickingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (panickingWriter) WriteHeader(int) { panic("test") }

// TestPanicLeavesNothingBehind guards against requests that take their place at a server
// until the process ends, since the goroutine that answered them has panicked.
func TestPanicLeavesNothingBehind(t *testing.T) {
	for _, path := range []string{"/s/", "/u/", "/g/"} {
		t.Run(path, func(t *testing.T) {
			h, _, _, _ := setUp(t)
			r := httptest.NewRequest("POST", path, http.NoBody)
			r.Host = standin.RouteHost
			r.Header.Set(standin.HeaderRequestID, "r-1")
			r.Header.Set(standin.HeaderKey, standin.KeyHeaderValue("k1"))
			if path == "/s/" {
				r.Header.Set(standin.HeaderUsage, "100,20")
			}
			NewWithT(t).Expect(func() { h.process.ingress.ServeHTTP(panickingWriter{httptest.NewRecorder()}, r) }).To(PanicWith("test"))
			NewWithT(t).Expect(h.logs.hasEvent(7009)).To(BeTrue(), "logged")
			h.expectNothingLeft()
		})
	}
}

// TestInvalidStatusLeavesNothingBehind guards against the same for an answer whose status
// can't be passed on.
func TestInvalidStatusLeavesNothingBehind(t *testing.T) {
	h, _, engines, desks := setUp(t)
	for _, s := range append(engines, desks...) {
		s.SetRawAnswer("HTTP/1.1 000 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, path := range []string{"/s/", "/u/", "/g/"} {
		h.sendCall("r-1", "POST", path)
	}
	h.expectNothingLeft()
}
