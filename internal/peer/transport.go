// Package peer carries messages between hosts over TCP. A host dials every host
// that it sends messages to, and sends messages only on connections that it
// dialled. The other end answers pings on such a connection, so that a silent
// connection is detected and replaced without relying on TCP timeouts. Delivery
// is not guaranteed: messages wait in bounded queues that drop the oldest
// message when they are full, and messages in transit are lost when their
// connection breaks.
package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// Sender sends messages to hosts. Tests use implementations that lose messages.
type Sender interface {
	// Send queues a message for the host that listens at the address. It does
	// not block.
	Send(to string, m wire.Message)
}

// Handler receives a message and the address where its sender listens. It is
// called from many goroutines. No further message is read from a connection
// while the handler blocks.
type Handler func(from string, m wire.Message)

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Counts holds totals since a Transport was created. SentMessages includes
// hellos and pings, ReceivedMessages only the messages passed to the handler.
// ReceivedBytes does not include pongs.
type Counts struct {
	SentMessages     uint64 `json:"sent_messages"`
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedMessages uint64 `json:"received_messages"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	// Dropped counts messages that were not sent because their queue was full
	// or their host could not be reached.
	Dropped uint64 `json:"dropped_messages"`
	// Dials counts the connections that this host opened. SilentConnections
	// counts those that were closed because a ping was not answered. Refused
	// counts inbound connections that were closed because of an invalid frame
	// or because there were too many.
	Dials             uint64 `json:"dials"`
	SilentConnections uint64 `json:"silences"`
	Refused           uint64 `json:"refused"`
}

// Status describes the outbound traffic to one host. Queued is the number of
// messages that wait to be sent.
type Status struct {
	Address   string `json:"address"`
	Connected bool   `json:"connected"`
	Queued    int    `json:"queued"`
}

// Transport sends messages to other hosts and receives messages from them over
// TCP. It implements Sender. Its methods may be called from any goroutine.
type Transport struct {
	cfg     Config
	dialer  Dialer
	handler Handler
	logger  log.Interface

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	outbound map[string]*outbound
	inbound  map[*inboundConn]struct{}
	// maxInbound bounds the number of inbound connections.
	maxInbound int

	counts counters
}

// counters holds the values of Counts, which many goroutines change.
type counters struct {
	sentMessages, sentBytes           atomic.Uint64
	receivedMessages, receivedBytes   atomic.Uint64
	dropped                           atomic.Uint64
	dials, silentConnections, refused atomic.Uint64
}

// New returns a Transport that can send. Call Serve to receive messages and
// Close at the end. A nil dialer means a plain net.Dialer.
func New(cfg Config, dialer Dialer, handler Handler, logger log.Interface) (*Transport, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "check transport configuration")
	}
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		cfg:        cfg,
		dialer:     dialer,
		handler:    handler,
		logger:     logger,
		ctx:        ctx,
		cancel:     cancel,
		outbound:   make(map[string]*outbound),
		inbound:    make(map[*inboundConn]struct{}),
		maxInbound: cfg.MaxInbound,
	}, nil
}

// Send queues a message for the host at an address of the form ip:port. It does
// nothing after Close, or when the address is not valid.
func (t *Transport) Send(to string, m wire.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !validAddress(to) {
		return
	}
	o := t.outbound[to]
	if o == nil {
		o = newOutbound(t, to)
		t.outbound[to] = o
		// A dial that fails drops what is queued, so the message has to be queued before.
		defer t.goroutines.Go(o.run)
	}
	o.enqueue(m)
}

// LimitInbound lowers the bound on inbound connections. It is called before Serve.
func (t *Transport) LimitInbound(connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxInbound = min(t.maxInbound, max(1, connections))
}

// Connected reports whether a connection to the host at an address is open.
func (t *Transport) Connected(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.outbound[to]
	return o != nil && o.connected.Load()
}

// Reconnect ends the pauses after failed attempts to connect to other hosts. It is for
// a caller that has found this host to be connected again.
func (t *Transport) Reconnect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outbound {
		o.endBackoff()
	}
}

// recordReachable ends the pause before the next attempt to connect to a host that
// has connected to this one.
func (t *Transport) recordReachable(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.outbound[address]; o != nil {
		o.endBackoff()
	}
}

// removeOutbound removes an outbound whose queue is empty, so that its
// goroutine can end. It reports whether the outbound was removed.
func (t *Transport) removeOutbound(o *outbound) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.queue) > 0 {
		return false
	}
	delete(t.outbound, o.address)
	return true
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.cancel()
	for conn := range t.inbound {
		conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// Flush waits until no messages are queued for hosts with an open connection,
// or until ctx ends. A process that stops calls it to send its last
// announcement.
func (t *Transport) Flush(ctx context.Context) {
	const checkInterval = 5 * time.Millisecond
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for t.anyUnsent() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// anyUnsent reports whether any host with an open connection has messages that
// are not yet written.
func (t *Transport) anyUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outbound {
		if o.hasUnsent() {
			return true
		}
	}
	return false
}

// Counts returns the current totals.
func (t *Transport) Counts() Counts {
	return Counts{
		SentMessages:      t.counts.sentMessages.Load(),
		SentBytes:         t.counts.sentBytes.Load(),
		ReceivedMessages:  t.counts.receivedMessages.Load(),
		ReceivedBytes:     t.counts.receivedBytes.Load(),
		Dropped:           t.counts.dropped.Load(),
		Dials:             t.counts.dials.Load(),
		SilentConnections: t.counts.silentConnections.Load(),
		Refused:           t.counts.refused.Load(),
	}
}

// Peers returns the status of the hosts that messages are sent to, ordered by
// address.
func (t *Transport) Peers() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Status, 0, len(t.outbound))
	for _, o := range t.outbound {
		list = append(list, Status{Address: o.address, Connected: o.connected.Load(), Queued: len(o.queue)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}
