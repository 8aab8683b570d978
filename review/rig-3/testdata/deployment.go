package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	routeHost = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
)

// deployment is a small installation on loopback addresses.
type deployment struct {
	net      network
	dir      string
	record   *record
	store    *store
	mu       sync.Mutex
	servers  []*server
	gateways []*gateway
	lastID   atomic.Int64
	nextHost int
}

func newDeployment(rec *record) (*deployment, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3")
	if err != nil {
		return nil, err
	}
	d := &deployment{net: n, dir: dir, record: rec, nextHost: 40}
	d.store, err = startStore(n.address(1, storePort))
	return d, err
}

// close ends all that was started.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.command != nil && g.command.Process != nil {
			d.record.say("host %d is ended: process %d", g.host, g.command.Process.Pid)
		}
		g.kill()
	}
	for _, s := range d.servers {
		s.close()
	}
	if d.store != nil {
		d.store.close()
	}
	os.RemoveAll(d.dir)
}

// zones are the zones of the installation.
var zones = []string{"lima-a", "lima-b", "lima-c"}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, routes, services []map[string]any, keys []string) {
	d.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": keys}},
	})
}

func route(name, prefix, kind, service string, timeout, aim int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "routeType": kind, "service": service, "timeoutMs": timeout,
		"targetLatencyMs": aim, "priority": 1, "maxAttempts": 2, "public": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// modelService is the model service of the site's sheet.
func modelService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 618, "engine": map[string]any{
		"slots": 12, "kvCapacity": 232000, "stride": 48, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
		"read_per_s": 206000, "pairs_per_m": 0.138, "chunk": 2048, "hopMs": 0.075,
	}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 520}
}

// addServer starts a server on an address of its own and registers it.
func (d *deployment) addServer(service, zone string, slots int, work time.Duration) (*server, error) {
	d.mu.Lock()
	host := d.nextHost
	d.nextHost++
	d.mu.Unlock()
	s, err := startServer(d.record, fmt.Sprintf("i-%s-%d", service, host), service, zone, d.net.address(host, serverPort), slots, work)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	s.register(d.store, "ready")
	return s, nil
}

// addModelServer starts a server that answers with streams and registers it. Its runs are
// not recorded.
func (d *deployment) addModelServer(zone string) (*server, error) {
	s, err := d.addServer("verdict-llm", zone, 12, 800*time.Millisecond)
	if err == nil {
		s.mu.Lock()
		s.events, s.gap, s.quiet = 15, 40*time.Millisecond, true
		s.mu.Unlock()
	}
	return s, err
}

// server returns the server that was started as the given one.
func (d *deployment) server(i int) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[i]
}

func (d *deployment) addGateway(zone string) *gateway {
	g := newGateway(d.net, 2+len(d.gateways), zone, d.dir)
	d.gateways = append(d.gateways, g)
	return g
}

func (d *deployment) newID() string {
	return fmt.Sprintf("%016x", d.lastID.Add(1)+int64(os.Getpid())<<32)
}

// answer is what a consumer got.
type answer struct {
	id      string
	sentAt  time.Time
	took    time.Duration
	status  int
	whole   bool
	body    string
	headers http.Header
	err     error
}

// request is what a consumer sends.
type request struct {
	method, target string
	headers        []string
	body           []byte
	deadline       time.Duration
}

// bytes returns the request as it is sent.
func (q request) bytes(id, key string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", q.method, q.target, routeHost, id, q.deadline.Milliseconds(), key)
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// ask sends a request with a key on a new channel and reads its answer until the deadline.
func (d *deployment) ask(g *gateway, q request, key string) answer {
	a := answer{id: d.newID(), sentAt: time.Now()}
	d.record.log("sent    %s to host %d: %s %s", a.id, g.host, q.method, q.target)
	a.status, a.whole, a.body, a.headers, a.err = exchange(g.front(), q.bytes(a.id, key), q.method, a.sentAt.Add(q.deadline))
	a.took = time.Since(a.sentAt)
	if a.err != nil {
		d.record.log("noreply %s after %d ms: %v", a.id, a.took.Milliseconds(), a.err)
	} else {
		d.record.log("answer  %s after %d ms: %d, whole %t", a.id, a.took.Milliseconds(), a.status, a.whole)
	}
	return a
}

func exchange(address string, text []byte, method string, until time.Time) (int, bool, string, http.Header, error) {
	conn, err := net.DialTimeout("tcp", address, time.Until(until))
	if err != nil {
		return 0, false, "", nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(until)
	if _, err := conn.Write(text); err != nil {
		return 0, false, "", nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, false, "", nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil, string(body), response.Header, nil
}
