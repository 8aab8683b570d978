package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the store. Its spec is kept as written.
type object struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       uint64   `json:"revision"`
		CreateRevision uint64   `json:"createRevision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	at      time.Time
	Kind    string `json:"-"`
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's object store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	// keep is how long changes stay in the history.
	keep time.Duration
	// dropped is the revision of the last change that is no longer in the history.
	dropped uint64
	servers []*http.Server
}

func startStore(address string) (*store, error) {
	s := &store{revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{}), keep: 20 * time.Second}
	_, err := s.listen(address)
	return s, err
}

// door is one address of the store, which can turn its callers away.
type door struct {
	store  *store
	closed atomic.Bool
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closed.Load() {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	d.store.ServeHTTP(w, r)
}

// listen opens one more address of the store.
func (s *store) listen(address string) (*door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{store: s}
	server := &http.Server{Handler: d}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return d, nil
}

func (s *store) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// write adds or replaces an object, or removes it if the spec is nil. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	objects := s.kinds[kind]
	if objects == nil {
		objects = map[string]object{}
		s.kinds[kind] = objects
	}
	o, known := objects[name]
	if known && spec != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o.Metadata.Name, o.Metadata.CreateRevision, o.Metadata.Finalizers = name, s.revision, []string{}
	}
	o.Metadata.Revision = s.revision
	if spec == nil {
		delete(objects, name)
	} else {
		o.Spec = spec
		objects[name] = o
	}
	s.history = append(s.history, change{at: time.Now(), Kind: kind, Object: o, Deleted: spec == nil})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object for the operator or a server.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// remove removes an object for the operator or a server.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.kinds[kind][name]; known {
		s.write(kind, name, nil)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if r.Method == http.MethodGet && name == "" {
		if r.URL.Query().Has("watch") {
			s.watch(w, r, kind)
			return
		}
		s.list(w, kind)
		return
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		text, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(text, &body) != nil || body.Spec == nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	o, known := s.kinds[kind][name]
	expected := body.Metadata.Revision
	if n, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = n
	}
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && !known:
		reply(w, http.StatusNotFound, map[string]any{})
	case expected != 0 && expected != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.write(kind, name, nil))
	default:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > s.keep {
			s.dropped = s.history[0].Object.Metadata.Revision
			s.history = s.history[1:]
		}
		events, revision, changed := []change{}, s.revision, s.changed
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		for _, c := range s.history {
			if c.Kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
