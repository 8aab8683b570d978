package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/memory"
)

const (
	// connectionBytes is what a connection takes: its goroutine and its buffers.
	connectionBytes = 16 << 10
	// exchangeBytes is what a request takes besides its head and its body: the goroutines
	// and the buffers of the connection to a server.
	exchangeBytes = 64 << 10
	// lineBytes is what a line of a head takes beyond its bytes while it is parsed: an entry
	// of a map, and the garbage of maps that it has outgrown.
	lineBytes = 200
	// parsedCopies is the number of heads that a request holds: its own, and the one that
	// is sent to a server.
	parsedCopies = 2
	// headSlackBytes is how much more than the declared limit of a head is read: the
	// request line, spaces, and the part of a body that comes in the same read.
	headSlackBytes = 8 << 10
	// endTimeout limits the time for the last answer on a connection that is closed.
	endTimeout = time.Second
)

// errHeadCut is the error of a read on a connection whose head may not be read on. The HTTP
// server closes the connection without an answer after errors of this type.
var errHeadCut = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no more of the head may be read")}

// headTooLarge is the answer to a head that is larger than the declared limit before it has
// come whole.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// callerListener accepts connections for which there is room.
type callerListener struct {
	net.Listener
	budget *memory.Budget
	// headLimit returns the most bytes of a head that are read.
	headLimit func() int
	// headRefused is called when a head was too large.
	headRefused func()
}

// Accept waits for a connection for which there is room, and closes the others.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: accepted, listener: l}
		c.inHead.Store(true)
		c.holding, err = l.budget.OpenConnection(connectionBytes, c.interrupt)
		if err == nil {
			return c, nil
		}
		accepted.Close()
	}
}

// callerConn is a connection of a caller or another host. It accounts for the head that is
// being read. Its methods other than those of net.Conn may be called on nil, which stands
// for a connection that is not accounted for.
type callerConn struct {
	net.Conn
	listener *callerListener
	holding  *memory.Holding

	// inHead is true while the next head is awaited or read. headBytes counts what has come
	// of it, and headCut is true if no more of it may be read; only the goroutine that reads
	// the head uses them.
	inHead    atomic.Bool
	headBytes int
	headCut   bool

	mu sync.Mutex
	// gaveWay is true once the connection must end.
	gaveWay bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() && (c.headCut || !c.countHead(p[:n])) {
		c.headCut = true
		return 0, errHeadCut
	}
	return n, err
}

// countHead accounts for a piece of a head. It returns false if no more of it may be read.
func (c *callerConn) countHead(piece []byte) bool {
	if c.headBytes == 0 {
		c.holding.Begin()
	}
	lines := bytes.Count(piece, []byte("\n"))
	c.headBytes += len(piece)
	if c.headBytes > c.listener.headLimit() {
		c.listener.headRefused()
		if c.Conn.SetWriteDeadline(time.Now().Add(endTimeout)) == nil {
			_, _ = io.WriteString(c.Conn, headTooLarge) // the caller may have left
		}
		return false
	}
	return c.holding.Grow(int64(len(piece)+lineBytes*lines)) == nil
}

// endHead says that a head has come whole, and is accounted for elsewhere. It returns false
// if the connection must end.
func (c *callerConn) endHead() bool {
	if c == nil {
		return true
	}
	c.inHead.Store(false)
	c.holding.Shrink(connectionBytes)
	return c.holding.Complete()
}

// awaitHead says that the answer to a request was sent and the next head is awaited.
func (c *callerConn) awaitHead() {
	c.headBytes = 0
	c.holding.Shrink(connectionBytes)
	c.inHead.Store(true)
	c.holding.Await()
}

// interrupt makes the reader of the connection let go: a head or a body ends at once.
func (c *callerConn) interrupt() {
	c.mu.Lock()
	c.gaveWay = true
	c.mu.Unlock()
	if c.inHead.Load() {
		c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection only
}

// interrupted reports whether the connection must end.
func (c *callerConn) interrupted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveWay
}

// SetReadDeadline implements net.Conn. A connection that must end keeps the deadline that
// ended its reading.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gaveWay {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// limitRead gives the next read a time limit.
func (c *callerConn) limitRead(limit time.Duration) {
	if c != nil {
		_ = c.SetReadDeadline(time.Now().Add(limit)) // a closed connection fails in the read
	}
}

// limitUnread bounds the time in which the HTTP server reads what is left of a body whose
// request is refused. Meanwhile the connection gives way to others.
func (c *callerConn) limitUnread() {
	if c != nil {
		c.limitRead(endTimeout)
		c.holding.Begin()
	}
}

// unlimitRead removes the limit.
func (c *callerConn) unlimitRead() {
	if c != nil {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// CloseWrite lets the HTTP server end its side first, so that the last answer arrives.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.holding.Release()
	return c.Conn.Close()
}

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

// withCallerConn adds a connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request, nil if it is not accounted for.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// trackHeads follows the state of connections: an idle one awaits a head.
func trackHeads(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*callerConn); ok && state == http.StateIdle {
		conn.awaitHead()
	}
}

// openRequest returns the holding of a request, which gives way until it was read whole.
func (g *ingress) openRequest(conn *callerConn) *memory.Holding {
	if conn == nil {
		return g.budget.Open(memory.Request, nil)
	}
	return g.budget.OpenOn(conn.holding, memory.Request, conn.interrupt)
}

// parsedBytes returns what the parsed head of a request takes.
func parsedBytes(r *http.Request) int64 {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return int64(headerBytes(r) + lineBytes*lines)
}
