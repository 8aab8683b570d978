package httpcall

import (
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// errWriteForbidden is the error of a write after closeIfUnwritten closed the
// connection.
var errWriteForbidden = errors.New("connection was closed before anything was written to it")

// countedConn is a connection that counts its writes. The count shows whether any
// byte of a request can have been handed to the operating system.
type countedConn struct {
	net.Conn
	mu             sync.Mutex
	writes         uint64
	writeForbidden bool
}

// Write counts the write before it tries it. It fails without writing once
// closeIfUnwritten has forbidden writes.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writeForbidden {
		c.mu.Unlock()
		return 0, errWriteForbidden
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SyscallConn returns the raw connection. It implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no raw connection", c.Conn)
	}
	raw, err := conn.SyscallConn()
	return raw, errors.Wrap(err, "get the raw connection")
}

// writeCount returns the number of writes so far, including failed ones.
func (c *countedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeIfUnwritten closes the connection and forbids further writes if there was
// no write since the count was writesBefore, and reports whether it did. A caller
// that gets true knows that the transport cannot send the request later either.
func (c *countedConn) closeIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	unwritten := c.writes == writesBefore
	if unwritten {
		c.writeForbidden = true
	}
	c.mu.Unlock()
	if unwritten {
		_ = c.Conn.Close()
	}
	return unwritten
}
