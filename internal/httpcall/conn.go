package httpcall

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection was given up before anything was written")

// countedConn counts writes, so that a caller can tell whether any byte of a
// request was handed to the operating system.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before it is tried; a sealed connection refuses it.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUntouched forbids further writes if there was none since mark, and
// reports whether it did. From then on nothing can be sent behind the caller.
func (c *countedConn) sealIfUntouched(mark uint64) bool {
	c.mu.Lock()
	untouched := c.writes == mark
	if untouched {
		c.sealed = true
	}
	c.mu.Unlock()
	if untouched {
		_ = c.Conn.Close()
	}
	return untouched
}
