package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

// uploadBytes is the size of an upload that doesn't fit into the buffers of a connection.
const uploadBytes = 8 << 20

// listenRaw starts a server that writes anything; see standin.ListenRaw.
func listenRaw(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	address, listener := standin.ListenRaw(answer)
	t.Cleanup(func() { listener.Close() })
	return address
}

// startEarlyServer starts a server of the desk that answers requests before it has read their
// bodies, by a function that gets the begin of a head, and one host that opens its connections
// to it by the dialer.
func startEarlyServer(t *testing.T, dialer *resetDialer, answer func(conn *net.TCPConn, head string)) *testHost {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.MaxBodyBytes = uploadBytes
	store.PutConfiguration(1, "k1")
	address := listenRaw(t, func(conn *net.TCPConn, r *http.Request) {
		answer(conn, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: "+r.Header.Get(standin.HeaderRequestID)+"\r\n")
	})
	s := standin.NewServer("i-d1")
	t.Cleanup(s.Close)
	s.RegisterAt(store, address, "desk", "a", standin.StateReady)
	if dialer == nil {
		return startHost(t, "h1", store)
	}
	return startHostWithDialer(t, "h1", store, dialer)
}

// upload sends a large request for an unsafe call.
func (h *testHost) upload(id string) reply {
	return h.send("POST", "/u/", strings.Repeat("u", uploadBytes), standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"))
}

// resetDialer opens connections on which a reset is always found by a write first, and by a
// read before the write has returned.
type resetDialer struct{ net.Dialer }

// DialContext implements httpcall.Dialer.
func (d *resetDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &resetConn{Conn: conn, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}
	c.failWrite, c.endRead = sync.OnceFunc(func() { close(c.writeFailed) }), sync.OnceFunc(func() { close(c.readEnded) })
	return c, nil
}

// resetConn is a connection of a resetDialer.
type resetConn struct {
	net.Conn
	reads                  int
	writeFailed, readEnded chan struct{}
	failWrite, endRead     func()
}

// Read reads the first part of the answer, and goes on after a write has failed.
func (c *resetConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.writeFailed
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Write returns an error only after the reader has found the end of the connection too.
func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failWrite()
		<-c.readEnded
	}
	return n, err
}

// Close implements net.Conn.
func (c *resetConn) Close() error {
	c.failWrite()
	c.endRead()
	return c.Conn.Close()
}

// resetAfter gives the host time to read what was sent, and resets the connection.
func resetAfter(conn *net.TCPConn) {
	time.Sleep(100 * time.Millisecond)
	conn.SetLinger(0)
	conn.Close()
}

// TestResetWithinAnEarlyAnswerIsNotItsEnd guards against a part of an answer that looks
// complete: its server resets the connection while the request is still being written, the
// writer is told, and the reader sees the end of the connection.
func TestResetWithinAnEarlyAnswerIsNotItsEnd(t *testing.T) {
	g := NewWithT(t)
	h := startEarlyServer(t, &resetDialer{}, func(conn *net.TCPConn, head string) {
		io.WriteString(conn, head+"\r\na part of the answer")
		resetAfter(conn)
	})
	for i := range 3 {
		answer := h.upload(fmt.Sprint("r-", i))
		g.Expect(answer.readError).NotTo(HaveOccurred())
		g.Expect([]any{answer.status, answer.body}).To(Equal([]any{http.StatusBadGateway, ""}))
	}
	h.expectNothingLeft()
}

// TestResetAfterAnEarlyAnswerLosesNothing lets a server end its answer in order and reset the
// connection afterwards, since it does not read the request.
func TestResetAfterAnEarlyAnswerLosesNothing(t *testing.T) {
	g := NewWithT(t)
	h := startEarlyServer(t, &resetDialer{}, func(conn *net.TCPConn, head string) {
		io.WriteString(conn, head+"\r\nthe whole answer")
		conn.CloseWrite()
		resetAfter(conn)
	})
	answer := h.upload("r-1")
	g.Expect(answer.readError).NotTo(HaveOccurred())
	g.Expect([]any{answer.status, answer.body}).To(Equal([]any{http.StatusOK, "the whole answer"}))
	h.expectNothingLeft()
}

// TestEarlyAnswersAreDelivered guards against sound answers to an upload that are lost, since
// they come before it is written.
func TestEarlyAnswersAreDelivered(t *testing.T) {
	for name, sent := range map[string]struct{ before, framed string }{
		"no length":               {framed: "\r\nthe whole answer"},
		"length":                  {framed: "Content-Length: 16\r\n\r\nthe whole answer"},
		"chunks":                  {framed: "Transfer-Encoding: chunked\r\n\r\n10\r\nthe whole answer\r\n0\r\n\r\n"},
		"after interim responses": {before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n", framed: "\r\nthe whole answer"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := startEarlyServer(t, nil, func(conn *net.TCPConn, head string) {
				io.WriteString(conn, sent.before+head+sent.framed)
				conn.CloseWrite()
				io.Copy(io.Discard, conn)
			})
			answer := h.upload("r-1")
			g.Expect(answer.readError).NotTo(HaveOccurred())
			g.Expect([]any{answer.status, answer.body}).To(Equal([]any{http.StatusOK, "the whole answer"}))
			h.expectNothingLeft()
		})
	}
}
