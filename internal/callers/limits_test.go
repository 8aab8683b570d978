package callers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// testTimeout bounds the wait for what is expected to happen; no test waits until
// it passes.
const testTimeout = 20 * time.Second

// testTimeouts returns short timeouts for the header and the body, so that the
// tests of slow callers end quickly. A test whose caller must not exceed them
// sends the whole request at once.
func testTimeouts() Timeouts {
	return Timeouts{Header: 300 * time.Millisecond, Body: 300 * time.Millisecond, Write: testTimeout, Idle: testTimeout}
}

// countingListener counts the open connections and records the maximum.
type countingListener struct {
	net.Listener
	open, maxOpen atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := l.open.Add(1)
	for most := l.maxOpen.Load(); n > most && !l.maxOpen.CompareAndSwap(most, n); most = l.maxOpen.Load() {
	}
	return &countedConnection{Conn: c, listener: l}, nil
}

// countedConnection is a connection that its listener counts as open until it is
// closed.
type countedConnection struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (c *countedConnection) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// fixture is a server on a loopback address. The dispatch core behind it is a
// stub that refuses every request that passes the checks.
type fixture struct {
	address         string
	listener        *countingListener
	arrivedRequests atomic.Int64
	// coreDelay is the time in nanoseconds that the core takes to answer.
	coreDelay atomic.Int64
}

// startServer starts a server with testTimeouts; 0 connections means no limit.
func startServer(t *testing.T, connections int) *fixture {
	t.Helper()
	return startServerWith(t, connections, testTimeouts())
}

// startServerWith starts a server with the given timeouts and closes it at the
// end of the test.
func startServerWith(t *testing.T, connections int, timeouts Timeouts) *fixture {
	t.Helper()
	f := &fixture{}
	c := clock.Start()
	executor := traffic.NewExecutor(traffic.Config{}, c, nil, nil, nil, func(dispatch.Event) {})
	catalogue := NewCatalogue(1, testConfiguration())
	server := NewServer(Config{
		Host: "host-1", Incarnation: 1, Clock: c, Executor: executor,
		Post: func(e dispatch.Event) {
			if a, ok := e.(dispatch.Arrived); ok {
				f.arrivedRequests.Add(1)
				time.AfterFunc(time.Duration(f.coreDelay.Load()), func() {
					executor.Execute(dispatch.Refuse{ID: a.ID, Code: dispatch.CodeOverloaded, RetryAfter: time.Second})
				})
			}
		},
		Catalogue:      func() *Catalogue { return catalogue },
		HasUpstreams:   func() bool { return true },
		MaxConnections: connections,
		Timeouts:       timeouts,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.listener = &countingListener{Listener: l}
	f.address = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- server.Serve(f.listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

// testConfiguration returns a configuration with one model, one service, two
// kinds and one organisation.
func testConfiguration() *intent.Configuration {
	return &intent.Configuration{
		Models:   []intent.Model{{Name: "judge", Version: "1", MaxPromptTokens: 1000}},
		Services: []intent.Service{{Name: "cases"}},
		Kinds: []intent.Kind{
			{Name: "comment", DefaultLimitMillis: 1000, MaxLimitMillis: 5000},
			{Name: "takedown", Service: "cases", NeverRepeat: true, DefaultLimitMillis: 1000, MaxLimitMillis: 5000},
		},
		Organisations: []intent.Organisation{{Name: "newsroom", Share: 1}},
	}
}

// dial opens a connection that is closed at the end of the test.
func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", f.address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendRaw sends raw text on a new connection and reads one answer.
func (f *fixture) sendRaw(t *testing.T, text string) (*http.Response, Problem) {
	t.Helper()
	c := f.dial(t)
	go func() { _, _ = io.WriteString(c, text) }()
	return readProblem(t, c)
}

// readProblem reads an answer and, if it is a problem document, decodes it.
func readProblem(t *testing.T, c net.Conn) (*http.Response, Problem) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var p Problem
	if r.Header.Get("Content-Type") == "application/problem+json" {
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
			t.Fatal(err)
		}
	}
	return r, p
}

// postRequest returns the text of a POST request.
func postRequest(path string, headers []string, body string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: entry", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

const completionsPath = "/v1/chat/completions"

var validHeaders = []string{"X-Organisation: newsroom", "X-Request-Kind: comment"}

const validBody = `{"model":"judge","messages":[{"role":"user","content":"is this abuse?"}]}`

// findingPlaces returns the places of the problem's findings.
func findingPlaces(p Problem) []string {
	var places []string
	for _, f := range p.Findings {
		places = append(places, f.Place)
	}
	return places
}

// TestBadRequestsListEveryFinding checks the status, the code and the places of
// all findings for invalid requests, and that none of these requests reaches the
// core.
func TestBadRequestsListEveryFinding(t *testing.T) {
	f := startServer(t, 0)
	for name, test := range map[string]struct {
		path    string
		headers []string
		body    string
		status  int
		code    dispatch.Code
		places  []string
	}{
		"good, refused by the core": {completionsPath, validHeaders, validBody, 429, dispatch.CodeOverloaded, nil},
		"malformed JSON":            {completionsPath, validHeaders, `{"model":"judge",`, 400, codeBadRequest, []string{"body"}},
		"two documents":             {completionsPath, validHeaders, validBody + validBody, 400, codeBadRequest, []string{"body"}},
		"no headers, empty prompt": {
			completionsPath, nil, `{"model":"judge","messages":[]}`, 400, codeBadRequest,
			[]string{"body.messages", "header X-Organisation", "header X-Request-Kind"},
		},
		"nothing known": {
			completionsPath,
			[]string{"X-Organisation: nobody", "X-Request-Kind: riddle", "X-Time-Limit-Ms: soon"},
			`{"model":"oracle","messages":[{"role":"user","content":""}],"max_tokens":0}`, 404, codeNotKnown,
			[]string{
				"body.max_tokens", "body.messages[0].content", "body.model",
				"header X-Organisation", "header X-Request-Kind", "header X-Time-Limit-Ms",
			},
		},
		"limit out of range":   {completionsPath, append([]string{"X-Time-Limit-Ms: 5001"}, validHeaders...), validBody, 400, codeBadRequest, []string{"header X-Time-Limit-Ms"}},
		"limit too long":       {completionsPath, append([]string{"X-Time-Limit-Ms: 9999999999999"}, validHeaders...), validBody, 400, codeBadRequest, []string{"header X-Time-Limit-Ms"}},
		"oversized prompt":     {completionsPath, validHeaders, `{"model":"judge","messages":[{"role":"user","content":"` + strings.Repeat("word", 1001) + `"}]}`, 400, codeBadRequest, []string{"body.messages"}},
		"duplicate keys":       {completionsPath, append([]string{"Idempotency-Key: a", "Idempotency-Key: b"}, validHeaders...), validBody, 400, codeBadRequest, []string{"header Idempotency-Key"}},
		"equal duplicate":      {completionsPath, append([]string{"Idempotency-Key: a", "idempotency-key: a"}, validHeaders...), validBody, 400, codeBadRequest, []string{"header Idempotency-Key"}},
		"long key":             {completionsPath, append([]string{"Idempotency-Key: " + strings.Repeat("k", 256)}, validHeaders...), validBody, 400, codeBadRequest, []string{"header Idempotency-Key"}},
		"action without key":   {"/v1/services/cases/takedown", []string{"X-Organisation: newsroom"}, "{}", 400, codeBadRequest, []string{"header Idempotency-Key"}},
		"kind of a service":    {completionsPath, []string{"X-Organisation: newsroom", "X-Request-Kind: takedown", "Idempotency-Key: a"}, validBody, 400, codeBadRequest, []string{"header X-Request-Kind"}},
		"two organisations":    {completionsPath, append([]string{"X-Organisation: other"}, validHeaders...), validBody, 400, codeBadRequest, []string{"header X-Organisation"}},
		"body above its limit": {completionsPath, validHeaders, strings.Repeat("x", MaxBodyBytes+1), 413, codeBodyTooLarge, nil},
		"call above its limit": {"/v1/services/cases/takedown", validHeaders, strings.Repeat("x", MaxCallBytes+1), 413, codeBodyTooLarge, nil},
	} {
		t.Run(name, func(t *testing.T) {
			before := f.arrivedRequests.Load()
			r, p := f.sendRaw(t, postRequest(test.path, test.headers, test.body))
			if r.StatusCode != test.status || p.Code != test.code || p.Outcome != dispatch.OutcomeNotRun {
				t.Errorf("%d %s %s: %v", r.StatusCode, p.Code, p.Outcome, p.Findings)
			}
			if got := findingPlaces(p); !slices.Equal(got, test.places) {
				t.Errorf("findings at %q, not %q", got, test.places)
			}
			if passed := f.arrivedRequests.Load() > before; passed != (p.Code == dispatch.CodeOverloaded) {
				t.Errorf("the request reached the core: %v", passed)
			}
		})
	}
}

// TestBodyOfUnknownLengthIsBounded sends a chunked body that is one byte too
// long.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	// The body takes longer to send than the short timeouts of the other tests
	// allow if the machine is busy.
	f := startServerWith(t, 0, DefaultTimeouts())
	text := strings.Join(append([]string{"POST " + completionsPath + " HTTP/1.1", "Host: entry", "Transfer-Encoding: chunked"}, validHeaders...), "\r\n")
	size := MaxBodyBytes + 1
	r, p := f.sendRaw(t, fmt.Sprintf("%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", text, size, strings.Repeat("x", size)))
	if r.StatusCode != http.StatusRequestEntityTooLarge || p.Code != codeBodyTooLarge {
		t.Errorf("%d %s", r.StatusCode, p.Code)
	}
}

// TestHeadersAreBounded sends headers far above the limit.
func TestHeadersAreBounded(t *testing.T) {
	f := startServer(t, 0)
	r, _ := f.sendRaw(t, postRequest(completionsPath, append([]string{"X-Filler: " + strings.Repeat("x", 4*maxHeaderBytes)}, validHeaders...), validBody))
	if r.StatusCode != http.StatusRequestHeaderFieldsTooLarge || f.arrivedRequests.Load() > 0 {
		t.Errorf("%d, %d requests reached the core", r.StatusCode, f.arrivedRequests.Load())
	}
}

// TestSlowHeadersCloseTheConnection sends only a part of the headers.
func TestSlowHeadersCloseTheConnection(t *testing.T) {
	f := startServer(t, 0)
	c := f.dial(t)
	if _, err := io.WriteString(c, "POST "+completionsPath+" HTTP/1.1\r\nHost: entry\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("the server did not end the connection: %v", err)
	}
}

// TestSlowBodiesGetProblemAndClosedConnection sends none or only a part of a
// body. The server must answer with a problem document and close the connection.
func TestSlowBodiesGetProblemAndClosedConnection(t *testing.T) {
	for _, sent := range []int{0, 1000} {
		f := startServer(t, 0)
		c := f.dial(t)
		head := strings.Replace(postRequest(completionsPath, validHeaders, ""), "Content-Length: 0", "Content-Length: 5000", 1)
		if _, err := io.WriteString(c, head+strings.Repeat("x", sent)); err != nil {
			t.Fatal(err)
		}
		r, p := readProblem(t, c)
		if r.StatusCode != http.StatusBadRequest || p.Code != codeBodyInterrupted || p.Outcome != dispatch.OutcomeNotRun {
			t.Errorf("%d %s %s", r.StatusCode, p.Code, p.Outcome)
		}
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("the server did not end the connection: %v", err)
		}
	}
}

// TestSlowUnreadBodyClosesTheConnection sends a part of a body to a path without
// a handler. The HTTP library waits for the rest of the body before it answers.
func TestSlowUnreadBodyClosesTheConnection(t *testing.T) {
	c := startServer(t, 0).dial(t)
	if _, err := io.WriteString(c, "POST /nowhere HTTP/1.1\r\nHost: entry\r\nContent-Length: 5000\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("the server did not end the connection: %v", err)
	}
}

// TestRequestTimeoutsDoNotCutOffAnswers checks that the timeouts for reading a
// request do not cut off an answer that takes longer than both together.
func TestRequestTimeoutsDoNotCutOffAnswers(t *testing.T) {
	f := startServer(t, 0)
	limits := testTimeouts()
	f.coreDelay.Store(int64(2 * (limits.Header + limits.Body)))
	r, p := f.sendRaw(t, postRequest(completionsPath, append([]string{"X-Time-Limit-Ms: 5000"}, validHeaders...), validBody))
	if r.StatusCode != http.StatusTooManyRequests || p.Code != dispatch.CodeOverloaded || r.Header.Get("Retry-After") == "" {
		t.Errorf("%d %s", r.StatusCode, p.Code)
	}
}

// TestConnectionsAreBounded opens many connections at once and checks that no
// more than the limit are open together. It also checks that without a limit more
// are open, so that the first check can fail.
func TestConnectionsAreBounded(t *testing.T) {
	const callers, bound = 20, 3
	if most := connectAtOnce(t, startServer(t, bound), callers); most > bound {
		t.Errorf("%d connections were open, above %d", most, bound)
	}
	unbounded := startServer(t, 0)
	for range callers {
		if _, err := io.WriteString(unbounded.dial(t), "GET /healthz HTTP/1.1\r\nHost: entry\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if most := connectAtOnce(t, unbounded, callers); most <= bound {
		t.Errorf("only %d connections were open without a bound, so the check of the limit proves nothing", most)
	}
}

// connectAtOnce lets the callers send a request at the same time and returns the
// largest number of open connections.
func connectAtOnce(t *testing.T, f *fixture, callers int) int64 {
	t.Helper()
	var wait sync.WaitGroup
	for range callers {
		c := f.dial(t)
		wait.Go(func() {
			defer c.Close()
			_, _ = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Error(err)
				return
			}
			_ = r.Body.Close()
			if r.StatusCode != http.StatusOK {
				t.Errorf("status %d", r.StatusCode)
			}
		})
	}
	wait.Wait()
	return f.listener.maxOpen.Load()
}
