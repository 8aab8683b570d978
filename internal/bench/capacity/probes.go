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

var probeSizes = []int{18, 100, targetEngines}

// The real times of one measurement of the probes.
const (
	probeWarmUp      = time.Second
	probeMeasureTime = 4 * time.Second
)

// probeFigures are the measurements of one host that probes the given number of
// engines.
type probeFigures struct {
	engines           int
	bytesPerSecond    float64
	requestsPerSecond float64
	coreShare         float64
	heapBytes         float64
}

// responder is an HTTP handler that answers like an idle engine. It counts the
// bytes in both directions.
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

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

// countingConn counts the bytes that are read from and written to a connection.
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

func (r *measurementRun) addProbeTable() error {
	t := r.newTable("Probes: one host and the engines it watches (HTTP bytes both ways, processor time and heap of both ends)",
		"engines", "requests a second", "bytes a second", "bytes a request", "core", "heap", "for one engine: bytes a second", "core")
	for _, n := range probeSizes {
		r.printProgress(fmt.Sprintf("probes of %d engines", n))
		f, err := measureProbes(n)
		if err != nil {
			return errors.Wrapf(err, "measure the probes of %d engines", n)
		}
		r.figures.probes = f
		e := float64(n)
		t.add(formatNumber(e), formatNumber(f.requestsPerSecond), formatBytes(f.bytesPerSecond), formatNumber(f.bytesPerSecond/f.requestsPerSecond), formatCoreShare(f.coreShare), formatBytes(f.heapBytes),
			formatNumber(f.bytesPerSecond/e), fmt.Sprintf("%.4f%%", 100*f.coreShare/e))
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
	p := probe.New(probe.DefaultConfig(), clock.Start(), client, nil, func(dispatch.Event) {}, func() int { return targetHosts })
	p.Watch(targets)
	defer p.Close()
	time.Sleep(probeWarmUp)
	bytes, requests, used, start := answers.bytes.Load(), answers.requests.Load(), processorTime(), time.Now()
	time.Sleep(probeMeasureTime)
	elapsedSeconds := time.Since(start).Seconds()
	f.bytesPerSecond = float64(answers.bytes.Load()-bytes) / elapsedSeconds
	f.requestsPerSecond = float64(answers.requests.Load()-requests) / elapsedSeconds
	f.coreShare = (processorTime() - used).Seconds() / elapsedSeconds
	f.heapBytes = float64(liveHeap() - heap)
	return f, nil
}
