// Package httpcall sends HTTP/1.1 requests to upstreams. For a request that
// failed, it reports exactly whether any byte of it may have been sent. A
// response that is not valid in HTTP/1.1 counts as lost; see Transport.
//
// A request with a body is handed to one connection at most once: the automatic
// retries of net/http's transport are off. A Client keeps one pool of connections
// per address. When the context of a call ends before the response, the client
// closes the idle connections to its address, since connections that go silent
// tend to do so together.
package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of Client.Do. Every error of Do wraps one of them; use errors.Is.
var (
	// ErrNotSent means that no byte of the request was written to a connection, and
	// that none will be.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseLost means that the request was sent, at least in part, and that no
	// response arrived. The upstream may have run the request.
	ErrResponseLost = errors.New("request was sent, but its response was lost")
)

// Config sets the limits of a Client.
type Config struct {
	// DialTimeout bounds the opening of a connection. A longer one tolerates the loss
	// of SYN packets, a shorter one detects a dead upstream sooner.
	DialTimeout time.Duration
	// IdleTimeout is after how long an unused connection is closed. A longer one
	// saves dials, a shorter one frees file descriptors and makes it less likely that
	// a connection has gone silent before it is used again.
	IdleTimeout time.Duration
	// MaxIdle bounds the number of unused connections per address.
	MaxIdle int
	// MaxHeaderBytes bounds the header of a response, of which all is kept in memory.
	MaxHeaderBytes int64
	// MaxHeaderLines bounds the lines of that header, each of which takes far more memory
	// than its bytes; 0 for no bound. The read in which a header ends is not counted.
	MaxHeaderLines int64
	// SilenceTimeout is after how long a connection breaks whose other end no longer
	// acknowledges anything, while a response is awaited; 0 leaves it to the system.
	// A longer one tolerates more lost packets, a shorter one ends requests at
	// servers that have gone dark sooner. It is rounded down to a multiple of 3 s.
	SilenceTimeout time.Duration
	// RedialAfter is after how long a second connection is opened for a call whose first
	// one is not open yet; 0 for never. A shorter time hides lost packets better, a longer
	// one opens fewer connections that are not needed.
	RedialAfter time.Duration
	// Dialer opens connections; nil means a net.Dialer with the limits above.
	Dialer Dialer
}

// Dialer opens connections. A net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// keepAlive returns the configuration of TCP keep-alive that breaks a silent
// connection after SilenceTimeout: a pause and two probes.
func (c Config) keepAlive() net.KeepAliveConfig {
	const probes = 2
	interval := (c.SilenceTimeout / (probes + 1)).Truncate(time.Second)
	return net.KeepAliveConfig{Enable: interval > 0, Idle: interval, Interval: interval, Count: probes}
}

// limitSilence sets TCP_USER_TIMEOUT to SilenceTimeout on a new socket. Keep-alive
// alone does not detect silence while sent bytes wait for their acknowledgement, and
// a user timeout from elsewhere would override the number of its probes.
func (c Config) limitSilence(_, _ string, raw syscall.RawConn) error {
	if c.SilenceTimeout <= 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.SilenceTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// DefaultMaxHeaderBytes and DefaultMaxHeaderLines are far above the headers that upstreams
// send.
const (
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxHeaderLines = 256
)

// DefaultConfig returns the limits for upstreams in the same region.
func DefaultConfig() Config {
	return Config{
		DialTimeout: time.Second, IdleTimeout: 30 * time.Second, MaxIdle: 256,
		MaxHeaderBytes: DefaultMaxHeaderBytes, MaxHeaderLines: DefaultMaxHeaderLines,
	}
}

// Client sends requests and keeps connections for later ones. Its methods may be
// called from several goroutines.
type Client struct {
	config Config
	mu     sync.Mutex
	// pools holds a transport with its own connection pool for each address.
	pools map[string]*Transport
	// unpooled opens a new connection for each call and closes it afterwards.
	unpooled *Transport
	dialer   Dialer
}

// New returns a Client without connections.
func New(config Config) *Client {
	c := &Client{config: config, pools: make(map[string]*Transport), dialer: config.Dialer}
	if c.dialer == nil {
		c.dialer = &net.Dialer{Timeout: config.DialTimeout, KeepAliveConfig: config.keepAlive(), Control: config.limitSilence}
	}
	c.unpooled = c.newTransport()
	c.unpooled.base.DisableKeepAlives = true
	return c
}

// newTransport returns a transport with its own connection pool.
func (c *Client) newTransport() *Transport {
	dialer := c.dialer
	if c.config.RedialAfter > 0 {
		dialer = redialer{dialer: dialer, after: c.config.RedialAfter}
	}
	return NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: c.config.MaxIdle,
		IdleConnTimeout:     c.config.IdleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,

		MaxResponseHeaderBytes: c.config.MaxHeaderBytes,
	}, c.config.MaxHeaderLines)
}

// pool returns the transport for an address and creates it at the first call.
func (c *Client) pool(address string) *Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pools[address]
	if t == nil {
		t = c.newTransport()
		c.pools[address] = t
	}
	return t
}

// RemovePool closes the idle connections to an address and drops its pool. It is
// for addresses that are no longer used.
func (c *Client) RemovePool(address string) {
	c.mu.Lock()
	t := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// CloseIdle closes the idle connections to an address. It is for a caller that
// has found one of its connections to the address silent.
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
	c.unpooled.CloseIdleConnections()
}

// Call describes one request.
type Call struct {
	Method string
	// Address is ip:port.
	Address string
	// Host is the value of the Host header; Address is used if it is empty.
	Host string
	// Path is the path together with the query.
	Path   string
	Header http.Header
	// Body is the content of the request, BodyLength bytes long, or nil.
	Body       io.Reader
	BodyLength int64
	// NewConnection sends the request on a new connection, which is not kept for
	// later requests.
	NewConnection bool
}

// singleUseBody hides everything but Read of a body, so that the transport has no
// means to rewind the body and send it twice.
type singleUseBody struct{ io.Reader }

// Close does nothing; the reader holds no resource.
func (singleUseBody) Close() error { return nil }

// Do sends the call and returns the response, whose body the caller must close.
// The context bounds the reading of the body as well. Every error wraps
// ErrNotSent or ErrResponseLost.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var t connTracker
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
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
		req.Body = singleUseBody{call.Body}
		req.ContentLength = call.BodyLength
	}
	transport := c.unpooled
	if !call.NewConnection {
		transport = c.pool(call.Address)
	}
	resp, err := transport.roundTrip(req, &t)
	if err == nil {
		return resp, nil
	}
	if ctx.Err() != nil {
		transport.CloseIdleConnections()
	}
	return nil, failure{kind: t.failureKind(), cause: err, call: call}
}

// Probe opens a connection to an address and closes it at once. It returns an error if
// that fails or the context ends first.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "probe %s", address)
	}
	return errors.Wrapf(conn.Close(), "close the probe of %s", address)
}

// failure is the error of a call. Its kind is ErrNotSent or ErrResponseLost, its
// cause the error of the transport.
type failure struct {
	kind, cause error
	call        Call
}

// Error names the method, the address, the kind and the cause.
func (f failure) Error() string {
	return f.call.Method + " " + f.call.Address + " " + f.kind.Error() + ": " + f.cause.Error()
}

// Unwrap returns the kind and the cause, so that errors.Is finds both.
func (f failure) Unwrap() []error { return []error{f.kind, f.cause} }
