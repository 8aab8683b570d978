package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a server of one service. It registers itself in the store and
// answers each request with the function that its scenario gives. Its heartbeats are not
// written, since an entry does not change while only its sequence does.
type server struct {
	kit     *kit
	service string
	zone    string
	slots   int
	address string
	// serve answers one request that is run. It gets the body of the request.
	serve func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	http     *http.Server
	conns    map[net.Conn]struct{}
	down     bool
	running  atomic.Int64
	served   atomic.Int64
	boots    int
}

// startServer starts a server on a free port and registers it.
func (k *kit) startServer(service, zone string, slots int, serve func(*server, http.ResponseWriter, *http.Request, []byte)) *server {
	s := &server{kit: k, service: service, zone: zone, slots: slots, serve: serve, down: true}
	s.start()
	return s
}

// start begins a new boot of the server, with a new id at the same address.
func (s *server) start() {
	address := s.address
	if address == "" {
		address = net.JoinHostPort(s.kit.serverIP, "0")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.kit.fail("listen for a server: %v", err)
	}
	s.mu.Lock()
	s.boots++
	s.address = listener.Addr().String()
	s.id = fmt.Sprintf("i-%s-%d-%s", s.service, s.boots, listener.Addr().(*net.TCPAddr).AddrPort().String()[len(s.kit.serverIP)+1:])
	s.born, s.sequence, s.state, s.down = time.Now().UnixMilli(), 0, "ready", false
	s.conns = make(map[net.Conn]struct{})
	server := &http.Server{Handler: s, ConnState: s.trackConn}
	s.http = server
	s.mu.Unlock()
	go server.Serve(listener)
	s.register()
}

func (s *server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(s.conns, conn)
	}
}

// register writes the server's entry, unless it is down.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.sequence++
	s.kit.record("registered", "server", s.id, "state", s.state)
	s.kit.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
}

// crash ends the server as the end of its process would: its port is closed and all its
// channels are reset. It is back after the given time with a new boot; its old entry is
// removed after three missed heartbeats.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	id, server := s.id, s.http
	conns := make([]net.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	s.kit.record("server_crashed", "server", id)
	for _, conn := range conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	server.Close()
	time.AfterFunc(back, s.start)
	time.AfterFunc(3600*time.Millisecond, func() { s.kit.store.remove("servers", id) })
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// ServeHTTP checks what every server checks, and runs the request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := s.currentID()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.running.Add(1) > int64(s.slots)+24 {
		s.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.served.Add(1)
	s.kit.noteRun(request)
	s.kit.record("run", "request", request, "server", id, "path", r.URL.Path, "deadline_ms", r.Header.Get("Deadline-Ms"))
	w.Header().Set("Response-Signature", "sig-"+id+"-"+request)
	s.serve(s, w, r, body)
}

// drain reports that the server is leaving. Once its requests have ended, and not before
// the given time, the server ends and its entry is removed.
func (s *server) drain(atLeast time.Duration, wg *sync.WaitGroup) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(atLeast)
		for s.running.Load() > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.down = true
		id, server := s.id, s.http
		s.mu.Unlock()
		server.Close()
		s.kit.store.remove("servers", id)
		s.kit.record("left", "server", id)
	}()
}
