package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/probe"
)

var probeSizes = []int{18, 100, aimEngines}

// Times of one measurement of the probes.
const (
	probeSettle = time.Second
	probeQuiet  = 4 * time.Second
)

// probeFigures are of one host and one engine.
type probeFigures struct {
	engines  int
	bytes    float64
	messages float64
	core     float64
	heap     float64
}

// responder answers as idle engines do and counts the bytes of both ways.
type responder struct {
	bytes    atomic.Int64
	requests atomic.Int64
	load     []byte
	events   []byte
	work     []byte
}

func newResponder() *responder {
	models := make([]string, 3)
	for i := range models {
		models[i] = fmt.Sprintf("model-%02d@1", i)
	}
	load := engine.LoadReport{
		Sequence: 1_000_000, Running: 30, PrefillBacklog: 40_000, MemoryUsed: 210_000, MemoryTotal: 400_000,
		PrefillRate: 158_000.25, DecodeStep: 0.01875, Models: models,
	}
	r := &responder{}
	r.load, _ = json.Marshal(load)
	r.events, _ = json.Marshal(engine.CacheEvents{Events: []engine.CacheEvent{}})
	r.work, _ = json.Marshal(engine.WorkList{Work: []engine.WorkEntry{}})
	return r
}

// ServeHTTP implements http.Handler.
func (r *responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.requests.Add(1)
	w.Header().Set("Content-Type", "application/json")
	switch request.URL.Path {
	case engine.PathLoad:
		_, _ = w.Write(r.load)
	case engine.PathCacheEvents:
		_, _ = w.Write(r.events)
	case engine.PathWork:
		_, _ = w.Write(r.work)
	default:
		http.NotFound(w, request)
	}
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (r *run) probes() error {
	t := r.table("Probes: one host and the engines it watches (HTTP bytes both ways, processor time and heap of both ends)",
		"engines", "requests a second", "bytes a second", "bytes a request", "core", "heap", "for one engine: bytes a second", "core")
	for _, n := range probeSizes {
		r.tell(fmt.Sprintf("probes of %d engines", n))
		f, err := measureProbes(n)
		if err != nil {
			return errors.Wrapf(err, "measure the probes of %d engines", n)
		}
		r.figures.probes = f
		e := float64(n)
		t.add(count(e), count(f.messages), size(f.bytes), count(f.bytes/f.messages), core(f.core), size(f.heap),
			count(f.bytes/e), fmt.Sprintf("%.4f%%", 100*f.core/e))
	}
	return nil
}

func measureProbes(engines int) (probeFigures, error) {
	f := probeFigures{engines: engines}
	heap := liveHeap()
	answers := newResponder()
	var targets []probe.Target
	for i := range engines {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, errors.Wrap(err, "listen as an engine")
		}
		server := &http.Server{Handler: answers, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(countingListener{Listener: l, bytes: &answers.bytes}) }()
		defer func() { _ = server.Close() }()
		targets = append(targets, probe.Target{Name: fmt.Sprintf("engine-%04d", i), Address: l.Addr().String()})
	}
	client := engine.NewHTTPClient(httpcall.DefaultConfig())
	defer client.Close()
	p := probe.New(probe.DefaultConfig(), clock.Start(), client, nil, func(dispatch.Event) {}, func() int { return aimHosts })
	p.Watch(targets)
	defer p.Close()
	time.Sleep(probeSettle)
	bytes, requests, used, start := answers.bytes.Load(), answers.requests.Load(), processorTime(), time.Now()
	time.Sleep(probeQuiet)
	passed := time.Since(start).Seconds()
	f.bytes = float64(answers.bytes.Load()-bytes) / passed
	f.messages = float64(answers.requests.Load()-requests) / passed
	f.core = (processorTime() - used).Seconds() / passed
	f.heap = float64(liveHeap() - heap)
	return f, nil
}
