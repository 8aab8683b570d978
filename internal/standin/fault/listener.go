package fault

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener keeps track of its open connections, so that they can be silenced or
// closed.
type Listener struct {
	net.Listener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	accepted int
}

// NewListener returns a Listener on top of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener and records the new connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.accepted++
	l.mu.Unlock()
	return c, nil
}

// Accepted returns how many connections were accepted so far.
func (l *Listener) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Silence makes every connection that is open now discard all traffic in both
// directions, while it stays open.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// CloseConnections closes every connection that is open now.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// conn is a connection that discards all traffic once it is silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read returns received data, but discards all that arrives on a silent
// connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends data, but on a silent connection only reports it as sent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the listener's open
// connections.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
