// Package peer carries messages between hosts over TCP. A host dials every
// host it sends to and only sends on connections that it dialled; the other
// end answers pings on them, so that a connection that went silent is noticed
// without TCP's help and replaced. Delivery is not promised: messages wait in
// bounded queues that drop the oldest, and those under way are lost with their
// connection.
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

// Sender sends messages to hosts. Tests put lossy ones in its place.
type Sender interface {
	// Send queues a message for the host that listens at the address, and
	// does not block.
	Send(to string, m wire.Message)
}

// Handler takes a message and the address where its sender listens. It is
// called from many goroutines; while it blocks, its connection reads no further.
type Handler func(from string, m wire.Message)

// Dialer opens connections. *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Counts are totals since the start of a Transport.
type Counts struct {
	SentMessages     uint64 `json:"sent_messages"`
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedMessages uint64 `json:"received_messages"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	// Dropped counts messages that gave way to newer ones in a queue.
	Dropped uint64 `json:"dropped_messages"`
	// Dials counts connections opened, Silences those given up for silence,
	// Refused inbound connections closed for a bad frame or their number.
	Dials    uint64 `json:"dials"`
	Silences uint64 `json:"silences"`
	Refused  uint64 `json:"refused"`
}

// Status describes the traffic to one host.
type Status struct {
	Address   string `json:"address"`
	Connected bool   `json:"connected"`
	Queued    int    `json:"queued"`
}

// Transport is a Sender over TCP and the listener for others. Its methods may
// be called from any goroutine.
type Transport struct {
	cfg     Config
	dialer  Dialer
	handler Handler
	logger  log.Interface

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	outbound map[string]*outbound
	inbound  map[net.Conn]struct{}

	counts counters
}

type counters struct {
	sentMessages, sentBytes         atomic.Uint64
	receivedMessages, receivedBytes atomic.Uint64
	dropped                         atomic.Uint64
	dials, silences, refused        atomic.Uint64
}

// New returns a Transport that can send. Call Serve to receive and Close at
// the end. A nil dialer means a plain net.Dialer.
func New(cfg Config, dialer Dialer, handler Handler, logger log.Interface) (*Transport, error) {
	if err := cfg.Validate().Err(); err != nil {
		return nil, errors.Wrap(err, "check transport configuration")
	}
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		cfg:      cfg,
		dialer:   dialer,
		handler:  handler,
		logger:   logger,
		ctx:      ctx,
		cancel:   cancel,
		outbound: make(map[string]*outbound),
		inbound:  make(map[net.Conn]struct{}),
	}, nil
}

// Send queues a message. After Close it does nothing.
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
		t.wait.Go(o.run)
	}
	o.enqueue(m)
}

// Connected says whether a connection to the host is open.
func (t *Transport) Connected(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.outbound[to]
	return o != nil && o.connected.Load()
}

// retire ends the traffic to a host if nothing waits for it.
func (t *Transport) retire(o *outbound) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(o.queue) > 0 {
		return false
	}
	delete(t.outbound, o.to)
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
	t.wait.Wait()
}

// Flush waits until nothing is queued for hosts that are connected, at most
// as long as ctx allows. It serves to get a last announcement out.
func (t *Transport) Flush(ctx context.Context) {
	const checkInterval = 5 * time.Millisecond
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for t.pending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Transport) pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outbound {
		if o.busy() {
			return true
		}
	}
	return false
}

// Counts returns the totals.
func (t *Transport) Counts() Counts {
	return Counts{
		SentMessages:     t.counts.sentMessages.Load(),
		SentBytes:        t.counts.sentBytes.Load(),
		ReceivedMessages: t.counts.receivedMessages.Load(),
		ReceivedBytes:    t.counts.receivedBytes.Load(),
		Dropped:          t.counts.dropped.Load(),
		Dials:            t.counts.dials.Load(),
		Silences:         t.counts.silences.Load(),
		Refused:          t.counts.refused.Load(),
	}
}

// Peers describes the hosts that messages are sent to, by address.
func (t *Transport) Peers() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Status, 0, len(t.outbound))
	for _, o := range t.outbound {
		list = append(list, Status{Address: o.to, Connected: o.connected.Load(), Queued: len(o.queue)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}
