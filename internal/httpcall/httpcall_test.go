package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// testTimeout bounds each test's calls.
const testTimeout = 20 * time.Second

// testServer is a TCP server that a test controls. It counts the accepted
// connections and the requests that it has read.
type testServer struct {
	net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// newTestServer starts a server that passes each connection to serve in a
// goroutine, with the connection's number n, from 0.
func newTestServer(t *testing.T, serve func(server *testServer, c net.Conn, n int64)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := server.accepted.Add(1) - 1
			go serve(server, c, n)
		}
	}()
	return server
}

// readRequest reads one complete request and counts it. It reports whether that
// succeeded.
func (s *testServer) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err = io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	s.requests.Add(1)
	return true
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// resetConn closes a connection with a TCP reset instead of an orderly close.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// newPost returns a POST request with a body of 4,000 bytes and an idempotency
// key.
func newPost(address string) httpcall.Call {
	body := strings.Repeat("oats", 1000)
	return httpcall.Call{
		Method: http.MethodPost, Address: address, Path: "/v1/order",
		Header: http.Header{"Idempotency-Key": {"key-1"}},
		Body:   strings.NewReader(body), BodyLength: int64(len(body)),
	}
}

// newClient returns a client and a context, both of which end with the test.
func newClient(t *testing.T) (*httpcall.Client, context.Context) {
	t.Helper()
	c := httpcall.New(httpcall.DefaultConfig())
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return c, ctx
}

// drainBody reads the response to its end, so that the connection can be reused.
func drainBody(t *testing.T, resp *http.Response) {
	t.Helper()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestDoReturnsErrNotSentWhenDialIsRefused calls an address on which no server
// listens.
func TestDoReturnsErrNotSentWhenDialIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c, ctx := newClient(t)
	if _, err := c.Do(ctx, newPost(address)); !errors.Is(err, httpcall.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

// TestDoReturnsErrNotSentWhenContextEndedBeforeDial cancels the context before the
// call. The server must not receive the request.
func TestDoReturnsErrNotSentWhenContextEndedBeforeDial(t *testing.T) {
	server := newTestServer(t, func(server *testServer, c net.Conn, _ int64) { server.readRequest(bufio.NewReader(c)) })
	c, ctx := newClient(t)
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	if _, err := c.Do(ctx, newPost(server.Addr().String())); !errors.Is(err, httpcall.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
	if n := server.requests.Load(); n != 0 {
		t.Fatalf("the server received %d requests, want none", n)
	}
}

// TestDoReturnsErrResponseLostWhenConnectionBreaks breaks the connection after the
// complete request, after a part of it and within the header of the response. A
// client that takes every transport error for "not run" would repeat a request
// that the server has run.
func TestDoReturnsErrResponseLostWhenConnectionBreaks(t *testing.T) {
	cases := map[string]func(server *testServer, c net.Conn){
		"reset after the request": func(server *testServer, c net.Conn) { server.readRequest(bufio.NewReader(c)); resetConn(c) },
		"close after the request": func(server *testServer, c net.Conn) { server.readRequest(bufio.NewReader(c)); _ = c.Close() },
		"reset after some bytes":  func(_ *testServer, c net.Conn) { _, _ = io.CopyN(io.Discard, c, 10); resetConn(c) },
		"cut in the header": func(server *testServer, c net.Conn) {
			server.readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent")
			_ = c.Close()
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, func(server *testServer, c net.Conn, _ int64) { serve(server, c) })
			c, ctx := newClient(t)
			if _, err := c.Do(ctx, newPost(server.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
				t.Fatalf("got %v, want ErrResponseLost", err)
			}
			if n := server.accepted.Load(); n != 1 {
				t.Fatalf("the request used %d connections, want 1", n)
			}
		})
	}
}

// TestDoReturnsErrResponseLostWhenServerIsSilent lets the server read the request
// and never answer, until the caller's context ends.
func TestDoReturnsErrResponseLostWhenServerIsSilent(t *testing.T) {
	read := make(chan struct{})
	server := newTestServer(t, func(server *testServer, c net.Conn, _ int64) {
		server.readRequest(bufio.NewReader(c))
		close(read)
	})
	c, ctx := newClient(t)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		<-read
		cancel()
	}()
	if _, err := c.Do(ctx, newPost(server.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
		t.Fatalf("got %v, want ErrResponseLost", err)
	}
}

// closeOnSecondRequest answers the first request of a connection and closes the
// connection when the second one has arrived completely.
func closeOnSecondRequest(s *testServer, c net.Conn, _ int64) {
	r := bufio.NewReader(c)
	if s.readRequest(r) {
		_, _ = io.WriteString(c, okResponse)
	}
	if s.readRequest(r) {
		_ = c.Close()
	}
}

// TestDoDoesNotRepeatRequestOnBrokenReusedConnection sends a POST on a reused
// connection that breaks. The server must receive it only once, although it has an
// idempotency key, for which net/http would send it again.
func TestDoDoesNotRepeatRequestOnBrokenReusedConnection(t *testing.T) {
	server := newTestServer(t, closeOnSecondRequest)
	c, ctx := newClient(t)
	resp, err := c.Do(ctx, newPost(server.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	drainBody(t, resp)
	if _, err := c.Do(ctx, newPost(server.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
		t.Fatalf("got %v, want ErrResponseLost", err)
	}
	if n := server.requests.Load(); n != 2 {
		t.Fatalf("the server received %d requests, want 2", n)
	}
}

// TestStandardClientRepeatsRequestOnBrokenReusedConnection proves that the test
// above can fail: net/http's own client sends the request a second time without
// reporting it.
func TestStandardClientRepeatsRequestOnBrokenReusedConnection(t *testing.T) {
	server := newTestServer(t, closeOnSecondRequest)
	standardClient := &http.Client{Transport: &http.Transport{}}
	defer standardClient.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+server.Addr().String()+"/v1/order", strings.NewReader("oats"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "key-1")
		resp, err := standardClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		drainBody(t, resp)
	}
	if n := server.requests.Load(); n != 3 {
		t.Fatalf("the server received %d requests; net/http is expected to repeat one of 2", n)
	}
}

// TestNewConnectionIsOpenedWhenCallAsksForIt makes two calls on pooled connections,
// which must share one, and two with NewConnection, which must open one each.
func TestNewConnectionIsOpenedWhenCallAsksForIt(t *testing.T) {
	server := newTestServer(t, func(server *testServer, c net.Conn, _ int64) {
		r := bufio.NewReader(c)
		for server.readRequest(r) {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	c, ctx := newClient(t)
	for _, newConnection := range []bool{false, false, true, true} {
		call := newPost(server.Addr().String())
		call.NewConnection = newConnection
		resp, err := c.Do(ctx, call)
		if err != nil {
			t.Fatal(err)
		}
		drainBody(t, resp)
	}
	if n := server.accepted.Load(); n != 3 {
		t.Fatalf("%d connections, want 1 reused and 2 new ones", n)
	}
}

// TestConnectionsDetectSilentServers guards against requests that wait for a server
// that has gone dark until their own time limit, while other servers hold memory
// for them. It reads the socket's options, as no loopback peer goes dark.
func TestConnectionsDetectSilentServers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	config := httpcall.DefaultConfig()
	config.SilenceTimeout = 3 * time.Second
	c := httpcall.New(config)
	options := make(map[int]int)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		raw, err := info.Conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		if err := raw.Control(func(fd uintptr) {
			for _, option := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL, syscall.TCP_KEEPCNT, unix.TCP_USER_TIMEOUT} {
				value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
				if err != nil {
					t.Error(err)
				}
				options[option] = value
			}
		}); err != nil {
			t.Error(err)
		}
	}}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	resp, err := c.Do(ctx, newPost(strings.TrimPrefix(server.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	silence := options[syscall.TCP_KEEPIDLE] + options[syscall.TCP_KEEPINTVL]*options[syscall.TCP_KEEPCNT]
	if got := time.Duration(silence) * time.Second; got != config.SilenceTimeout {
		t.Errorf("a silent connection breaks after %v, want %v: options %v", got, config.SilenceTimeout, options)
	}
	if got := time.Duration(options[unix.TCP_USER_TIMEOUT]) * time.Millisecond; got != config.SilenceTimeout {
		t.Errorf("a connection with unacknowledged bytes breaks after %v, want %v", got, config.SilenceTimeout)
	}
}

// TestHeaderWithoutEndIsCutOff guards against a header that fills the memory of the
// host until the upstream ends it.
func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	// Beyond the limit, the buffers of the transport and of two sockets may fill.
	const tolerated = 8 << 20
	sent := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		total, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
		for total < 2*tolerated {
			n, err := io.WriteString(conn, line)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	}()
	_, err = httpcall.New(httpcall.DefaultConfig()).Do(context.Background(), newPost(l.Addr().String()))
	if !errors.Is(err, httpcall.ErrResponseLost) {
		t.Errorf("error %v, want %v", err, httpcall.ErrResponseLost)
	}
	if total := <-sent; total > tolerated {
		t.Errorf("the connection was open for %d bytes of a header", total)
	}
}
