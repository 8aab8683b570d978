package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is what a server has begun to work on.
type run struct {
	at                     time.Time
	server, id, method     string
	target, tenant         string
	host, body, model, key string
}

// server is a stand-in of one server of a service, plain or a model server.
type server struct {
	id, service, zone, address string
	slots, queue               int
	born                       int64
	work                       time.Duration
	// events and gap shape the answers of streams; a server without events answers whole.
	events int
	gap    time.Duration
	kv     int
	// quiet servers record none of their runs.
	quiet bool
	// beforeAnswer is called before an answer begins, if it is set.
	beforeAnswer func(*http.Request)
	crashOnce    sync.Once

	record  *record
	http    *http.Server
	places  chan struct{}
	mu      sync.Mutex
	waiting int
	tickets map[string]int
	serial  int
}

func startServer(rec *record, id, service, zone, address string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: address, slots: slots, queue: 2 * slots, work: work, record: rec,
		places: make(chan struct{}, slots), tickets: map[string]int{}, born: time.Now().UnixMilli(), kv: 232000,
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s, nil
}

// register writes the server's entry.
func (s *server) register(st *store, state string) {
	s.mu.Lock()
	s.serial++
	sequence := s.serial
	s.mu.Unlock()
	st.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": 1, "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
	})
}

func (s *server) close() { s.http.Close() }

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if instance := r.Header.Get("Expect-Instance"); instance != "" && instance != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/v1/order" && r.Method == http.MethodPost {
		s.order(w, body)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.mu.Lock()
	full := s.waiting >= s.slots+s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.places <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.places }()
	s.mu.Lock()
	events, quiet, work, beforeAnswer := s.events, s.quiet, s.work, s.beforeAnswer
	s.mu.Unlock()
	if !quiet {
		s.record.addRun(run{
			at: time.Now(), server: s.id, id: id, method: r.Method, target: r.RequestURI, host: r.Host, body: string(body),
			tenant: r.Header.Get("Tenant"), model: r.Header.Get("Model"), key: r.Header.Get("Authorization"),
		})
	}
	if !sleep(r, work) {
		return
	}
	if beforeAnswer != nil {
		beforeAnswer(r)
	}
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	if events == 0 {
		fmt.Fprintf(w, "answer to %s by %s\n", id, s.id)
		return
	}
	s.stream(w, r)
}

// stream writes the events after the one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= s.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("Request-Id"))
		_ = http.NewResponseController(w).Flush()
		if !sleep(r, s.gap) {
			return
		}
	}
}

// sleep waits; it returns false if the caller left.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// order sets memory aside or frees it.
func (s *server) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Op, ID string
		Tokens int
		HoldMs int
	}
	if json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := 0
	for id, tokens := range s.tickets {
		if id != order.ID {
			held += tokens
		}
	}
	switch {
	case order.Op == "release":
		delete(s.tickets, order.ID)
	case order.Op != "reserve" || order.Tokens > s.kv:
		w.WriteHeader(http.StatusBadRequest)
		return
	case held+order.Tokens > s.kv:
		w.WriteHeader(http.StatusConflict)
		return
	default:
		s.tickets[order.ID] = order.Tokens
		time.AfterFunc(time.Duration(order.HoldMs)*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.tickets, order.ID) // renewals are not told apart: no case depends on it
		})
	}
	reply(w, http.StatusOK, map[string]any{"free": s.kv - held})
}
