package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

var (
	// keyHeaders are the headers of a call with a known API key, promptHeaders
	// those of a prompt.
	keyHeaders    = []string{"Authorization", "Token k1"}
	promptHeaders = []string{"Authorization", "Token k1", standin.HeaderUsage, "1000,50", "Model", "m", "Deadline-Ms", "5000"}
)

// withHeaders returns the headers with more names and values in turn.
func withHeaders(headers []string, more ...string) []string {
	return append(append([]string(nil), headers...), more...)
}

// expectedStream returns the whole stream that answers a request.
func expectedStream(request string, events int) string {
	var b strings.Builder
	for id := range events {
		b.WriteString(standin.FormatEvent(request, id))
	}
	return b.String()
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	r := h.send("POST", "/u/x%2f?a=1&b", "the body", withHeaders(keyHeaders, "Request-Id", "r1", "X-Own", "1")...)
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(BeElementOf(standin.FormatCallResponse("i-d1", "r1"), standin.FormatCallResponse("i-d2", "r1")))
	g.Expect(r.header.Get("Request-Id")).To(Equal("r1"))
	got := append(desks[0].ReceivedRequests(), desks[1].ReceivedRequests()...)[0]
	g.Expect([]string{got.Method, got.Target, got.Host, got.Body}).To(Equal([]string{"POST", "/u/x%2f?a=1&b", "a.example", "the body"}))
	g.Expect([]string{got.Header.Get("Tenant"), got.Header.Get("Authorization"), got.Header.Get("X-Own")}).To(Equal([]string{"t1", "", "1"}))
	r = h.send("POST", "/s/", "p", withHeaders(promptHeaders, "Request-Id", "r2")...)
	g.Expect(r.body).To(Equal(expectedStream("r2", 5)))
	g.Expect(r.header.Get(standin.HeaderSignature)).To(HavePrefix("i-e"))
	g.Expect(receivedCount(engines)).To(Equal(1))
}

func TestBadRequestsAreRefusedAndNotRun(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	for _, c := range []struct {
		path, body string
		headers    []string
		status     int
	}{
		{"/u/", "", keyHeaders, http.StatusBadRequest},
		{"/u/", "", withHeaders(keyHeaders, "Request-Id", "a", "Deadline-Ms", "x"), http.StatusBadRequest},
		{"/none/", "", withHeaders(keyHeaders, "Request-Id", "b"), http.StatusNotFound},
		{"/u/", "", []string{"Request-Id", "c"}, http.StatusUnauthorized},
		{"/u/", "", []string{"Request-Id", "d", "Authorization", "Token other"}, http.StatusUnauthorized},
		{"/u/", strings.Repeat("x", 1001), withHeaders(keyHeaders, "Request-Id", "e"), http.StatusRequestEntityTooLarge},
		{"/u/", "", withHeaders(keyHeaders, "Request-Id", "f", "X-Big", strings.Repeat("x", 9000)), http.StatusRequestHeaderFieldsTooLarge},
	} {
		g.Expect(h.send("POST", c.path, c.body, c.headers...).status).To(Equal(c.status), "%v", c.headers)
	}
	g.Expect(receivedCount(engines) + receivedCount(desks)).To(BeZero())
}

// TestInterruptedStreamResumesOnAnotherServer breaks a stream off within an
// event. The caller must get every event once, after the header from the first
// server.
func TestInterruptedStreamResumesOnAnotherServer(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	engines[0].SetFault(standin.Truncating)
	engines[1].SetFault(standin.Truncating)
	go func() {
		h.await(func() bool { return receivedCount(engines) > 0 }, "the first attempt")
		setFault(engines, standin.Healthy)
	}()
	for _, e := range engines {
		e.EventInterval = 30 * time.Millisecond
	}
	resumed := h.send("POST", "/s/", "p", withHeaders(promptHeaders, "Request-Id", "r1")...)
	g.Expect(resumed.readError).NotTo(HaveOccurred())
	g.Expect(resumed.body).To(Equal(expectedStream("r1", 5)))
}

// TestUnfinishedStreamDoesNotLookComplete has every attempt break off. The
// caller must see that the answer is not complete.
func TestUnfinishedStreamDoesNotLookComplete(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, e := range engines {
		e.EventCount = 50
	}
	setFault(engines, standin.Truncating)
	r := h.send("POST", "/s/", "p", withHeaders(promptHeaders, "Request-Id", "r1")...)
	g.Expect(r.readError).To(HaveOccurred())
	g.Expect(expectedStream("r1", 50)).To(HavePrefix(r.body))
	g.Expect(receivedCount(engines)).To(Equal(2), "a request runs on as many servers as its route allows")
}

// TestUnsafeRequestRunsOnce loses the answer to a request that must not be
// repeated. The request must fail after one attempt.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Truncating, standin.WrongRequestID, standin.Silent} {
		t.Run(string(fault), func(t *testing.T) {
			g := NewWithT(t)
			h, _, _, desks := setUp(t)
			setFault(desks, fault)
			r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r1", "Deadline-Ms", "300")...)
			g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "these statuses don't say whether the request was run")
			g.Expect(r.header.Get("Retry-After")).To(BeEmpty())
			g.Expect(receivedCount(desks)).To(Equal(1))
		})
	}
}

// TestServerFailureIsForwarded has all servers run requests and answer 500. An
// unsafe call is sent once, a safe one twice.
func TestServerFailureIsForwarded(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	setFault(desks, standin.Failing)
	r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r1")...)
	g.Expect([]any{r.status, r.header.Get(standin.HeaderSignature) != "", receivedCount(desks)}).To(Equal([]any{500, true, 1}))
	r = h.send("GET", "/g/", "", withHeaders(keyHeaders, "Request-Id", "r2")...)
	g.Expect([]any{r.status, receivedCount(desks)}).To(Equal([]any{500, 3}))
}

// TestSafeRequestIsRetriedOnAnotherServer has one of two servers receive
// requests and never answer.
func TestSafeRequestIsRetriedOnAnotherServer(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	desks[0].SetFault(standin.Silent)
	for i := range 4 {
		r := h.send("GET", "/g/", "", withHeaders(keyHeaders, "Request-Id", fmt.Sprint("r", i))...)
		g.Expect(r.body).To(Equal(standin.FormatCallResponse("i-d2", fmt.Sprint("r", i))))
	}
}

// TestRefusalMeansTheRequestWasNotRun has all servers refuse requests and state
// that they did not run them.
func TestRefusalMeansTheRequestWasNotRun(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	setFault(desks, standin.Full)
	r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r1", "Deadline-Ms", "400")...)
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestRequestToServiceWithoutServersIsRefusedAtOnce has all servers of a
// service announce that they leave.
func TestRequestToServiceWithoutServersIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	h, store, _, desks := setUp(t)
	for _, d := range desks {
		d.Register(store, "desk", "a", "draining")
	}
	h.await(func() bool {
		started := time.Now()
		r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r1")...)
		return r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "" && time.Since(started) < 200*time.Millisecond
	}, "a refusal at once")
	before := receivedCount(desks)
	h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r2")...)
	g.Expect(receivedCount(desks)).To(Equal(before))
}

func TestWorkIsCancelledWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, e := range engines {
		e.EventCount, e.EventInterval = 1000, 5*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/s/", strings.NewReader("p"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "a.example"
	for i := 0; i < len(promptHeaders); i += 2 {
		r.Header.Set(promptHeaders[i], promptHeaders[i+1])
	}
	r.Header.Set("Request-Id", "r1")
	response, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	<-ctx.Done()
	response.Body.Close()
	h.await(func() bool { return engines[0].CancelledRequests()+engines[1].CancelledRequests() == 1 }, "the work cancelled at the server")
}

// TestPromptLargerThanOneServerUsesTwo sends a prompt that needs the memory of
// both servers, which must be released afterwards, and one that exceeds it.
func TestPromptLargerThanOneServerUsesTwo(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	r := h.send("POST", "/s/", "p", withHeaders(keyHeaders, "Request-Id", "r1", standin.HeaderUsage, "150000,50")...)
	g.Expect(r.body).To(Equal(expectedStream("r1", 5)))
	got := append(engines[0].ReceivedRequests(), engines[1].ReceivedRequests()...)
	g.Expect(got).To(HaveLen(1))
	g.Expect(strings.Split(got[0].Header.Get("Helpers"), ",")).To(HaveLen(2))
	h.await(func() bool { return engines[0].Reservations()+engines[1].Reservations() == 0 }, "all memory released")
	r = h.send("POST", "/s/", "p", withHeaders(keyHeaders, "Request-Id", "r2", standin.HeaderUsage, "500000,50")...)
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), "a prompt that can never fit is refused")
}

// TestStoppingHostFinishesItsRequests stops the process during a stream. The
// process must not end when the listener does, since requests are still in
// flight then.
func TestStoppingHostFinishesItsRequests(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, e := range engines {
		e.EventCount, e.EventInterval = 40, 100*time.Millisecond
	}
	replies := make(chan reply, 1)
	go func() { replies <- h.send("POST", "/s/", "p", withHeaders(promptHeaders, "Request-Id", "r1")...) }()
	h.await(func() bool { return receivedCount(engines) == 1 }, "the request at a server")
	h.stop()
	h.await(func() bool { return h.status(h.ready) == http.StatusServiceUnavailable }, "the host not ready any more")
	r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "r2")...)
	g.Expect([]any{r.status, r.closes}).To(Equal([]any{200, true}), "requests are served until the load balancer has noticed")
	g.Expect((<-replies).body).To(Equal(expectedStream("r1", 40)))
	g.Expect(<-h.done).To(Succeed())
	h.done <- nil
}
