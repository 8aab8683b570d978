package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, lists,
// watches and conditional writes, all linearizable. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]map[string]object
	history  []event
	address  string
}

type meta struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore(ip string) (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 10, objects: make(map[string]map[string]object)}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go http.Serve(listener, s)
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
}

// write stores an object and wakes the watches. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, known := s.objects[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o = object{Metadata: meta{Name: name, CreateRevision: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// remove deletes an object. It reports whether there was one.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, Object: o, Deleted: true})
	return true
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveRead(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, known := s.objects[kind][name]
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.Method == http.MethodDelete {
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
}
