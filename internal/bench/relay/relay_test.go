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

// startEchoServer starts a server that sends back all data it receives, and
// returns its address.
func startEchoServer(t *testing.T) string {
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

// startRelay starts a relay to target over one link.
func startRelay(t *testing.T, target string, link *Link) *Relay {
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
	target := startEchoServer(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startRelay(t, target, &Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.01})
	c := dial(t, r.Address())
	sent := make([]byte, 300_000)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.CloseWrite()
	}()
	received, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(sent, received) {
		t.Fatalf("the %d bytes received differ from the %d bytes sent", len(received), len(sent))
	}
	_ = c.Close()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestLinkIsSelectedBySourceAddress(t *testing.T) {
	links := map[string]*Link{"127.0.0.2": {}, "127.0.0.3": {}}
	r, err := Start("127.0.0.1:0", startEchoServer(t), func(from net.IP) *Link { return links[from.String()] }, 1)
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
			t.Errorf("%d bytes were forwarded over the link of %s", link.ForwardedBytes(), ip)
		}
	}
}

func TestCutLinkHoldsDataUntilHealed(t *testing.T) {
	link := &Link{}
	r := startRelay(t, startEchoServer(t), link)
	c := dial(t, r.Address())
	link.Cut()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatalf("%d bytes were forwarded over a cut link", n)
	}
	link.Heal()
	_ = c.SetReadDeadline(time.Time{})
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func TestCloseEndsAllConnections(t *testing.T) {
	target := startEchoServer(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	link := &Link{}
	r := startRelay(t, target, link)
	dial(t, r.Address())
	link.Cut()
	dial(t, r.Address())
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestLostPacketsAddRetransmissionDelay(t *testing.T) {
	link := &Link{Delay: time.Millisecond, Loss: 0.1}
	random := rand.New(rand.NewPCG(1, 1))
	lost := 0
	const chunks = 10_000
	for range chunks {
		if link.transferDelay(random, packetPayloadBytes) >= retransmitDelay {
			lost++
		}
	}
	if lost < chunks*8/100 || lost > chunks*12/100 {
		t.Fatalf("%d of %d packets were lost; the configured loss is 0.1", lost, chunks)
	}
}

// echoesWithin reports whether a byte sent over the connection comes back within
// the given time.
func echoesWithin(t *testing.T, c net.Conn, within time.Duration) bool {
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

// silencePeriod is how long a test waits to see that no answer comes, and
// answerTimeout how long it waits for an answer that has to come.
const silencePeriod, answerTimeout = 200 * time.Millisecond, 5 * time.Second

func TestBlackholeAffectsOnlyExistingConnections(t *testing.T) {
	r := startRelay(t, startEchoServer(t), &Link{})
	old := dial(t, r.Address())
	if !echoesWithin(t, old, answerTimeout) {
		t.Fatal("the connection did not answer before the fault")
	}
	r.BlackholeConnections()
	if echoesWithin(t, old, silencePeriod) {
		t.Error("a blackholed connection answered")
	}
	if !echoesWithin(t, dial(t, r.Address()), answerTimeout) {
		t.Error("a new connection did not answer")
	}
}

func TestResetConnectionsEndForCaller(t *testing.T) {
	r := startRelay(t, startEchoServer(t), &Link{})
	old := dial(t, r.Address())
	if !echoesWithin(t, old, answerTimeout) {
		t.Fatal("the connection did not answer before the fault")
	}
	r.ResetConnections()
	if err := old.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	_, err := old.Read(make([]byte, 1))
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the caller did not see the connection end: %v", err)
	}
}

func TestCutResponsesHoldsOnlyResponses(t *testing.T) {
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
	r := startRelay(t, listener.Addr().String(), link)
	link.CutResponses()
	c := dial(t, r.Address())
	if echoesWithin(t, c, silencePeriod) {
		t.Error("an answer was forwarded through the cut")
	}
	<-arrived
	link.Heal()
	if err := c.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the answer was lost after the cut: %v", err)
	}
}
