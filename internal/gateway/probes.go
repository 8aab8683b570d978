package gateway

import (
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutline/chestnutline/internal/memory"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

// The readiness checks of the load balancer and the questions of operators come on addresses
// of their own, a few at a time. Whoever else connects there must not take the memory and
// the descriptors of the host, nor keep the checks out.
const (
	// probeConnections is the number of connections on each of these addresses.
	probeConnections = 16
	// probeBytes is the memory for them.
	probeBytes = 2 << 20
	// probeHeadBytes is the size of the largest head.
	probeHeadBytes = 4 << 10
	// probeTimeout limits the time for a question and for taking its answer.
	probeTimeout = 10 * time.Second
)

// probeListener accepts connections on an address for checks or operators. When there are
// too many, the one that has waited longest makes place.
type probeListener struct {
	callerListener
	metrics *telemetry.Registry
	address string

	mu     sync.Mutex
	counts memory.Figures
}

// limitProbes bounds the connections of a listener.
func (p *Process) limitProbes(l net.Listener, address string) net.Listener {
	return &probeListener{
		callerListener: callerListener{
			Listener: l, budget: memory.NewWithConnections(probeBytes, probeConnections),
			headLimit: func() int { return probeHeadBytes }, headRefused: func() { p.headsRefused.Add(1) },
		},
		metrics: p.metrics, address: address,
	}
}

// Accept waits for a connection, and counts those that had to end for others.
func (l *probeListener) Accept() (net.Conn, error) {
	conn, err := l.callerListener.Accept()
	figures := l.budget.Figures()
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := figures.Refused[memory.Connection] + figures.GaveWay[memory.Connection] - l.counts.Refused[memory.Connection] - l.counts.GaveWay[memory.Connection]
	if ended > 0 {
		l.metrics.Count("gateway_probe_connections_ended_total", ended, "address", l.address)
	}
	l.counts = figures
	return conn, err
}

// limitProbeServer makes a server take the connections of a probeListener.
func limitProbeServer(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !callerConnOf(r).endHead() {
			// The connection has made place for another one.
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout, s.MaxHeaderBytes = probeTimeout, probeTimeout, probeTimeout, probeHeadBytes
	s.ConnContext, s.ConnState = withCallerConn, trackHeads
}

// serveProbes is like serveHTTP, for the address of the readiness checks.
func (p *Process) serveProbes(s *http.Server) func(net.Listener) error {
	return func(l net.Listener) error { return serveHTTP(s)(p.limitProbes(l, "ready")) }
}

// openAnswer opens a share of the host's memory for an answer.
func (p *Process) openAnswer(giveWay func()) holding { return p.budget.Open(memory.Answer, giveWay) }

// openMessage opens a share of the host's memory for a message between hosts.
func (p *Process) openMessage(giveWay func()) holding { return p.budget.Open(memory.Message, giveWay) }

// peerConnections returns how many connections of other hosts are taken, for the number of
// descriptors that the process may open; 0 for no limit. Most of them are for callers.
func peerConnections(descriptors int) int {
	const shareOfPeers, minPeers = 16, 32
	if descriptors <= 0 {
		return math.MaxInt
	}
	return max(minPeers, descriptors/shareOfPeers)
}
