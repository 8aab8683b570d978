package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

const patience = 20 * time.Second

// peer is a TCP server under the test's control; serve gets each connection
// with its number, from 0.
type peer struct {
	net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

func newPeer(t *testing.T, serve func(p *peer, c net.Conn, n int64)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := p.accepted.Add(1) - 1
			go serve(p, c, n)
		}
	}()
	return p
}

// readRequest reads one whole request and counts it as run.
func (p *peer) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err = io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	p.requests.Add(1)
	return true
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func post(address string) httpcall.Call {
	body := strings.Repeat("oats", 1000)
	return httpcall.Call{
		Method: http.MethodPost, Address: address, Path: "/v1/order",
		Header: http.Header{"Idempotency-Key": {"key-1"}},
		Body:   strings.NewReader(body), BodyLength: int64(len(body)),
	}
}

func client(t *testing.T) (*httpcall.Client, context.Context) {
	t.Helper()
	c := httpcall.New(httpcall.DefaultConfig())
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return c, ctx
}

func drain(t *testing.T, resp *http.Response) {
	t.Helper()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c, ctx := client(t)
	if _, err := c.Do(ctx, post(address)); !errors.Is(err, httpcall.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

func TestEndedContextBeforeTheDialIsNotSent(t *testing.T) {
	p := newPeer(t, func(p *peer, c net.Conn, _ int64) { p.readRequest(bufio.NewReader(c)) })
	c, ctx := client(t)
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	if _, err := c.Do(ctx, post(p.Addr().String())); !errors.Is(err, httpcall.ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
	if n := p.requests.Load(); n != 0 {
		t.Fatalf("peer got %d requests", n)
	}
}

// TestAnswerLostIsLost cuts the connection after the whole request, after a
// part of it, and never answers. A naive caller that takes every transport
// error for "not run" fails the first.
func TestAnswerLostIsLost(t *testing.T) {
	cases := map[string]func(p *peer, c net.Conn){
		"reset after the request": func(p *peer, c net.Conn) { p.readRequest(bufio.NewReader(c)); reset(c) },
		"close after the request": func(p *peer, c net.Conn) { p.readRequest(bufio.NewReader(c)); _ = c.Close() },
		"reset after some bytes":  func(_ *peer, c net.Conn) { _, _ = io.CopyN(io.Discard, c, 10); reset(c) },
		"cut in the header": func(p *peer, c net.Conn) {
			p.readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent")
			_ = c.Close()
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(p *peer, c net.Conn, _ int64) { serve(p, c) })
			c, ctx := client(t)
			if _, err := c.Do(ctx, post(p.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
				t.Fatalf("got %v, want ErrLost", err)
			}
			if n := p.accepted.Load(); n != 1 {
				t.Fatalf("request went to %d connections", n)
			}
		})
	}
}

func TestSilenceIsLost(t *testing.T) {
	read := make(chan struct{})
	p := newPeer(t, func(p *peer, c net.Conn, _ int64) {
		p.readRequest(bufio.NewReader(c))
		close(read)
	})
	c, ctx := client(t)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		<-read
		cancel()
	}()
	if _, err := c.Do(ctx, post(p.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
		t.Fatalf("got %v, want ErrLost", err)
	}
}

// dropSecond answers the first request of a connection and cuts the connection
// when the second has arrived.
func dropSecond(p *peer, c net.Conn, _ int64) {
	r := bufio.NewReader(c)
	if p.readRequest(r) {
		_, _ = io.WriteString(c, okAnswer)
	}
	if p.readRequest(r) {
		_ = c.Close()
	}
}

// TestReusedConnectionIsNeverReplayed checks that a POST on a kept connection
// that breaks reaches the peer once, though it has an idempotency key, for
// which net/http would send it again.
func TestReusedConnectionIsNeverReplayed(t *testing.T) {
	p := newPeer(t, dropSecond)
	c, ctx := client(t)
	resp, err := c.Do(ctx, post(p.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	drain(t, resp)
	if _, err := c.Do(ctx, post(p.Addr().String())); !errors.Is(err, httpcall.ErrResponseLost) {
		t.Fatalf("got %v, want ErrLost", err)
	}
	if n := p.requests.Load(); n != 2 {
		t.Fatalf("peer got %d requests, want 2", n)
	}
}

// TestPlainClientReplays is the naive version of the check above: net/http's
// own client sends the request a second time without telling.
func TestPlainClientReplays(t *testing.T) {
	p := newPeer(t, dropSecond)
	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.Addr().String()+"/v1/order", strings.NewReader("oats"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "key-1")
		resp, err := plain.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		drain(t, resp)
	}
	if n := p.requests.Load(); n != 3 {
		t.Fatalf("peer got %d requests; the naive client is expected to replay one of 2", n)
	}
}

func TestFreshCallOpensAConnection(t *testing.T) {
	p := newPeer(t, func(p *peer, c net.Conn, _ int64) {
		r := bufio.NewReader(c)
		for p.readRequest(r) {
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	c, ctx := client(t)
	for _, fresh := range []bool{false, false, true, true} {
		call := post(p.Addr().String())
		call.NewConnection = fresh
		resp, err := c.Do(ctx, call)
		if err != nil {
			t.Fatal(err)
		}
		drain(t, resp)
	}
	if n := p.accepted.Load(); n != 3 {
		t.Fatalf("%d connections, want 1 shared and 2 fresh", n)
	}
}
