package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// testTimeout bounds the wait for a condition that a test expects.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// discardLogger returns a logger without output.
func discardLogger() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.DebugLevel}
}

// fastConfig returns a configuration with short pauses and timeouts.
func fastConfig(address string) Config {
	cfg := DefaultConfig(address)
	cfg.MinBackoff = 5 * time.Millisecond
	cfg.MaxBackoff = 20 * time.Millisecond
	cfg.PingInterval = 20 * time.Millisecond
	cfg.SilenceTimeout = 500 * time.Millisecond
	return cfg
}

// inbox collects the Host fields of the heartbeats received, and the address of
// the last sender.
type inbox struct {
	mu    sync.Mutex
	from  string
	hosts []string
}

// handle is the Handler of a transport.
func (b *inbox) handle(from string, m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.from = from
	b.hosts = append(b.hosts, m.(wire.Heartbeat).Host)
}

// receivedHosts returns a copy of the names received so far.
func (b *inbox) receivedHosts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.hosts...)
}

// listen opens a port that is closed at the end of the test.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// listenAlone opens a listener at a loopback address that only this process uses, so that
// no other process takes its port after it is closed.
func listenAlone(t *testing.T) net.Listener {
	t.Helper()
	pid := os.Getpid()
	return listen(t, fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&0x3f, pid>>8&0xff, max(1, pid&0xff)))
}

// newTransport returns a transport that is closed at the end of the test.
func newTransport(t *testing.T, cfg Config, dialer Dialer, handler Handler) *Transport {
	t.Helper()
	tr, err := New(cfg, dialer, handler, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr
}

// serve starts a transport that accepts connections on the listener. The
// function change may adapt its configuration.
func serve(t *testing.T, l net.Listener, b *inbox, change func(*Config)) *Transport {
	t.Helper()
	cfg := fastConfig(l.Addr().String())
	if change != nil {
		change(&cfg)
	}
	tr := newTransport(t, cfg, nil, b.handle)
	serveErr := make(chan error, 1)
	go func() { serveErr <- tr.Serve(l) }()
	t.Cleanup(func() {
		tr.Close()
		if err := <-serveErr; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return tr
}

// TestMessagesArriveInOrderWithSenderAddress checks that the messages of one
// host arrive in the order in which they were sent, with the address where the
// sender listens.
func TestMessagesArriveInOrderWithSenderAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	tr := newTransport(t, fastConfig("127.0.0.1:1"), nil, nil)
	for _, name := range []string{"a", "b", "c"} {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: name})
	}
	g.Eventually(b.receivedHosts, testTimeout).Should(gomega.Equal([]string{"a", "b", "c"}))
	g.Expect(b.from).To(gomega.Equal("127.0.0.1:1"))
}

// TestFullQueueDropsOldestMessages queues four messages for a host that is not
// yet connected. The queue holds two, so the first two must be dropped.
func TestFullQueueDropsOldestMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	gate := &gatedDialer{open: make(chan struct{})}
	cfg := fastConfig("127.0.0.1:1")
	cfg.QueueLength = 2
	cfg.DialTimeout = testTimeout
	tr := newTransport(t, cfg, gate, nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: name})
	}
	close(gate.open)
	g.Eventually(b.receivedHosts, testTimeout).Should(gomega.Equal([]string{"c", "d"}))
	g.Expect(tr.Counts().Dropped).To(gomega.Equal(uint64(2)))
}

// gatedDialer delays every dial until the channel open is closed.
type gatedDialer struct {
	net.Dialer
	open chan struct{}
}

// DialContext implements Dialer.
func (d *gatedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-d.open:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// TestTransportReconnectsAfterPeerRestart closes the receiving transport and
// starts another one at the same address.
func TestTransportReconnectsAfterPeerRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	var first, second inbox
	l := listenAlone(t)
	address := l.Addr().String()
	firstTransport := serve(t, l, &first, nil)
	tr := newTransport(t, fastConfig("127.0.0.1:1"), nil, nil)
	tr.Send(address, wire.Heartbeat{Host: "before"})
	g.Eventually(first.receivedHosts, testTimeout).Should(gomega.Equal([]string{"before"}))
	firstTransport.Close()
	g.Eventually(func() error { return checkCanListen(address) }, testTimeout).Should(gomega.Succeed())
	serve(t, listen(t, address), &second, nil)
	g.Eventually(func() []string {
		tr.Send(address, wire.Heartbeat{Host: "after"})
		return second.receivedHosts()
	}, testTimeout).Should(gomega.ContainElement("after"))
}

// TestQueueIsDroppedWhenDialFails sends to an address where nobody listens.
// Neither the message nor the state of the host may be kept.
func TestQueueIsDroppedWhenDialFails(t *testing.T) {
	g := gomega.NewWithT(t)
	l := listenAlone(t)
	address := l.Addr().String()
	l.Close()
	tr := newTransport(t, fastConfig("127.0.0.1:1"), nil, nil)
	tr.Send(address, wire.Heartbeat{Host: "a"})
	g.Eventually(tr.Peers, testTimeout).Should(gomega.BeEmpty())
	g.Expect(tr.Counts().Dropped).To(gomega.Equal(uint64(1)))
}

// TestBackoffEndsWhenTheOtherHostIsReachable guards against hosts that do not hear
// of each other for seconds after a cut.
func TestBackoffEndsWhenTheOtherHostIsReachable(t *testing.T) {
	for name, signal := range map[string]func(tr *Transport, other string){
		"by its own connection": func(tr *Transport, other string) {
			back := newTransport(t, fastConfig(other), nil, nil)
			back.Send(tr.cfg.Address, wire.Heartbeat{Host: "back"})
		},
		"by a call": func(tr *Transport, _ string) { tr.Reconnect() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			own, other := listen(t, "127.0.0.1:0"), listenAlone(t)
			address := other.Addr().String()
			other.Close()
			var ignored, received inbox
			tr := serve(t, own, &ignored, func(c *Config) { c.MinBackoff, c.MaxBackoff = time.Hour, time.Hour })
			tr.Send(address, wire.Heartbeat{Host: "lost"})
			g.Eventually(func() uint64 { return tr.Counts().Dropped }, testTimeout).Should(gomega.BeNumerically(">", 0))
			tr.Send(address, wire.Heartbeat{Host: "queued"})
			serve(t, listen(t, address), &received, nil)
			g.Consistently(received.receivedHosts, 200*time.Millisecond).Should(gomega.BeEmpty())
			signal(tr, address)
			g.Eventually(received.receivedHosts, testTimeout).Should(gomega.Equal([]string{"queued"}))
		})
	}
}

// checkCanListen returns an error as long as the address is in use.
func checkCanListen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// relay forwards connections to a target. It can stop forwarding on those that
// are open, without closing them; later connections are forwarded.
type relay struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	connections []*relayedConnection
	goroutines  sync.WaitGroup
}

// relayedConnection is the pair of connections to the host that dialled and to
// the target.
type relayedConnection struct {
	client, server net.Conn
	silent         bool
}

// newRelay starts a relay that is closed at the end of the test.
func newRelay(t *testing.T, target string) *relay {
	r := &relay{listener: listen(t, "127.0.0.1:0"), target: target}
	r.goroutines.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

// accept starts to forward every new connection.
func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		conn := &relayedConnection{client: client, server: server}
		r.mu.Lock()
		r.connections = append(r.connections, conn)
		r.mu.Unlock()
		r.goroutines.Go(func() { r.forward(conn, conn.server, conn.client) })
		r.goroutines.Go(func() { r.forward(conn, conn.client, conn.server) })
	}
}

// forward copies bytes in one direction. While the connection is silent, it
// reads and drops the bytes, and the end of one side does not close the other.
func (r *relay) forward(conn *relayedConnection, to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		silent := conn.silent
		r.mu.Unlock()
		if err != nil && !silent {
			to.Close()
		}
		if err != nil {
			return
		}
		if !silent {
			to.Write(buffer[:n])
		}
	}
}

// stopForwarding makes all connections silent that are open now.
func (r *relay) stopForwarding() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.connections {
		conn.silent = true
	}
}

// close ends all connections and waits for their goroutines.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.connections {
		conn.client.Close()
		conn.server.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// deliversAfterSilence reports whether a message arrives within the limit after
// a relay between two hosts has stopped forwarding on their connection without
// closing it, like a network device that has lost its connection table.
func deliversAfterSilence(t *testing.T, cfg Config, limit time.Duration) bool {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	r := newRelay(t, l.Addr().String())
	address := r.listener.Addr().String()
	tr := newTransport(t, cfg, nil, nil)
	tr.Send(address, wire.Heartbeat{Host: "before"})
	g.Eventually(b.receivedHosts, testTimeout).Should(gomega.Equal([]string{"before"}))
	r.stopForwarding()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		tr.Send(address, wire.Heartbeat{Host: "after"})
		if names := b.receivedHosts(); names[len(names)-1] == "after" {
			return true
		}
	}
	return false
}

// TestSilentConnectionIsReplaced checks that a transport detects a silent
// connection by its pings and sends the next messages on a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	if !deliversAfterSilence(t, fastConfig("127.0.0.1:1"), testTimeout) {
		t.Fatal("no message arrived on a new connection")
	}
}

// TestSilentConnectionIsNotDetectedWithoutPings shows that the check above
// depends on the pings: without them, the open connection accepts all bytes and
// TCP reports no failure in time.
func TestSilentConnectionIsNotDetectedWithoutPings(t *testing.T) {
	cfg := fastConfig("127.0.0.1:1")
	cfg.PingInterval = time.Hour
	cfg.IdleTimeout = 3 * time.Hour
	if deliversAfterSilence(t, cfg, time.Second) {
		t.Fatal("a message was delivered although the connection was silent")
	}
}

// TestInvalidInboundConnectionsAreClosed sends input that violates the
// protocol. The connection must be closed and counted as refused, and no
// message may reach the handler.
func TestInvalidInboundConnectionsAreClosed(t *testing.T) {
	hello, err := wire.AppendFrame(nil, wire.Hello{Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{
		"other protocol":        []byte("GET / HTTP/1.1\r\n\r\n"),
		"no hello":              {0, 0, 0, 2, wire.Version, 2},
		"hello without ip:port": {0, 0, 0, 5, wire.Version, 1, 0xa2, 'h', 'i'},
		"unknown version":       {0, 0, 0, 2, wire.Version + 1, 2},
		"second hello":          append(append([]byte(nil), hello...), hello...),
		"unknown kind":          append(append([]byte(nil), hello...), 0, 0, 0, 2, wire.Version, 99),
		"oversized length":      append(append([]byte(nil), hello...), 0xff, 0xff, 0xff, 0xff),
	}
	for name, input := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var b inbox
			l := listen(t, "127.0.0.1:0")
			tr := serve(t, l, &b, nil)
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(input)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
			_, err = io.ReadAll(conn)
			g.Expect(isTimeout(err)).To(gomega.BeFalse(), "the connection was not closed")
			g.Eventually(func() uint64 { return tr.Counts().Refused }, testTimeout).Should(gomega.Equal(uint64(1)))
			g.Expect(b.receivedHosts()).To(gomega.BeEmpty())
		})
	}
}

// isTimeout reports whether an error is a timeout, which means that the other
// side kept the connection open.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestInboundConnectionsAboveLimitAreClosed opens two connections to a
// transport that accepts one.
func TestInboundConnectionsAboveLimitAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	tr := serve(t, l, &b, func(c *Config) { c.MaxInbound = 1; c.SilenceTimeout = testTimeout; c.IdleTimeout = 2 * testTimeout })
	first, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer first.Close()
	second, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer second.Close()
	g.Eventually(func() uint64 { return tr.Counts().Refused }, testTimeout).Should(gomega.Equal(uint64(1)))
}

// TestFlushWaitsUntilQueuedMessagesAreSent closes a transport right after
// Flush. All messages queued before must arrive.
func TestFlushWaitsUntilQueuedMessagesAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	tr := newTransport(t, fastConfig("127.0.0.1:1"), nil, nil)
	tr.Send(l.Addr().String(), wire.Heartbeat{Host: "first"})
	g.Eventually(b.receivedHosts, testTimeout).Should(gomega.HaveLen(1))
	for range 20 {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: "last"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	tr.Flush(ctx)
	tr.Close()
	g.Eventually(b.receivedHosts, testTimeout).Should(gomega.HaveLen(21))
}
