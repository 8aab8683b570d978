package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// counted returns the sum of a counter over all its labels.
func (h *testHost) counted(name string) (sum int) {
	h.t.Helper()
	var page strings.Builder
	if err := h.process.metrics.Write(&page); err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(page.String()) {
		fields := strings.Fields(line)
		if metric, _, _ := strings.Cut(fields[0], "{"); metric != name {
			continue
		}
		n, err := strconv.Atoi(fields[len(fields)-1])
		if err != nil {
			h.t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// panickingWriter is a response whose header can't be sent.
type panickingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (panickingWriter) WriteHeader(int) { panic("test") }

// TestPanicLeavesNothingBehind guards against requests that take their place at a server
// until the process ends, since the goroutine that answered them has panicked.
func TestPanicLeavesNothingBehind(t *testing.T) {
	for _, path := range paths {
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
			NewWithT(t).Expect([]int{h.counted("gateway_ended_total"), h.counted("gateway_panics_total")}).To(Equal([]int{1, 1}))
			h.expectNothingLeft()
		})
	}
}

// TestInvalidStatusLeavesNothingBehind guards against the same for an answer whose status
// can't be passed on.
func TestInvalidStatusLeavesNothingBehind(t *testing.T) {
	h, _, engines, desks := setUp(t)
	for _, s := range append(engines, desks...) {
		s.SetRawAnswer(rawAnswer("HTTP/1.1 000 OK", "X-Marker: 1"))
	}
	for _, path := range paths {
		h.sendTo(path, "r-1")
	}
	h.expectNothingLeft()
	NewWithT(t).Expect(h.counted("gateway_ended_total")).To(Equal(len(paths)), "each request is counted once")
}

// paths are those of the routes for streams, unsafe calls and safe calls.
var paths = []string{"/s/", "/u/", "/g/"}

// sendTo sends a request that fits the route of a path.
func (h *testHost) sendTo(path, id string) reply {
	h.t.Helper()
	if path == "/s/" {
		return h.sendPrompt(id, "5c:40,own:20")
	}
	return h.sendCall(id, "POST", path)
}

// expectLost lets all servers answer with the same bytes, which are no valid answer, and
// expects that callers get 502 and nothing of the bytes, that nothing of the requests is left
// in the host, and that no unsafe request runs twice.
func (h *testHost) expectLost(servers []*standin.Server, raw string) {
	h.t.Helper()
	g := NewWithT(h.t)
	for _, s := range servers {
		s.SetRawAnswer(raw)
	}
	for i, path := range paths {
		id := fmt.Sprint("lost-", i)
		answer := h.sendTo(path, id)
		g.Expect(answer.readError).NotTo(HaveOccurred(), path)
		g.Expect([]any{answer.status, answer.body}).To(Equal([]any{http.StatusBadGateway, ""}), path)
		g.Expect(answer.header).NotTo(Or(HaveKey(standin.HeaderSignature), HaveKey("X-Marker")), path)
		runs := 0
		for _, s := range servers {
			for _, r := range s.ReceivedRequests() {
				if r.ID == id {
					runs++
				}
			}
		}
		g.Expect(runs).To(BeNumerically(">", 0), "%s reaches a server", path)
		if path == "/u/" {
			g.Expect(runs).To(Equal(1), "not sent again")
		}
	}
	h.expectNothingLeft()
	g.Expect(h.counted("gateway_ended_total")).To(Equal(len(paths)), "each request is counted once")
}

// rawHead begins an answer with the lines signed, and rawEvent is a body that is one event of a
// stream.
const (
	rawHead  = "HTTP/1.1 200 OK\r\n" + signed + "X-Marker: 1\r\n"
	signed   = "Request-Id: " + standin.RequestIDMark + "\r\nResponse-Signature: s\r\n"
	rawEvent = "id: 0\ndata: token\n\n"
)

// rawAnswer returns a signed answer of one event, with the given status line and other lines.
func rawAnswer(statusLine, lines string) string {
	return fmt.Sprintf("%s\r\n%s%s\r\nContent-Length: %d\r\n\r\n%s", statusLine, signed, lines, len(rawEvent), rawEvent)
}

// TestInvalidStatusIsNotPassedOn guards against answers whose status no answer can have.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "-00", "+20", "101", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			h, _, engines, desks := setUp(t)
			h.expectLost(append(engines, desks...), rawAnswer("HTTP/1.1 "+status+" OK", "X-Marker: 1"))
		})
	}
}

// TestInvalidStatusLineIsNotPassedOn guards against answers that are in another version of the
// protocol, or have control characters in their first line.
func TestInvalidStatusLineIsNotPassedOn(t *testing.T) {
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x1bK",
		"HTTP/1.1\t200 OK", "HTTP/11 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			h, _, engines, desks := setUp(t)
			h.expectLost(append(engines, desks...), rawAnswer(line, "X-Marker: 1"))
		})
	}
}

// invalidNames are answers in whose head the name of a field has a space or a control
// character, or is empty. X-Marker shows whether a head was passed on.
var invalidNames = map[string]string{
	"space within":             rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX Odd: 1"),
	"space before the colon":   rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX-Odd : 1"),
	"space after a folded one": rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\n folded: 1\r\nY : 1"),
	"connection with a space":  rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nConnection : X-Marker"),
	"chunks with a space":      rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nTransfer-Encoding : chunked"),
	"tab":                      rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX\tOdd: 1"),
	"tab before the colon":     rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX-Odd\t: 1"),
	"zero":                     rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX\x00Odd: 1"),
	"escape":                   rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX\x1bOdd: 1"),
	"delete":                   rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX\x7fOdd: 1"),
	"carriage return":          rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX\rOdd: 1"),
	"empty":                    rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\n: 1"),
	"no colon":                 rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nodd"),
	"failure":                  rawAnswer("HTTP/1.1 500 Error", "X-Marker: 1\r\nX Odd: 1"),
	"interim answer":           "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1"),
	"length with a space":      rawHead + "Content-Length : 2\r\n\r\n" + rawEvent,
	"only chunks, with a space": rawHead + "Transfer-Encoding : chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rawEvent), rawEvent),
}

// TestInvalidFieldNameIsNotPassedOn guards against answers with a field whose name is none:
// passed on without that line, or with the framing of the body in it.
func TestInvalidFieldNameIsNotPassedOn(t *testing.T) {
	for name, raw := range invalidNames {
		t.Run(name, func(t *testing.T) {
			h, _, engines, desks := setUp(t)
			h.expectLost(append(engines, desks...), raw)
		})
	}
}

// TestUnknownFramingIsNotPassedOn guards against bodies that are not the server's, since nothing
// tells how they are framed: HTTP/1.0 has no transfer encodings.
func TestUnknownFramingIsNotPassedOn(t *testing.T) {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rawEvent), rawEvent)
	old := strings.Replace(rawHead, "1.1", "1.0", 1)
	for name, raw := range map[string]string{
		"chunks":                      old + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"length too":                  old + "TRANSFER-encoding:chunked\r\nContent-Length: 5\r\n\r\n" + chunks,
		"after an interim response":   "HTTP/1.1 103 Early Hints\r\n\r\n" + old + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"unknown encoding":            rawHead + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
		"two encodings":               rawHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"two lengths":                 rawHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + rawEvent,
		"length that is no number":    rawHead + "Content-Length: +5\r\n\r\n" + rawEvent,
		"length in two parts, folded": rawHead + "Content-Length: 1\r\n 8\r\n\r\n" + rawEvent,
	} {
		t.Run(name, func(t *testing.T) {
			h, _, engines, desks := setUp(t)
			h.expectLost(append(engines, desks...), raw)
		})
	}
}

// TestSoundAnswersInOldVersionAreDelivered guards against sound answers that are lost: in
// HTTP/1.0, with what looks like a field in the body.
func TestSoundAnswersInOldVersionAreDelivered(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)
	const event = "id: 0\ndata: token\n\ntransfer-encoding: chunked\nid: 1\ndata: token\n\n"
	for _, head := range []string{strings.Replace(rawHead, "1.1", "1.0", 1), "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(rawHead, "1.1", "1.0", 1)} {
		for _, s := range append(engines, desks...) {
			s.SetRawAnswer(head + "\r\n" + event)
		}
		for _, path := range paths {
			answer := h.sendTo(path, "r-1")
			g.Expect(answer.readError).NotTo(HaveOccurred())
			g.Expect([]any{answer.status, answer.body}).To(Equal([]any{http.StatusOK, event}))
		}
	}
}

// TestHeadCutOffIsNotPassedOn guards against answers whose server closes the connection within
// the head: an empty or short body that looks complete.
func TestHeadCutOffIsNotPassedOn(t *testing.T) {
	whole := rawHead + "Content-Type: text/plain\r\n\r\n"
	for _, cut := range []int{
		len("HTTP/1.1 20"), len("HTTP/1.1 200"), len("HTTP/1.1 200 OK\r\n"), len("HTTP/1.1 200 OK\r\nRequest-"),
		len(rawHead) - 3, len(rawHead) - 1, len(rawHead), len(rawHead) + 8, len(whole) - 4, len(whole) - 2, len(whole) - 1,
	} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			h, _, engines, desks := setUp(t)
			h.expectLost(append(engines, desks...), whole[:cut])
		})
	}
	t.Run("after an interim response", func(t *testing.T) {
		h, _, engines, desks := setUp(t)
		h.expectLost(append(engines, desks...), "HTTP/1.1 103 Early Hints\r\n\r\n"+whole[:len(whole)-2])
	})
}

// TestEndlessInterimResponsesAreCutOff guards against memory and time that a server takes by
// interim responses. A final one comes after more of them than any host reads.
func TestEndlessInterimResponsesAreCutOff(t *testing.T) {
	h, _, engines, desks := setUp(t)
	interims := strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Marker: 1\r\n\r\n", 100_000)
	h.expectLost(append(engines, desks...), interims+rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1"))
}

// TestInvalidAnswersThroughAnotherHostAreNotPassedOn guards against answers that are no valid
// ones, are cut off within their heads, or have no end, when another host passes them on.
func TestInvalidAnswersThroughAnotherHostAreNotPassedOn(t *testing.T) {
	const endless = ""
	for name, raw := range map[string]string{
		"status":                      rawAnswer("HTTP/1.1 000 OK", "X-Marker: 1"),
		"space in name":               rawAnswer("HTTP/1.1 200 OK", "X-Marker: 1\r\nX Odd: 1"),
		"length with a space":         rawHead + "Content-Length : 2\r\n\r\n" + rawEvent,
		"head cut off":                rawHead[:len(rawHead)-4],
		"body cut off":                rawHead + "Content-Length: 100\r\n\r\n" + rawEvent[:8],
		string(standin.EndlessHeader): endless, string(standin.EndlessBody): endless, string(standin.EndlessFailure): endless,
	} {
		t.Run(name, func(t *testing.T) {
			h, other, _, engines, desks := setUpCutOffHost(t)
			for _, s := range append(engines, desks...) {
				s.SetRawAnswer(raw)
				if raw == endless {
					s.SetFault(standin.Fault(name))
				}
			}
			for i, path := range paths {
				answer := h.sendTo(path, fmt.Sprint("r-", i))
				NewWithT(t).Expect(answer.header).NotTo(Or(HaveKey(standin.HeaderSignature), HaveKey("X-Marker")), path)
				NewWithT(t).Expect(answer.readError != nil || answer.status == http.StatusBadGateway).To(BeTrue(), "%s: %d", path, answer.status)
			}
			NewWithT(t).Expect(h.logs.hasEvent(7008)).To(BeTrue(), "another host was asked")
			h.expectNothingLeft()
			other.expectNothingLeft()
		})
	}
}
