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

	cut, answersCut atomic.Bool
	// slowed is added to Delay, in nanoseconds.
	slowed atomic.Int64
	bytes  atomic.Int64
}

// Cut stops the link: data and new connections wait until Heal.
func (l *Link) Cut() { l.cut.Store(true) }

// CutResponses stops what comes back from the target until Heal; what goes there
// still arrives.
func (l *Link) CutResponses() { l.answersCut.Store(true) }

// AddDelay adds to the delay one way until Heal.
func (l *Link) AddDelay(by time.Duration) { l.slowed.Store(int64(by)) }

// Heal ends cuts and slowness.
func (l *Link) Heal() {
	l.cut.Store(false)
	l.answersCut.Store(false)
	l.slowed.Store(0)
}

// ForwardedBytes is how many bytes were passed on in both directions.
func (l *Link) ForwardedBytes() int64 { return l.bytes.Load() }

// delay draws the time that a chunk of n bytes takes.
func (l *Link) delay(r *rand.Rand, n int) time.Duration {
	d := l.Delay + time.Duration(l.slowed.Load()) + time.Duration(r.ExpFloat64()*float64(l.Jitter))
	if l.Loss > 0 {
		for range (n + packetBytes - 1) / packetBytes {
			if r.Float64() < l.Loss {
				return d + retransmitDelay
			}
		}
	}
	return d
}

// LinkSelector chooses the link of a connection by where it comes from.
type LinkSelector func(from net.IP) *Link

// SingleLink routes every connection over one link.
func SingleLink(link *Link) LinkSelector { return func(net.IP) *Link { return link } }

// Relay listens on an address and passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string
	route    LinkSelector
	seed     uint64
	done     chan struct{}

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	// pairs are the relayed connections.
	pairs   map[*pair]struct{}
	count   uint64
	closed  bool
	running sync.WaitGroup
}

// Start listens on address and relays to target over the links of route.
func Start(address, target string, route LinkSelector, seed uint64) (*Relay, error) {
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
		pairs:       make(map[*pair]struct{}),
	}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// pair is one relayed connection.
type pair struct {
	caller, target net.Conn
	// silent says that nothing more gets through, without an end to be seen.
	silent atomic.Bool
}

// BlackholeConnections lets all present connections go silent for good. New ones work.
func (r *Relay) BlackholeConnections() {
	for _, p := range r.present() {
		p.silent.Store(true)
	}
}

// ResetConnections resets all present connections.
func (r *Relay) ResetConnections() {
	for _, p := range r.present() {
		for _, c := range []net.Conn{p.caller, p.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (r *Relay) present() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		present = append(present, p)
	}
	return present
}

func (r *Relay) join(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pairs[p] = struct{}{}
}

func (r *Relay) part(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
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
	if !r.wait(link.cut.Load) {
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
	p := &pair{caller: caller, target: target}
	r.join(p)
	defer r.part(p)
	there := &direction{relay: r, link: link, pair: p, to: target, from: caller}
	back := &direction{relay: r, link: link, pair: p, to: caller, from: target, answers: true}
	var directions sync.WaitGroup
	directions.Go(func() { there.pass(2 * number) })
	directions.Go(func() { back.pass(2*number + 1) })
	directions.Wait()
}

func (r *Relay) linkOf(caller net.Conn) *Link {
	if from, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		return r.route(from.IP)
	}
	return r.route(nil)
}

// wait waits while something is held, and returns false when the relay was
// closed meanwhile.
func (r *Relay) wait(held func() bool) bool {
	for held() {
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

// direction is one way of a relayed connection.
type direction struct {
	relay    *Relay
	link     *Link
	pair     *pair
	to, from net.Conn
	// answers marks the way back from the target.
	answers bool
}

// held says whether nothing gets through now.
func (d *direction) held() bool {
	return d.link.cut.Load() || d.answers && d.link.answersCut.Load()
}

// pass copies one direction; it ends the whole connection when either side fails.
func (d *direction) pass(stream uint64) {
	under := make(chan chunk, queueChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.write(under)
	}()
	d.read(under, rand.New(rand.NewPCG(d.relay.seed, stream)))
	close(under)
	<-written
}

func (d *direction) read(under chan<- chunk, random *rand.Rand) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 {
			c := chunk{data: append([]byte(nil), buffer[:n]...)}
			c.due = time.Now().Add(d.link.delay(random, n))
			under <- c
		}
		if err != nil {
			return
		}
	}
}

// write sends chunks when they are due, in order. After the last one it
// closes the sending side, so that the other direction may go on; after a
// failure it closes both connections. On a silent connection it sends nothing
// and closes nothing before the relay ends.
func (d *direction) write(under <-chan chunk) {
	for c := range under {
		time.Sleep(time.Until(c.due))
		if !d.relay.wait(d.held) || !d.forward(c.data) {
			_ = d.from.Close()
			_ = d.to.Close()
			break
		}
	}
	for range under {
		// The reader is let go of what it still hands over.
	}
	if d.pair.silent.Load() {
		<-d.relay.done
		return
	}
	if half, ok := d.to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

// forward sends data and returns false when that failed.
func (d *direction) forward(data []byte) bool {
	if d.pair.silent.Load() {
		return true
	}
	n, err := d.to.Write(data)
	d.link.bytes.Add(int64(n))
	return err == nil
}
