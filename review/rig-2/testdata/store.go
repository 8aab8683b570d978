package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name           string `json:"name"`
		Revision       uint64 `json:"revision"`
		CreateRevision uint64 `json:"createRevision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// historyTime is for how long the store keeps its history: historyS of the settings.
const historyTime = 20 * time.Second

type event struct {
	kind     string
	at       time.Time
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is a stand-in for the platform's store as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object and returns the time of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if !known {
		o.Metadata.CreateRevision = s.revision
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove removes objects, one change after the other, and returns the time of the last
// confirmation.
func (s *store) remove(kind string, names ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		o, known := s.objects[kind][name]
		if !known {
			continue
		}
		s.revision++
		delete(s.objects[kind], name)
		o.Metadata.Revision = s.revision
		s.record(event{kind: kind, revision: s.revision, Deleted: true, Object: o})
	}
	return time.Now()
}

func (s *store) record(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// gate is one machine's address of the store. While it is shut, its calls are turned away
// with 503.
type gate struct {
	store *store
	shut  atomic.Bool
	addr  string

	mu      sync.Mutex
	waiting map[*context.CancelFunc]bool
}

// cut cuts off the watches that wait.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for cancel := range g.waiting {
		(*cancel)()
	}
}

// track makes a call one that cut ends.
func (g *gate) track(r *http.Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[&cancel] = true
	return r.WithContext(ctx), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiting, &cancel)
		cancel()
	}
}

func (s *store) open(ip string) *gate {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	g := &gate{store: s, addr: l.Addr().String(), waiting: map[*context.CancelFunc]bool{}}
	go http.Serve(l, g)
	return g
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.shut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r, done := g.track(r)
	defer done()
	s := g.store
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(raw)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, known := s.objects[kind][name]; known {
			answer(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	names := []string{}
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []object{}
	for _, n := range names {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
			s.forgotten, s.history = s.history[0].revision, s.history[1:]
		}
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodDelete {
		o, known := s.objects[kind][name]
		want := r.URL.Query().Get("revision")
		switch {
		case !known:
			w.WriteHeader(http.StatusNotFound)
		case want != "" && want != fmt.Sprint(o.Metadata.Revision):
			answer(w, http.StatusConflict, o)
		default:
			s.revision++
			delete(s.objects[kind], name)
			o.Metadata.Revision = s.revision
			s.record(event{kind: kind, revision: s.revision, Deleted: true, Object: o})
			answer(w, http.StatusOK, map[string]any{})
		}
		return
	}
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known,
		r.Method == http.MethodPut && known && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}
