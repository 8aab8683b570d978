// Package relay passes TCP connections on with the delay, loss and cuts of a
// link between data centres. It forwards bytes and never reads into them.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is the most that is read from a connection at once.
	bufferBytes = 64 << 10
	// packetBytes is the payload of one packet, for which a loss is drawn.
	packetBytes = 1448
	// retransmitDelay is how much later the data after a lost packet arrives.
	retransmitDelay = 200 * time.Millisecond
	// queueChunks bounds the chunks under way in one direction.
	queueChunks = 256
	// dialTimeout bounds the connection to the target.
	dialTimeout = 5 * time.Second
	// cutPoll is how often a held connection looks whether the cut is over.
	cutPoll = 10 * time.Millisecond
)

// Link is the behaviour of all connections between two places.
type Link struct {
	// Delay is the time one way; Jitter is the mean of an exponential
	// addition to it.
	Delay, Jitter time.Duration
	// Loss is the probability that a packet is lost and sent again.
	Loss float64

	cut   atomic.Bool
	bytes atomic.Int64
}

// Cut stops the link: data and new connections wait until Heal.
func (l *Link) Cut() { l.cut.Store(true) }

// Heal ends a cut.
func (l *Link) Heal() { l.cut.Store(false) }

// Bytes is how many bytes were passed on in both directions.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// delay draws the time that a chunk of n bytes takes.
func (l *Link) delay(r *rand.Rand, n int) time.Duration {
	d := l.Delay + time.Duration(r.ExpFloat64()*float64(l.Jitter))
	if l.Loss > 0 {
		for range (n + packetBytes - 1) / packetBytes {
			if r.Float64() < l.Loss {
				return d + retransmitDelay
			}
		}
	}
	return d
}

// Route chooses the link of a connection by where it comes from.
type Route func(from net.IP) *Link

// Over routes every connection over one link.
func Over(link *Link) Route { return func(net.IP) *Link { return link } }

// Relay listens on an address and passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string
	route    Route
	seed     uint64
	done     chan struct{}

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	count       uint64
	closed      bool
	running     sync.WaitGroup
}

// Start listens on address and relays to target over the links of route.
func Start(address, target string, route Route, seed uint64) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for the relay to %s", target)
	}
	r := &Relay{
		listener:    listener,
		target:      target,
		route:       route,
		seed:        seed,
		done:        make(chan struct{}),
		connections: make(map[net.Conn]struct{}),
	}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
	for c := range r.connections {
		_ = c.Close()
	}
	r.mu.Unlock()
	err := r.listener.Close()
	r.running.Wait()
	return errors.Wrap(err, "closing a relay")
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if number, ok := r.add(c); ok {
			go r.serve(c, number)
		}
	}
}

// add registers a connection; the caller starts its goroutine.
func (r *Relay) add(c net.Conn) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return 0, false
	}
	r.connections[c] = struct{}{}
	r.count++
	r.running.Add(1)
	return r.count, true
}

func (r *Relay) remove(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
	r.running.Done()
}

func (r *Relay) serve(caller net.Conn, number uint64) {
	defer r.remove(caller)
	link := r.linkOf(caller)
	if !r.waitHealed(link) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	if _, ok := r.add(target); !ok {
		return
	}
	defer r.remove(target)
	var directions sync.WaitGroup
	directions.Add(2)
	go r.pass(link, target, caller, 2*number, &directions)
	go r.pass(link, caller, target, 2*number+1, &directions)
	directions.Wait()
}

func (r *Relay) linkOf(caller net.Conn) *Link {
	if from, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		return r.route(from.IP)
	}
	return r.route(nil)
}

// waitHealed returns false when the relay was closed during a cut.
func (r *Relay) waitHealed(link *Link) bool {
	for link.cut.Load() {
		select {
		case <-r.done:
			return false
		case <-time.After(cutPoll):
		}
	}
	return true
}

// chunk is data under way.
type chunk struct {
	data []byte
	due  time.Time
}

// pass copies one direction; it ends the whole connection when either side fails.
func (r *Relay) pass(link *Link, to, from net.Conn, stream uint64, directions *sync.WaitGroup) {
	defer directions.Done()
	under := make(chan chunk, queueChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.write(link, to, from, under)
	}()
	r.read(link, from, under, rand.New(rand.NewPCG(r.seed, stream)))
	close(under)
	<-written
}

func (r *Relay) read(link *Link, from net.Conn, under chan<- chunk, random *rand.Rand) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c := chunk{data: append([]byte(nil), buffer[:n]...)}
			c.due = time.Now().Add(link.delay(random, n))
			under <- c
		}
		if err != nil {
			return
		}
	}
}

// write sends chunks when they are due, in order. After the last one it
// closes the sending side, so that the other direction may go on; after a
// failure it closes both connections.
func (r *Relay) write(link *Link, to, from net.Conn, under <-chan chunk) {
	for c := range under {
		time.Sleep(time.Until(c.due))
		if !r.waitHealed(link) || !forward(link, to, c.data) {
			_ = from.Close()
			_ = to.Close()
			break
		}
	}
	for range under {
		// The reader is let go of what it still hands over.
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func forward(link *Link, to net.Conn, data []byte) bool {
	n, err := to.Write(data)
	link.bytes.Add(int64(n))
	return err == nil
}
