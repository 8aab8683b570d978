package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a sound server of a service without an engine.
type server struct {
	rig                     *rig
	id, service, zone, addr string
	born                    int64
	work                    time.Duration
	http                    *http.Server

	mu   sync.Mutex
	seen []arrival
}

// arrival is a request that a server got, and ran unless it turned it away.
type arrival struct {
	id, target, host string
	at               time.Time
	ran              bool
	endedAt          time.Time
}

// addServer starts a server and registers it.
func (r *rig) addServer(id, service, zone, ip string, work time.Duration) *server {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s := &server{rig: r, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), work: work}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	s.register("ready")
	return s
}

func (s *server) register(state string) time.Time {
	return s.rig.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": 1, "slots": 6,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": s.born,
	})
}

// exit ends the server like a process that ends: what it works on is cut off.
func (s *server) exit() {
	s.http.Close()
	s.rig.note("server %s has ended", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": 0, "born": s.born})
		return
	}
	id := r.Header.Get("Request-Id")
	a := arrival{id: id, target: r.RequestURI, at: at}
	refuse := 0
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		refuse = http.StatusMisdirectedRequest
	} else if id == "" {
		refuse = http.StatusBadRequest
	}
	if refuse != 0 {
		s.add(a)
		s.rig.noteAt(at, "request %s reaches %s, which turns it away with %d", id, s.id, refuse)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", id)
		w.WriteHeader(refuse)
		return
	}
	io.Copy(io.Discard, r.Body)
	a.ran = true
	i := s.add(a)
	s.rig.noteAt(at, "request %s (%s %s) reaches %s, which runs it", id, r.Method, r.RequestURI, s.id)
	if !wait(r.Context(), s.work) {
		s.rig.note("server %s was cut off at work on %s", s.id, id)
		return
	}
	s.mu.Lock()
	s.seen[i].endedAt = time.Now()
	s.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	fmt.Fprintf(w, "done by %s for %s", s.id, id)
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *server) add(a arrival) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, a)
	return len(s.seen) - 1
}

// arrivals returns what the server got.
func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.seen...)
}

// call is one consumer attempt and its answer.
type call struct {
	id, host string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 for a channel that ended without an answer
	body     string
	err      string
}

// consumer sends requests, each on a channel of its own.
type consumer struct {
	rig    *rig
	client *http.Client

	// key is the API key of the next requests; none if it is empty.
	key string

	mu    sync.Mutex
	calls map[string]*call
	next  int
	wg    sync.WaitGroup
}

func newConsumer(r *rig) *consumer {
	return &consumer{
		rig: r, calls: map[string]*call{},
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// send sends one request in the background.
func (c *consumer) send(h *host, method, domain, target, body string, deadline time.Duration) string {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%08x%08x", c.next, c.rig.start.UnixNano()&0xffffffff)
	k := &call{id: id, host: h.name}
	c.calls[id] = k
	key := c.key
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, target), strings.NewReader(body))
		check(err)
		request.Host = domain
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		if key != "" {
			request.Header.Set("Authorization", "Token "+key)
		}
		k.sentAt = time.Now()
		c.rig.noteAt(k.sentAt, "request %s (%s %s) sent to %s", id, method, target, h.name)
		response, err := c.client.Do(request)
		if err == nil {
			var answered []byte
			answered, err = io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil {
				k.status, k.body = response.StatusCode, string(answered)
			}
		}
		k.endedAt = time.Now()
		if err != nil {
			k.err = err.Error()
			c.rig.noteAt(k.endedAt, "request %s: no answer: %v", id, err)
			return
		}
		c.rig.noteAt(k.endedAt, "request %s is answered %d %q", id, k.status, k.body)
	}()
	return id
}
