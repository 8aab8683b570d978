// Package httpcall sends HTTP/1.1 requests to upstreams and tells exactly
// whether any byte of a request that failed was sent.
//
// A request with a body is handed to one connection at most once: the
// transport's own retries are off. A Client keeps one pool of connections per
// address. A call whose time runs out discards the idle connections of its
// address, since connections that went silent tend to do so together.
package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of Do. Each is the cause of the error returned, found by errors.Is.
var (
	// ErrNotSent says that no byte of the request was written to a connection.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseLost says that the request was sent, at least in part, without an answer.
	ErrResponseLost = errors.New("request was sent and its answer lost")
)

// Config sets the limits of a Client.
type Config struct {
	// DialTimeout bounds the opening of a connection. Longer tolerates loss of
	// SYN packets, shorter finds a dead upstream sooner.
	DialTimeout time.Duration
	// IdleTimeout closes unused connections. Longer saves dials, shorter frees
	// descriptors and meets fewer connections that went silent meanwhile.
	IdleTimeout time.Duration
	// MaxIdle bounds unused connections per address.
	MaxIdle int
}

// DefaultConfig returns the limits for upstreams within a region.
func DefaultConfig() Config {
	return Config{DialTimeout: time.Second, IdleTimeout: 30 * time.Second, MaxIdle: 256}
}

// Client sends requests. Its methods may be called from several goroutines.
type Client struct {
	config Config
	mu     sync.Mutex
	pools  map[string]*http.Transport
	fresh  *http.Transport
}

// New returns a Client.
func New(config Config) *Client {
	c := &Client{config: config, pools: make(map[string]*http.Transport)}
	c.fresh = c.newTransport()
	c.fresh.DisableKeepAlives = true
	return c
}

func (c *Client) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.config.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: c.config.MaxIdle,
		IdleConnTimeout:     c.config.IdleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
	}
}

func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pools[address]
	if t == nil {
		t = c.newTransport()
		c.pools[address] = t
	}
	return t
}

// RemovePool closes the idle connections to an address and drops its pool.
func (c *Client) RemovePool(address string) {
	c.mu.Lock()
	t := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// CloseIdle closes the idle connections to an address, for a caller who has
// found one of its connections silent.
func (c *Client) CloseIdle(address string) {
	c.pool(address).CloseIdleConnections()
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pools {
		t.CloseIdleConnections()
	}
	c.fresh.CloseIdleConnections()
}

// Call is one request.
type Call struct {
	Method string
	// Address is ip:port.
	Address string
	// Host is the Host header; empty means Address.
	Host string
	// Path is the path with its query.
	Path   string
	Header http.Header
	// Body is nil or the content, Length bytes long.
	Body       io.Reader
	BodyLength int64
	// NewConnection asks for a connection of its own, never one opened before.
	NewConnection bool
}

// onceBody hides every means by which the transport could send a body twice.
type onceBody struct{ io.Reader }

// Close does nothing; the reader holds no resource.
func (onceBody) Close() error { return nil }

// Do sends the call and returns the response, whose body the caller closes.
// The context bounds the reading of the body as well. The error has ErrNotSent
// or ErrLost as a cause.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var t tracker
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(traced, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, failure{kind: ErrNotSent, cause: err, call: call}
	}
	if call.Header != nil {
		req.Header = call.Header
	}
	if call.Host != "" {
		req.Host = call.Host
	}
	if call.Body != nil {
		req.Body = onceBody{call.Body}
		req.ContentLength = call.BodyLength
	}
	transport := c.fresh
	if !call.NewConnection {
		transport = c.pool(call.Address)
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if ctx.Err() != nil {
		transport.CloseIdleConnections()
	}
	return nil, failure{kind: t.verdict(), cause: err, call: call}
}

// tracker remembers which connections a request was given.
type tracker struct {
	mu    sync.Mutex
	marks []mark
}

type mark struct {
	conn   *countedConn
	writes uint64
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		t.marks = append(t.marks, mark{})
		return
	}
	t.marks = append(t.marks, mark{conn: conn, writes: conn.count()})
}

// verdict returns ErrNotSent only if no connection has been written to since
// the request got it, and makes sure that none will be.
func (t *tracker) verdict() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.marks {
		if m.conn == nil || !m.conn.sealIfUntouched(m.writes) {
			return ErrResponseLost
		}
	}
	return ErrNotSent
}

type failure struct {
	kind, cause error
	call        Call
}

// Error tells what was tried.
func (f failure) Error() string {
	return f.call.Method + " " + f.call.Address + " " + f.kind.Error() + ": " + f.cause.Error()
}

// Unwrap lets errors.Is find the kind and the cause.
func (f failure) Unwrap() []error { return []error{f.kind, f.cause} }
