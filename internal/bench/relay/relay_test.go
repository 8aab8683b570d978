package relay

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// echo serves connections that return what they are sent.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T, target string, link *Link) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", target, SingleLink(link), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func TestRelayKeepsOrderUnderJitterAndLoss(t *testing.T) {
	target := echo(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := start(t, target, &Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.01})
	c := dial(t, r.Address())
	sent := make([]byte, 300_000)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(sent, got) {
		t.Fatalf("%d bytes came back changed or out of order, %d were sent", len(got), len(sent))
	}
	_ = c.Close()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestRouteFollowsTheSender(t *testing.T) {
	links := map[string]*Link{"127.0.0.2": {}, "127.0.0.3": {}}
	r, err := Start("127.0.0.1:0", echo(t), func(from net.IP) *Link { return links[from.String()] }, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for ip, link := range links {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := dialer.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("four")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
		if link.ForwardedBytes() < 4 {
			t.Errorf("%d bytes passed the link of %s", link.ForwardedBytes(), ip)
		}
	}
}

func TestCutHoldsDataUntilHealed(t *testing.T) {
	link := &Link{}
	r := start(t, echo(t), link)
	c := dial(t, r.Address())
	link.Cut()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatalf("%d bytes passed a cut link", n)
	}
	link.Heal()
	_ = c.SetReadDeadline(time.Time{})
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func TestCloseEndsConnections(t *testing.T) {
	target := echo(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	link := &Link{}
	r := start(t, target, link)
	dial(t, r.Address())
	link.Cut()
	dial(t, r.Address())
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestLossAddsTheRetransmissionDelay(t *testing.T) {
	link := &Link{Delay: time.Millisecond, Loss: 0.1}
	random := rand.New(rand.NewPCG(1, 1))
	lost := 0
	const chunks = 10_000
	for range chunks {
		if link.delay(random, packetBytes) >= retransmitDelay {
			lost++
		}
	}
	if lost < chunks*8/100 || lost > chunks*12/100 {
		t.Fatalf("%d of %d packets were delayed, the declared share is 0.1", lost, chunks)
	}
}

// answered says whether what is sent comes back within the time.
func answered(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

const soon, patience = 200 * time.Millisecond, 5 * time.Second

func TestSilentConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	r := start(t, echo(t), &Link{})
	old := dial(t, r.Address())
	if !answered(t, old, patience) {
		t.Fatal("no answer before")
	}
	r.BlackholeConnections()
	if answered(t, old, soon) {
		t.Error("a silent connection answers")
	}
	if !answered(t, dial(t, r.Address()), patience) {
		t.Error("a new connection is silent")
	}
}

func TestResetConnectionsAreSeenToEnd(t *testing.T) {
	r := start(t, echo(t), &Link{})
	old := dial(t, r.Address())
	if !answered(t, old, patience) {
		t.Fatal("no answer before")
	}
	r.ResetConnections()
	if err := old.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	_, err := old.Read(make([]byte, 1))
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the connection goes on: %v", err)
	}
}

func TestACutOneWayHoldsOnlyAnswers(t *testing.T) {
	arrived := make(chan struct{}, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buffer := make([]byte, 1)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			arrived <- struct{}{}
			if _, err := c.Write(buffer); err != nil {
				return
			}
		}
	}()
	link := &Link{}
	r := start(t, listener.Addr().String(), link)
	link.CutResponses()
	c := dial(t, r.Address())
	if answered(t, c, soon) {
		t.Error("an answer came through the cut")
	}
	<-arrived
	link.Heal()
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the answer was lost by the cut: %v", err)
	}
}
