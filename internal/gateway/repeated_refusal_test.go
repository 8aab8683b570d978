package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// refusalRepeater is a server of calls and streams that refuses every other request. It
// keeps its connections, and writes the last refusal on one once more after it, and again
// before the next answer.
type refusalRepeater struct {
	net.Listener
	// named tells whether refusals name their request.
	named bool

	mu          sync.Mutex
	requests    int
	connections int
	// executed counts the runs of each request, by its id.
	executed map[string]int
}

// startRefusalRepeater starts such a server and registers it.
func startRefusalRepeater(t *testing.T, store *standin.Store, id, service string, named bool) *refusalRepeater {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &refusalRepeater{Listener: l, named: named, executed: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			go s.serve(conn, id)
		}
	}()
	store.Put(standin.KindServers, id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": "a", "slots": 16, "state": standin.StateReady, "born": 1,
	})
	return s
}

// serve answers the requests of one connection until the host closes it.
func (s *refusalRepeater) serve(conn net.Conn, id string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	lastRefusal := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer, refused := s.answer(request.Header, id)
		if refused {
			lastRefusal = answer
		}
		if _, err := io.WriteString(conn, lastRefusal+answer); err != nil {
			return
		}
	}
}

// answer returns the answer to a request, and whether that is a refusal.
func (s *refusalRepeater) answer(header http.Header, id string) (answer string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	request := header.Get(standin.HeaderRequestID)
	if s.requests%2 == 1 {
		name := ""
		if s.named {
			name = standin.HeaderRequestID + ": " + request + "\r\n"
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + name + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	s.executed[request]++
	body := standin.FormatCallResponse(id, request)
	if header.Get(standin.HeaderUsage) != "" {
		body = standin.FormatEvent(request, 0)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		standin.HeaderRequestID, request, standin.HeaderSignature, id, len(body), body), false
}

// TestRefusalWrittenOnceMoreRefusesNothingElse guards against a faulty server whose earlier
// refusal, written once more, is taken for the answer to a later request: the caller is told
// that the request was not run, or it runs at a second server.
func TestRefusalWrittenOnceMoreRefusesNothingElse(t *testing.T) {
	for name, named := range map[string]bool{"that names its request": true, "that names no request": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := standin.NewStore()
			t.Cleanup(store.Close)
			store.PutConfiguration(1, "k1")
			servers := []*refusalRepeater{
				startRefusalRepeater(t, store, "i-d1", "desk", named), startRefusalRepeater(t, store, "i-d2", "desk", named),
				startRefusalRepeater(t, store, "i-e1", "llm", named), startRefusalRepeater(t, store, "i-e2", "llm", named),
			}
			h := startHost(t, "h1", store)
			executions := func(id string) (n int) {
				for _, s := range servers {
					s.mu.Lock()
					n += s.executed[id]
					s.mu.Unlock()
				}
				return n
			}
			statuses := make(map[int]int)
			for i := range 60 {
				id := fmt.Sprint("r-", i)
				answer := h.sendCall(id, "POST", "/u/")
				statuses[answer.status]++
				g.Expect(executions(id)).To(BeNumerically("<=", 1), "%s runs at most once", id)
				if answer.status == http.StatusServiceUnavailable {
					g.Expect(executions(id)).To(BeZero(), "%s was not run", id)
				}
				if answer.status == http.StatusOK {
					g.Expect(answer.body).To(HaveSuffix("for " + id))
				}
				h.sendPrompt(id+"s", "5c:40,own:20")
			}
			t.Logf("answers by status: %v", statuses)
			for _, s := range servers {
				s.mu.Lock()
				g.Expect(s.requests).To(BeNumerically(">", 0))
				g.Expect(s.connections).To(BeNumerically(">=", s.requests), "each request has a connection of its own")
				s.mu.Unlock()
			}
		})
	}
}

// TestOrdersHaveConnectionsOfTheirOwn guards against an order for memory, or its release,
// that takes a repeated answer to an earlier one for its own.
func TestOrdersHaveConnectionsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	servers := []*refusalRepeater{startRefusalRepeater(t, store, "i-e1", "llm", false), startRefusalRepeater(t, store, "i-e2", "llm", false)}
	h := startHost(t, "h1", store)
	for i := range 4 {
		// The prompt needs the memory of both servers.
		h.send("POST", "/s/", "", standin.HeaderRequestID, fmt.Sprint("r-", i), standin.HeaderKey, standin.KeyHeaderValue("k1"), standin.HeaderUsage, "120000,20", standin.HeaderDeadline, "3000")
	}
	for _, s := range servers {
		s.mu.Lock()
		g.Expect(s.requests).To(BeNumerically(">", 2))
		g.Expect(s.connections).To(BeNumerically(">=", s.requests))
		s.mu.Unlock()
	}
	g.Expect(strings.Count(h.logs.String(), `"ticket"`)).To(BeNumerically(">", 0), "memory was asked for")
}
