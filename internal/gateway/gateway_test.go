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
	key    = []string{"Authorization", "Token k1"}
	prompt = []string{"Authorization", "Token k1", standin.HeaderUsage, "1000,50", "Model", "m", "Deadline-Ms", "5000"}
)

func with(headers []string, more ...string) []string {
	return append(append([]string(nil), headers...), more...)
}

func wholeStream(request string, events int) string {
	var b strings.Builder
	for id := range events {
		b.WriteString(standin.FormatEvent(request, id))
	}
	return b.String()
}

func TestRequestsArePassedOnUnchanged(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	r := h.ask("POST", "/u/x%2f?a=1&b", "the body", with(key, "Request-Id", "r1", "X-Own", "1")...)
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(BeElementOf(standin.FormatCallResponse("i-d1", "r1"), standin.FormatCallResponse("i-d2", "r1")))
	g.Expect(r.header.Get("Request-Id")).To(Equal("r1"))
	got := append(desks[0].ReceivedRequests(), desks[1].ReceivedRequests()...)[0]
	g.Expect([]string{got.Method, got.Target, got.Host, got.Body}).To(Equal([]string{"POST", "/u/x%2f?a=1&b", "a.example", "the body"}))
	g.Expect([]string{got.Header.Get("Tenant"), got.Header.Get("Authorization"), got.Header.Get("X-Own")}).To(Equal([]string{"t1", "", "1"}))
	r = h.ask("POST", "/s/", "p", with(prompt, "Request-Id", "r2")...)
	g.Expect(r.body).To(Equal(wholeStream("r2", 5)))
	g.Expect(r.header.Get(standin.HeaderSignature)).To(HavePrefix("i-e"))
	g.Expect(received(engines)).To(Equal(1))
}

func TestBadRequestsAreRefusedAndNotRun(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	for _, c := range []struct {
		path, body string
		headers    []string
		status     int
	}{
		{"/u/", "", key, http.StatusBadRequest},
		{"/u/", "", with(key, "Request-Id", "a", "Deadline-Ms", "x"), http.StatusBadRequest},
		{"/none/", "", with(key, "Request-Id", "b"), http.StatusNotFound},
		{"/u/", "", []string{"Request-Id", "c"}, http.StatusUnauthorized},
		{"/u/", "", []string{"Request-Id", "d", "Authorization", "Token other"}, http.StatusUnauthorized},
		{"/u/", strings.Repeat("x", 1001), with(key, "Request-Id", "e"), http.StatusRequestEntityTooLarge},
		{"/u/", "", with(key, "Request-Id", "f", "X-Big", strings.Repeat("x", 9000)), http.StatusRequestHeaderFieldsTooLarge},
	} {
		g.Expect(h.ask("POST", c.path, c.body, c.headers...).status).To(Equal(c.status), "%v", c.headers)
	}
	g.Expect(received(engines) + received(desks)).To(BeZero())
}

// TestStreamGoesOnElsewhere breaks a stream within an event. The caller gets
// every event once, with the head of the first server.
func TestStreamGoesOnElsewhere(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	engines[0].SetFault(standin.Truncating)
	engines[1].SetFault(standin.Truncating)
	go func() {
		h.await(func() bool { return received(engines) > 0 }, "the first attempt")
		setFault(engines, standin.Healthy)
	}()
	for _, e := range engines {
		e.EventInterval = 30 * time.Millisecond
	}
	first := h.ask("POST", "/s/", "p", with(prompt, "Request-Id", "r1")...)
	g.Expect(first.broken).NotTo(HaveOccurred())
	g.Expect(first.body).To(Equal(wholeStream("r1", 5)))
}

// TestUnfinishedStreamDoesNotLookComplete breaks every attempt.
func TestUnfinishedStreamDoesNotLookComplete(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, e := range engines {
		e.EventCount = 50
	}
	setFault(engines, standin.Truncating)
	r := h.ask("POST", "/s/", "p", with(prompt, "Request-Id", "r1")...)
	g.Expect(r.broken).To(HaveOccurred())
	g.Expect(wholeStream("r1", 50)).To(HavePrefix(r.body))
	g.Expect(received(engines)).To(Equal(2), "a request runs on as many servers as its route allows")
}

// TestUnsafeRequestRunsOnce loses the answer of a request that may not be
// repeated, and has it fail.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Truncating, standin.WrongRequestID, standin.Silent} {
		t.Run(string(fault), func(t *testing.T) {
			g := NewWithT(t)
			h, _, _, desks := setUp(t)
			setFault(desks, fault)
			r := h.ask("POST", "/u/", "b", with(key, "Request-Id", "r1", "Deadline-Ms", "300")...)
			g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "these promise nothing")
			g.Expect(r.header.Get("Retry-After")).To(BeEmpty())
			g.Expect(received(desks)).To(Equal(1))
		})
	}
}

func TestFailureOfTheServerIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	setFault(desks, standin.Failing)
	r := h.ask("POST", "/u/", "b", with(key, "Request-Id", "r1")...)
	g.Expect([]any{r.status, r.header.Get(standin.HeaderSignature) != "", received(desks)}).To(Equal([]any{500, true, 1}))
	r = h.ask("GET", "/g/", "", with(key, "Request-Id", "r2")...)
	g.Expect([]any{r.status, received(desks)}).To(Equal([]any{500, 3}))
}

// TestSafeRequestIsAskedElsewhere has one of two servers fall silent.
func TestSafeRequestIsAskedElsewhere(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	desks[0].SetFault(standin.Silent)
	for i := range 4 {
		r := h.ask("GET", "/g/", "", with(key, "Request-Id", fmt.Sprint("r", i))...)
		g.Expect(r.body).To(Equal(standin.FormatCallResponse("i-d2", fmt.Sprint("r", i))))
	}
}

// TestRefusalPromisesNotRun has all servers refuse with proof.
func TestRefusalPromisesNotRun(t *testing.T) {
	g := NewWithT(t)
	h, _, _, desks := setUp(t)
	setFault(desks, standin.Full)
	r := h.ask("POST", "/u/", "b", with(key, "Request-Id", "r1", "Deadline-Ms", "400")...)
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestServiceWithoutServersIsRefusedAtOnce lets all servers leave.
func TestServiceWithoutServersIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	h, store, _, desks := setUp(t)
	for _, d := range desks {
		d.Register(store, "desk", "a", "draining")
	}
	h.await(func() bool {
		started := time.Now()
		r := h.ask("POST", "/u/", "b", with(key, "Request-Id", "r1")...)
		return r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "" && time.Since(started) < 200*time.Millisecond
	}, "a refusal at once")
	before := received(desks)
	h.ask("POST", "/u/", "b", with(key, "Request-Id", "r2")...)
	g.Expect(received(desks)).To(Equal(before))
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
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
	for i := 0; i < len(prompt); i += 2 {
		r.Header.Set(prompt[i], prompt[i+1])
	}
	r.Header.Set("Request-Id", "r1")
	response, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	<-ctx.Done()
	response.Body.Close()
	h.await(func() bool { return engines[0].CancelledRequests()+engines[1].CancelledRequests() == 1 }, "the end of the work")
}

// TestPromptLargerThanAServer needs the memory of both servers and gives it back.
func TestPromptLargerThanAServer(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	r := h.ask("POST", "/s/", "p", with(key, "Request-Id", "r1", standin.HeaderUsage, "150000,50")...)
	g.Expect(r.body).To(Equal(wholeStream("r1", 5)))
	got := append(engines[0].ReceivedRequests(), engines[1].ReceivedRequests()...)
	g.Expect(got).To(HaveLen(1))
	g.Expect(strings.Split(got[0].Header.Get("Helpers"), ",")).To(HaveLen(2))
	h.await(func() bool { return engines[0].Reservations()+engines[1].Reservations() == 0 }, "all memory given back")
	r = h.ask("POST", "/s/", "p", with(key, "Request-Id", "r2", standin.HeaderUsage, "500000,50")...)
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), "what no wait can serve is refused")
}

// TestStoppingHostFinishesItsRequests stops the process within a stream. The
// end of the listener once ended the process with requests in flight.
func TestStoppingHostFinishesItsRequests(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, _ := setUp(t)
	for _, e := range engines {
		e.EventCount, e.EventInterval = 40, 100*time.Millisecond
	}
	replies := make(chan reply, 1)
	go func() { replies <- h.ask("POST", "/s/", "p", with(prompt, "Request-Id", "r1")...) }()
	h.await(func() bool { return received(engines) == 1 }, "the request at a server")
	h.stop()
	h.await(func() bool { return h.status(h.ready) == http.StatusServiceUnavailable }, "not ready any more")
	r := h.ask("POST", "/u/", "b", with(key, "Request-Id", "r2")...)
	g.Expect([]any{r.status, r.closes}).To(Equal([]any{200, true}), "until the balancer has noticed, requests are served")
	g.Expect((<-replies).body).To(Equal(wholeStream("r1", 40)))
	g.Expect(<-h.done).To(Succeed())
	h.done <- nil
}
