package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/chestnutline/chestnutline/internal/wire"
)

const patience = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func quiet() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.DebugLevel}
}

func quickConfig(address string) Config {
	cfg := DefaultConfig(address)
	cfg.MinBackoff = 5 * time.Millisecond
	cfg.MaxBackoff = 20 * time.Millisecond
	cfg.PingInterval = 20 * time.Millisecond
	cfg.SilenceTimeout = 500 * time.Millisecond
	return cfg
}

// inbox collects the host names of heartbeats received.
type inbox struct {
	mu    sync.Mutex
	from  string
	names []string
}

func (b *inbox) handle(from string, m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.from = from
	b.names = append(b.names, m.(wire.Heartbeat).Host)
}

func (b *inbox) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.names...)
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func newTransport(t *testing.T, cfg Config, dialer Dialer, handler Handler) *Transport {
	t.Helper()
	tr, err := New(cfg, dialer, handler, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr
}

// serve starts a receiving transport on the listener.
func serve(t *testing.T, l net.Listener, b *inbox, change func(*Config)) *Transport {
	t.Helper()
	cfg := quickConfig(l.Addr().String())
	if change != nil {
		change(&cfg)
	}
	tr := newTransport(t, cfg, nil, b.handle)
	ended := make(chan error, 1)
	go func() { ended <- tr.Serve(l) }()
	t.Cleanup(func() {
		tr.Close()
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return tr
}

func TestMessagesArriveInOrderWithTheSendersAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	tr := newTransport(t, quickConfig("127.0.0.1:1"), nil, nil)
	for _, name := range []string{"a", "b", "c"} {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: name})
	}
	g.Eventually(b.all, patience).Should(gomega.Equal([]string{"a", "b", "c"}))
	g.Expect(b.from).To(gomega.Equal("127.0.0.1:1"))
}

func TestFullQueueDropsTheOldest(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	gate := &gatedDialer{open: make(chan struct{})}
	cfg := quickConfig("127.0.0.1:1")
	cfg.QueueLength = 2
	cfg.DialTimeout = patience
	tr := newTransport(t, cfg, gate, nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: name})
	}
	close(gate.open)
	g.Eventually(b.all, patience).Should(gomega.Equal([]string{"c", "d"}))
	g.Expect(tr.Counts().Dropped).To(gomega.Equal(uint64(2)))
}

// gatedDialer holds every dial until it is opened.
type gatedDialer struct {
	net.Dialer
	open chan struct{}
}

func (d *gatedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-d.open:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

func TestReconnectsWhenTheOtherHostIsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var first, second inbox
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	before := serve(t, l, &first, nil)
	tr := newTransport(t, quickConfig("127.0.0.1:1"), nil, nil)
	tr.Send(address, wire.Heartbeat{Host: "before"})
	g.Eventually(first.all, patience).Should(gomega.Equal([]string{"before"}))
	before.Close()
	g.Eventually(func() error { return tryListen(address) }, patience).Should(gomega.Succeed())
	serve(t, listen(t, address), &second, nil)
	g.Eventually(func() []string {
		tr.Send(address, wire.Heartbeat{Host: "after"})
		return second.all()
	}, patience).Should(gomega.ContainElement("after"))
}

// TestNothingIsKeptForAHostThatIsGone sends to an address where nobody listens.
func TestNothingIsKeptForAHostThatIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	l := listen(t, "127.0.0.1:0")
	gone := l.Addr().String()
	l.Close()
	tr := newTransport(t, quickConfig("127.0.0.1:1"), nil, nil)
	tr.Send(gone, wire.Heartbeat{Host: "a"})
	g.Eventually(tr.Peers, patience).Should(gomega.BeEmpty())
	g.Expect(tr.Counts().Dropped).To(gomega.Equal(uint64(1)))
}

func tryListen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// relay forwards connections until it goes silent on those open at the time.
// Later ones are forwarded.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*pipe
	wait     sync.WaitGroup
}

type pipe struct {
	near, far net.Conn
	silent    bool
}

func newRelay(t *testing.T, target string) *relay {
	r := &relay{listener: listen(t, "127.0.0.1:0"), target: target}
	r.wait.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			near.Close()
			continue
		}
		p := &pipe{near: near, far: far}
		r.mu.Lock()
		r.open = append(r.open, p)
		r.mu.Unlock()
		r.wait.Go(func() { r.forward(p, p.far, p.near) })
		r.wait.Go(func() { r.forward(p, p.near, p.far) })
	}
}

// forward copies one way. On a silent pipe it takes bytes and drops them, and
// no end of it is told of the other's closing.
func (r *relay) forward(p *pipe, to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		silent := p.silent
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

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		p.silent = true
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for _, p := range r.open {
		p.near.Close()
		p.far.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// survivesSilence tells whether a message arrives after the relay between two
// hosts lost track of their open connection.
func survivesSilence(t *testing.T, cfg Config, limit time.Duration) bool {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	r := newRelay(t, l.Addr().String())
	address := r.listener.Addr().String()
	tr := newTransport(t, cfg, nil, nil)
	tr.Send(address, wire.Heartbeat{Host: "before"})
	g.Eventually(b.all, patience).Should(gomega.Equal([]string{"before"}))
	r.silence()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		tr.Send(address, wire.Heartbeat{Host: "after"})
		if names := b.all(); names[len(names)-1] == "after" {
			return true
		}
	}
	return false
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	if !survivesSilence(t, quickConfig("127.0.0.1:1"), patience) {
		t.Fatal("no message arrived on a new connection")
	}
}

// TestSilenceStaysWithoutPings shows that the same check fails for a transport
// that leaves silence to TCP: the open connection takes every byte.
func TestSilenceStaysWithoutPings(t *testing.T) {
	cfg := quickConfig("127.0.0.1:1")
	cfg.PingInterval = time.Hour
	cfg.IdleTimeout = 3 * time.Hour
	if survivesSilence(t, cfg, time.Second) {
		t.Fatal("a message passed a silent connection")
	}
}

func TestBadInboundConnectionsAreClosed(t *testing.T) {
	hello, err := wire.AppendFrame(nil, wire.Hello{Address: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{
		"other protocol":   []byte("GET / HTTP/1.1\r\n\r\n"),
		"no hello":         {0, 0, 0, 2, wire.Version, 2},
		"hello by name":    {0, 0, 0, 5, wire.Version, 1, 0xa2, 'h', 'i'},
		"unknown version":  {0, 0, 0, 2, wire.Version + 1, 2},
		"second hello":     append(append([]byte(nil), hello...), hello...),
		"unknown kind":     append(append([]byte(nil), hello...), 0, 0, 0, 2, wire.Version, 99),
		"oversized length": append(append([]byte(nil), hello...), 0xff, 0xff, 0xff, 0xff),
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
			g.Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(gomega.Succeed())
			_, err = io.ReadAll(conn)
			g.Expect(isTimeout(err)).To(gomega.BeFalse(), "the connection stays open")
			g.Eventually(func() uint64 { return tr.Counts().Refused }, patience).Should(gomega.Equal(uint64(1)))
			g.Expect(b.all()).To(gomega.BeEmpty())
		})
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	tr := serve(t, l, &b, func(c *Config) { c.MaxInbound = 1; c.SilenceTimeout = patience; c.IdleTimeout = 2 * patience })
	first, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer first.Close()
	second, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer second.Close()
	g.Eventually(func() uint64 { return tr.Counts().Refused }, patience).Should(gomega.Equal(uint64(1)))
}

func TestFlushWaitsForTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	var b inbox
	l := listen(t, "127.0.0.1:0")
	serve(t, l, &b, nil)
	tr := newTransport(t, quickConfig("127.0.0.1:1"), nil, nil)
	tr.Send(l.Addr().String(), wire.Heartbeat{Host: "first"})
	g.Eventually(b.all, patience).Should(gomega.HaveLen(1))
	for range 20 {
		tr.Send(l.Addr().String(), wire.Heartbeat{Host: "last"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	tr.Flush(ctx)
	tr.Close()
	g.Eventually(b.all, patience).Should(gomega.HaveLen(21))
}
