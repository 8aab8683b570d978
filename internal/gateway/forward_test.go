package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// setUpCutOffHost starts a host that is cut off from all servers, and another one that
// is not, and waits until the first one has noticed.
func setUpCutOffHost(t *testing.T) (cutOff, other *testHost, link *partition, engines, desks []*standin.Server) {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	servers, desks := startServers(t, store, 2, 2)
	link = newPartition(servers, false)
	cutOff, other = startHostWithDialer(t, "h1", store, link), startHost(t, "h2", store)
	link.cut.Store(true)
	cutOff.await(func() bool { return cutOff.sendCall("warm-up", "GET", "/g/").status == http.StatusOK }, "requests are passed on")
	return cutOff, other, link, servers[:2], desks
}

// canForward reports whether the host knows another one that takes requests.
func (h *testHost) canForward() bool {
	result := make(chan bool, 1)
	h.process.control.inspect <- func(core *balance.Core, now time.Duration) { result <- core.CanForward(now) }
	return <-result
}

// sendCall sends a request for a call.
func (h *testHost) sendCall(id, method, path string) reply {
	return h.send(method, path, "", standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"))
}

// TestForwardedRequestReachesTheServerUnchanged guards against a key, a time limit or a
// body that is lost or forged on the way over two hosts.
func TestForwardedRequestReachesTheServerUnchanged(t *testing.T) {
	g := NewWithT(t)
	h, _, _, _, desks := setUpCutOffHost(t)
	answer := h.send("POST", "/u/x%2fy?q=1", "the body", standin.HeaderRequestID, "r-1", standin.HeaderKey, standin.KeyHeaderValue("k1"),
		standin.HeaderDeadline, "900", "Tenant", "forged", "X-Own", "kept")
	g.Expect(answer.status).To(Equal(http.StatusOK))
	g.Expect(answer.header.Get(standin.HeaderSignature)).NotTo(BeEmpty())
	g.Expect(h.logs.hasEvent(7008)).To(BeTrue())
	for _, s := range desks {
		for _, r := range s.ReceivedRequests() {
			if r.ID != "r-1" {
				continue
			}
			g.Expect([]string{r.Method, r.Target, r.Host, r.Body}).To(Equal([]string{"POST", "/u/x%2fy?q=1", "a.example", "the body"}))
			g.Expect(r.Header.Get("Tenant")).To(Equal("t1"))
			g.Expect(r.Header.Get("X-Own")).To(Equal("kept"))
			g.Expect(r.Header.Get(standin.HeaderKey)).To(BeEmpty())
			g.Expect(r.Header.Get(headerPriorRuns)).To(BeEmpty())
			g.Expect(r.Header.Get(standin.HeaderDeadline)).To(MatchRegexp("^[5-8][0-9][0-9]$"), "less than the caller's 900 ms")
			return
		}
	}
	t.Fatal("no server got the request")
}

// TestStreamIsResumedThroughAnotherHost lets the server of a stream break it off after
// the host has lost its paths to all servers.
func TestStreamIsResumedThroughAnotherHost(t *testing.T) {
	g := NewWithT(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	servers, _ := startServers(t, store, 2, 1)
	link := newPartition(servers, false)
	h, _ := startHostWithDialer(t, "h1", store, link), startHost(t, "h2", store)
	h.await(h.canForward, "the hosts know each other")
	for _, s := range servers {
		s.EventInterval = 150 * time.Millisecond
	}
	setFault(servers[:2], standin.Truncating)
	time.AfterFunc(250*time.Millisecond, func() {
		link.cut.Store(true)
		setFault(servers[:2], standin.Healthy)
	})
	answer := h.sendPrompt("r-1", "5c:40,own:20")
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(expectedStream("r-1", servers[0].EventCount)))
	g.Expect(h.logs.hasEvent(7008)).To(BeTrue())
}

// TestCallerThatLeavesEndsTheWorkBehindTwoHosts guards against servers that work on for
// callers of another host.
func TestCallerThatLeavesEndsTheWorkBehindTwoHosts(t *testing.T) {
	g := NewWithT(t)
	h, _, _, engines, _ := setUpCutOffHost(t)
	setFault(engines, standin.Silent)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/s/", strings.NewReader(""))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = standin.RouteHost
	r.Header = http.Header{standin.HeaderRequestID: {"r-1"}, standin.HeaderKey: {standin.KeyHeaderValue("k1")}, standin.HeaderUsage: {"100,20"}}
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			response.Body.Close()
		}
	}()
	h.await(func() bool { return receivedCount(engines) == 1 }, "a server has the request")
	cancel()
	h.await(func() bool { return engines[0].CancelledRequests()+engines[1].CancelledRequests() == 1 }, "its work is cancelled")
}

// TestRefusalsAndFailuresAreTrueAcrossTwoHosts guards against answers that promise that
// a request has not run when it may have, or the reverse.
func TestRefusalsAndFailuresAreTrueAcrossTwoHosts(t *testing.T) {
	g := NewWithT(t)
	h, _, _, _, desks := setUpCutOffHost(t)
	setFault(desks, standin.Full)
	g.Expect(h.sendCall("full", "POST", "/u/").status).To(Equal(http.StatusServiceUnavailable))
	setFault(desks, standin.Truncating)
	g.Expect(h.sendCall("lost", "POST", "/u/").status).To(Equal(http.StatusBadGateway))
	setFault(desks, standin.Failing)
	failure := h.sendCall("failing", "POST", "/u/")
	g.Expect(failure.status).To(Equal(http.StatusInternalServerError))
	g.Expect(failure.header.Get(standin.HeaderSignature)).NotTo(BeEmpty(), "the server's own answer")
	setFault(desks, standin.Healthy)
	g.Expect(h.send("POST", "/u/", "", standin.HeaderRequestID, "key", standin.HeaderKey, standin.KeyHeaderValue("wrong")).status).To(Equal(http.StatusUnauthorized))
	for _, id := range []string{"lost", "failing"} {
		runs := 0
		for _, s := range desks {
			for _, r := range s.ReceivedRequests() {
				if r.ID == id {
					runs++
				}
			}
		}
		g.Expect(runs).To(Equal(1), id)
	}
}

// TestServersCanNotSpeakForHosts guards against a server whose headers make a request
// that it has run look refused by the host in between.
func TestServersCanNotSpeakForHosts(t *testing.T) {
	g := NewWithT(t)
	h, _, _, _, desks := setUpCutOffHost(t)
	for _, s := range desks {
		s.Header = http.Header{headerRefused: {"overloaded"}, headerFailed: {"time_limit"}}
	}
	answer := h.sendCall("r-1", "POST", "/u/")
	g.Expect(answer.status).To(Equal(http.StatusOK))
	g.Expect(answer.header).NotTo(HaveKey(headerRefused))
	g.Expect(answer.header).NotTo(HaveKey(headerFailed))
}

// TestHostGoesBackToItsOwnPaths guards against a host that stays with others after its
// paths are back.
func TestHostGoesBackToItsOwnPaths(t *testing.T) {
	g := NewWithT(t)
	h, _, link, _, _ := setUpCutOffHost(t)
	link.cut.Store(false)
	h.await(func() bool {
		answer := h.sendCall("back", "GET", "/g/")
		lines := h.logs.linesOf("back")
		_, own := lines[len(lines)-1]["first_ms"]
		return answer.status == http.StatusOK && own && lines[len(lines)-2]["backlog_ms"] != nil
	}, "sent to a server directly")
	g.Expect(h.status(h.ready)).To(Equal(http.StatusOK))
}

// TestStoppingHostFinishesWhatItTookFromOthers guards against requests that end with
// the host to which they were passed on.
func TestStoppingHostFinishesWhatItTookFromOthers(t *testing.T) {
	g := NewWithT(t)
	h, other, _, engines, _ := setUpCutOffHost(t)
	for _, s := range engines {
		s.EventInterval = 300 * time.Millisecond
	}
	answers := make(chan reply, 1)
	go func() { answers <- h.sendPrompt("r-1", "5c:40,own:20") }()
	h.await(func() bool { return receivedCount(engines) == 1 }, "a server has the request")
	other.stop()
	answer := <-answers
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect(answer.body).To(Equal(expectedStream("r-1", engines[0].EventCount)))
}

// TestPriorRunsMustBeANumber sends a bad header between hosts, and the header of hosts
// to the address of callers, where it means nothing.
func TestPriorRunsMustBeANumber(t *testing.T) {
	g := NewWithT(t)
	h, _, _, _ := setUp(t)
	forward := *h
	forward.url = "http://" + h.process.forwardAddress()
	for _, runs := range []string{"", "some", "-1"} {
		answer := forward.send("GET", "/g/", "", standin.HeaderRequestID, "r", standin.HeaderKey, standin.KeyHeaderValue("k1"), headerPriorRuns, runs)
		g.Expect(answer.status).To(Equal(http.StatusBadRequest), runs)
		g.Expect(answer.header.Get(headerRefused)).To(Equal("bad_request"))
	}
	answer := h.send("GET", "/g/", "", standin.HeaderRequestID, "r", standin.HeaderKey, standin.KeyHeaderValue("k1"), headerPriorRuns, "some")
	g.Expect(answer.status).To(Equal(http.StatusOK))
}

// TestWorkReportsKeepTheirForm guards against hosts of two releases that can't read each
// other's work reports, which have a fixed number of fields.
func TestWorkReportsKeepTheirForm(t *testing.T) {
	g := NewWithT(t)
	type releasedReport struct {
		Boot     uint64
		Full     bool
		Work     []balance.ReportedWork
		Decoding []uint64
		Ended    []balance.ReportedEnd
	}
	encode := func(v any) []byte {
		var body bytes.Buffer
		encoder := msgpack.NewEncoder(&body)
		encoder.UseArrayEncodedStructs(true)
		g.Expect(encoder.Encode(v)).To(Succeed())
		return body.Bytes()
	}
	var released releasedReport
	g.Expect(msgpack.Unmarshal(encode(&balance.WorkReport{Boot: 7, Decoding: []uint64{4}}), &released)).To(Succeed())
	g.Expect(released).To(Equal(releasedReport{Boot: 7, Decoding: []uint64{4}}))
	var present balance.WorkReport
	g.Expect(msgpack.Unmarshal(encode(&releasedReport{Boot: 8, Decoding: []uint64{5}}), &present)).To(Succeed())
	g.Expect(present).To(Equal(balance.WorkReport{Boot: 8, Decoding: []uint64{5}}))
}
