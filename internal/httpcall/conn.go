package httpcall

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errWriteForbidden is the error of a write after closeIfUnwritten closed the
// connection.
var errWriteForbidden = errors.New("connection was closed before anything was written to it")

// errTooManyLines is the error of a read of a response whose head has too many lines.
var errTooManyLines = errors.New("head of a response has too many lines")

// countedConn is a connection that counts its writes. The count shows whether any
// byte of a request can have been handed to the operating system. It also counts the lines
// of the head of a response, each of which takes far more memory than its bytes, and tells
// the end of a response from a broken connection.
type countedConn struct {
	net.Conn
	// maxHeadLines bounds the lines of a head; 0 for no bound.
	maxHeadLines int64
	// inHead is true from the handover of the connection to a request until its response
	// has begun, headLines the number of lines read since then.
	inHead         atomic.Bool
	headLines      atomic.Int64
	mu             sync.Mutex
	encodings      encodingScanner
	writes         uint64
	writeForbidden bool
	// writing is held during a write; brokenBy is the error of the first write that found
	// the connection broken.
	writing  sync.Mutex
	brokenBy error
}

// beginHead says that a response is awaited.
func (c *countedConn) beginHead() {
	c.headLines.Store(0)
	c.mu.Lock()
	c.encodings = encodingScanner{}
	c.mu.Unlock()
	c.inHead.Store(true)
}

// namesEncoding reports whether the response that some interim ones preceded names a transfer
// encoding.
func (c *countedConn) namesEncoding(interims int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encodings.foundIn(interims)
}

// Read counts the lines of heads. The last read of a head may hold a part of the body, so
// the count is checked by the next one. A read that began on an idle connection may end with
// the head of the next response, so the state is looked at after the read.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.maxHeadLines > 0 && c.inHead.Load() && c.headLines.Load() > c.maxHeadLines {
		return 0, errTooManyLines
	}
	n, err := c.Conn.Read(p)
	if c.inHead.Load() {
		c.headLines.Add(int64(bytes.Count(p[:n], []byte("\n"))))
		c.mu.Lock()
		c.encodings.scan(p[:n])
		c.mu.Unlock()
	}
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF if the other end has ended its side of the connection, and the
// error of a write if that has found the connection broken. The system reports a reset only
// once: the read after a write that got the report can't be told from one at the end of the
// input, which completes a response without a length.
func (c *countedConn) endOfInput() error {
	if !c.writing.TryLock() {
		// A write that got the report is about to return; one that waits to go on is of no
		// use any more.
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.brokenBy != nil {
		return c.brokenBy
	}
	return io.EOF
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
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.brokenBy == nil && isBroken(err) {
		c.brokenBy = err
	}
	return n, err
}

// isBroken reports whether the error of a write means that the connection is broken in both
// directions. EPIPE does not: the other end had ended its side in order before.
func isBroken(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
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
