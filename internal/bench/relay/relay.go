// Package relay forwards TCP connections to a target and adds the delay, packet
// loss and interruptions of a link between data centres. It copies bytes without
// interpreting them.
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
	// readBufferBytes is the size of the buffer for one read from a connection.
	readBufferBytes = 64 << 10
	// packetPayloadBytes is the payload of one packet. A loss is drawn for each
	// packet.
	packetPayloadBytes = 1448
	// retransmitDelay is the extra time that data takes after a lost packet.
	retransmitDelay = 200 * time.Millisecond
	// maxQueuedChunks limits the chunks in transit in one direction of a
	// connection.
	maxQueuedChunks = 256
	// targetDialTimeout limits the time to connect to the target.
	targetDialTimeout = 5 * time.Second
	// holdPollInterval is the time between two checks of a held connection for
	// the end of the cut.
	holdPollInterval = 10 * time.Millisecond
)

// Link holds the network conditions of all connections between two endpoints, such
// as hosts or data centres. Its zero value forwards data without delay or
// loss.
type Link struct {
	// Delay is the time that data takes in one direction; Jitter is the mean of
	// an exponentially distributed time that is added to it.
	Delay, Jitter time.Duration
	// Loss is the probability, 0 to 1, that a packet is lost and sent again.
	Loss float64

	// cut holds the data of both directions, responsesCut that of the direction
	// from the target.
	cut, responsesCut atomic.Bool
	// extraDelay is added to Delay, in nanoseconds.
	extraDelay atomic.Int64
	// forwardedBytes counts the bytes of both directions.
	forwardedBytes atomic.Int64
}

// Cut interrupts the link: data and new connections are held until Heal.
func (l *Link) Cut() { l.cut.Store(true) }

// CutResponses holds the data that comes from the target until Heal; data to the
// target still arrives.
func (l *Link) CutResponses() { l.responsesCut.Store(true) }

// AddDelay adds extra to the delay of each direction until Heal. It replaces what
// an earlier call added.
func (l *Link) AddDelay(extra time.Duration) { l.extraDelay.Store(int64(extra)) }

// Heal ends the cuts and the extra delay of the link.
func (l *Link) Heal() {
	l.cut.Store(false)
	l.responsesCut.Store(false)
	l.extraDelay.Store(0)
}

// ForwardedBytes returns how many bytes were forwarded in both directions.
func (l *Link) ForwardedBytes() int64 { return l.forwardedBytes.Load() }

// transferDelay draws the time that a chunk of n bytes takes in one direction.
func (l *Link) transferDelay(random *rand.Rand, n int) time.Duration {
	d := l.Delay + time.Duration(l.extraDelay.Load()) + time.Duration(random.ExpFloat64()*float64(l.Jitter))
	if l.Loss > 0 {
		for range (n + packetPayloadBytes - 1) / packetPayloadBytes {
			if random.Float64() < l.Loss {
				return d + retransmitDelay
			}
		}
	}
	return d
}

// LinkSelector returns the link that a connection uses, given the connection's
// source address, which is nil if it is not known.
type LinkSelector func(from net.IP) *Link

// SingleLink returns a selector that uses one link for all connections.
func SingleLink(link *Link) LinkSelector { return func(net.IP) *Link { return link } }

// Relay listens on an address and forwards connections to a target. Close stops
// it.
type Relay struct {
	listener   net.Listener
	target     string
	selectLink LinkSelector
	randomSeed uint64
	// done is closed when the relay is closed.
	done chan struct{}

	mu sync.Mutex
	// connections holds the open connections to callers and to the target.
	connections map[net.Conn]struct{}
	// pairs holds the connections that are being forwarded.
	pairs map[*connectionPair]struct{}
	// connectionCount counts the registered connections of both sides. A
	// connection's number selects its streams of random numbers.
	connectionCount uint64
	closed          bool
	// goroutines waits for the accept loop and for all registered connections.
	goroutines sync.WaitGroup
}

// Start listens on address and forwards each connection to target over the link
// that selectLink returns. The seed determines the delays and losses drawn.
func Start(address, target string, selectLink LinkSelector, seed uint64) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the relay to %s", target)
	}
	r := &Relay{
		listener:    listener,
		target:      target,
		selectLink:  selectLink,
		randomSeed:  seed,
		done:        make(chan struct{}),
		connections: make(map[net.Conn]struct{}),
		pairs:       make(map[*connectionPair]struct{}),
	}
	r.goroutines.Add(1)
	go r.accept()
	return r, nil
}

// connectionPair is one forwarded connection: the caller's side and the target's.
type connectionPair struct {
	caller, target net.Conn
	// blackholed is set while data of both directions is dropped while the
	// connection stays open, so that neither side sees an end.
	blackholed atomic.Bool
}

// BlackholeConnections drops all further data of the present connections and keeps
// them open until the relay is closed. New connections work as before.
func (r *Relay) BlackholeConnections() {
	for _, p := range r.currentPairs() {
		p.blackholed.Store(true)
	}
}

// ResetConnections closes all present connections with a TCP reset.
func (r *Relay) ResetConnections() {
	for _, p := range r.currentPairs() {
		for _, c := range []net.Conn{p.caller, p.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// currentPairs returns the connections that are being forwarded at present.
func (r *Relay) currentPairs() []*connectionPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := make([]*connectionPair, 0, len(r.pairs))
	for p := range r.pairs {
		current = append(current, p)
	}
	return current
}

// addPair adds a forwarded connection to those that faults affect.
func (r *Relay) addPair(p *connectionPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pairs[p] = struct{}{}
}

// removePair removes a forwarded connection that has ended.
func (r *Relay) removePair(p *connectionPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay, closes all its connections and waits for its goroutines.
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
	r.goroutines.Wait()
	return errors.Wrap(err, "close the relay")
}

// accept forwards each new connection until the listener is closed.
func (r *Relay) accept() {
	defer r.goroutines.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if number, ok := r.addConnection(c); ok {
			go r.serve(c, number)
		}
	}
}

// addConnection registers a connection, and closes it instead if the relay is
// closed. The caller starts the connection's goroutine, which ends with
// removeConnection.
func (r *Relay) addConnection(c net.Conn) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return 0, false
	}
	r.connections[c] = struct{}{}
	r.connectionCount++
	r.goroutines.Add(1)
	return r.connectionCount, true
}

// removeConnection closes a connection at the end of its goroutine.
func (r *Relay) removeConnection(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
	r.goroutines.Done()
}

// serve forwards a caller's connection until it ends. The number of the connection
// selects the streams of random numbers of its two directions.
func (r *Relay) serve(caller net.Conn, number uint64) {
	defer r.removeConnection(caller)
	link := r.linkOf(caller)
	if !r.waitWhileHeld(link.cut.Load) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, targetDialTimeout)
	if err != nil {
		return
	}
	if _, ok := r.addConnection(target); !ok {
		return
	}
	defer r.removeConnection(target)
	p := &connectionPair{caller: caller, target: target}
	r.addPair(p)
	defer r.removePair(p)
	toTarget := &direction{relay: r, link: link, pair: p, to: target, from: caller}
	toCaller := &direction{relay: r, link: link, pair: p, to: caller, from: target, isResponse: true}
	var directions sync.WaitGroup
	directions.Go(func() { toTarget.copyData(2 * number) })
	directions.Go(func() { toCaller.copyData(2*number + 1) })
	directions.Wait()
}

// linkOf returns the link for a caller's connection.
func (r *Relay) linkOf(caller net.Conn) *Link {
	if from, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		return r.selectLink(from.IP)
	}
	return r.selectLink(nil)
}

// waitWhileHeld returns true once isHeld returns false, or false if the relay was
// closed in the meantime.
func (r *Relay) waitWhileHeld(isHeld func() bool) bool {
	for isHeld() {
		select {
		case <-r.done:
			return false
		case <-time.After(holdPollInterval):
		}
	}
	return true
}

// chunk is data in transit that is forwarded at the time deliverAt.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// direction copies data from one side of a forwarded connection to the other.
type direction struct {
	relay    *Relay
	link     *Link
	pair     *connectionPair
	to, from net.Conn
	// isResponse marks the direction from the target to the caller.
	isResponse bool
}

// isHeld reports whether a cut holds the data of this direction.
func (d *direction) isHeld() bool {
	return d.link.cut.Load() || d.isResponse && d.link.responsesCut.Load()
}

// copyData copies the data of this direction until its source ends; a failed write
// ends the connection in both directions. The random numbers of the delays depend
// on the relay's seed and on randomStream.
func (d *direction) copyData(randomStream uint64) {
	queue := make(chan chunk, maxQueuedChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.deliverChunks(queue)
	}()
	d.readChunks(queue, rand.New(rand.NewPCG(d.relay.randomSeed, randomStream)))
	close(queue)
	<-written
}

// readChunks queues the data read from the source with the time of its delivery,
// until the source ends.
func (d *direction) readChunks(queue chan<- chunk, random *rand.Rand) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 {
			c := chunk{data: append([]byte(nil), buffer[:n]...)}
			c.deliverAt = time.Now().Add(d.link.transferDelay(random, n))
			queue <- c
		}
		if err != nil {
			return
		}
	}
}

// deliverChunks writes the queued chunks in order, each at its delivery time.
// After the last one it closes the sending side of the receiving connection, so
// that the other direction can continue. After a failed write it closes both
// connections. For a blackholed connection it writes nothing and closes nothing
// until the relay is closed.
func (d *direction) deliverChunks(queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.deliverAt))
		if !d.relay.waitWhileHeld(d.isHeld) || !d.forward(c.data) {
			_ = d.from.Close()
			_ = d.to.Close()
			break
		}
	}
	for range queue {
		// Drain the queue so that the reader does not block on it.
	}
	if d.pair.blackholed.Load() {
		<-d.relay.done
		return
	}
	if sendingSide, ok := d.to.(*net.TCPConn); ok {
		_ = sendingSide.CloseWrite()
	}
}

// forward writes data to the receiving side and returns false if the write
// failed. It drops the data of a blackholed connection.
func (d *direction) forward(data []byte) bool {
	if d.pair.blackholed.Load() {
		return true
	}
	n, err := d.to.Write(data)
	d.link.forwardedBytes.Add(int64(n))
	return err == nil
}
