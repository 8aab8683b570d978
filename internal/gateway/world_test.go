package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	apexjson "github.com/apex/log/handlers/json"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// logged collects log lines.
type logged struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

// String returns all lines, for the search for causes.
func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// of returns the fields of the lines that name a request, in order.
func (l *logged) of(request string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range strings.Split(l.lines.String(), "\n") {
		var entry struct{ Fields map[string]any }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Fields["request"] == request {
			found = append(found, entry.Fields)
		}
	}
	return found
}

// has says whether an event was logged.
func (l *logged) has(event int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.lines.String(), fmt.Sprintf(`"event":%d,`, event)) ||
		strings.Contains(l.lines.String(), fmt.Sprintf(`"event":%d}`, event))
}

// played is a gateway in this process before stand-ins of the platform.
type played struct {
	t       *testing.T
	process *Process
	logs    *logged
	url     string
	ready   string
	// stop asks the process to stop, as SIGTERM does; done is closed when it has.
	stop func()
	done chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startHost starts a gateway and waits until it is ready.
func startHost(t *testing.T, name string, store *standin.Store) *played {
	t.Helper()
	callers, ready, peers := freeAddress(t), freeAddress(t), freeAddress(t)
	_, peerPort, _ := net.SplitHostPort(peers)
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		t.Fatal(err)
	}
	text := standin.HostSettings{
		Host: name, DataCentre: "a", IP: "127.0.0.1", CallerAddress: callers, ReadyAddress: ready,
		StoreAddress: store.Address(), PeerPort: port, GracePeriod: 8 * time.Second,
	}.TOML()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s := Settings{File: file, Metrics: freeAddress(t), Policy: "predict", LogLevel: "info"}
	if findings := s.Validate(); len(findings) > 0 {
		t.Fatal(findings)
	}
	logs := &logged{}
	p, err := New(s, &log.Logger{Handler: apexjson.New(logs), Level: log.InfoLevel})
	if err != nil {
		t.Fatal(err)
	}
	h := &played{t: t, process: p, logs: logs, url: "http://" + callers, ready: "http://" + ready + "/v1/ready", done: make(chan error, 1)}
	var g run.Group
	if err := p.AddTo(&g); err != nil {
		t.Fatal(err)
	}
	asked := make(chan struct{})
	h.stop = sync.OnceFunc(func() { close(asked) })
	g.Add(func() error { <-asked; return p.stop() }, func(error) { h.stop() })
	go func() { h.done <- g.Run() }()
	t.Cleanup(func() {
		p.drain.grace = 0
		h.stop()
		select {
		case <-h.done:
		case <-time.After(10 * time.Second):
			t.Error("the process did not stop")
		}
	})
	h.await(func() bool { return h.status(h.ready) == http.StatusOK }, "ready")
	return h
}

func (h *played) await(done func() bool, what string) {
	h.t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatalf("never came about: %s", what)
}

func (h *played) status(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// closes says that the server closes the connection after it.
	closes bool
	// broken says that the answer broke off.
	broken error
}

// ask sends a request with the headers given as names and values in turn.
func (h *played) ask(method, path, body string, headers ...string) reply {
	h.t.Helper()
	r, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host = "a.example"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{broken: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), closes: response.Close, broken: err}
}

// setUp starts a store, two servers of each service and one host.
func setUp(t *testing.T) (h *played, store *standin.Store, engines, desks []*standin.Server) {
	t.Helper()
	store = standin.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(1, "k1")
	server := func(id, service string) *standin.Server {
		s := standin.NewServer(id)
		t.Cleanup(s.Close)
		s.Register(store, service, "a", "ready")
		return s
	}
	engines = []*standin.Server{server("i-e1", "llm"), server("i-e2", "llm")}
	desks = []*standin.Server{server("i-d1", "desk"), server("i-d2", "desk")}
	return startHost(t, "h1", store), store, engines, desks
}

func received(servers []*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.ReceivedRequests())
	}
	return n
}

func setFault(servers []*standin.Server, f standin.Fault) {
	for _, s := range servers {
		s.SetFault(f)
	}
}
