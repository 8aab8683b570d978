package peer

import (
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// inboundIdleFactor is multiplied by the idle timeout to get the time that an
// inbound connection may be silent. It is above 1, so that the host that
// dialled closes an idle connection first.
const inboundIdleFactor = 2

// Serve accepts connections until the transport or the listener is closed. It
// closes the listener before it returns. The error is nil if the transport was
// closed.
func (t *Transport) Serve(listener net.Listener) error {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-t.ctx.Done():
		case <-stop:
		}
		listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if t.ctx.Err() != nil {
			closeIfNotNil(conn)
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		t.acceptConnection(conn)
	}
}

// closeIfNotNil closes the connection that Accept returned, if it returned one.
func closeIfNotNil(conn net.Conn) {
	if conn != nil {
		conn.Close()
	}
}

// acceptConnection starts to read a connection, or closes it if there are too
// many or the transport is closed.
func (t *Transport) acceptConnection(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= t.cfg.MaxInbound {
		conn.Close()
		t.recordRefusal(conn, errors.New("too many connections"))
		return
	}
	t.inbound[conn] = struct{}{}
	t.goroutines.Go(func() { t.handleConnection(conn) })
}

// recordRefusal counts and logs a connection that was closed because it
// violated the protocol or because there were too many.
func (t *Transport) recordRefusal(conn net.Conn, err error) {
	t.counts.refused.Add(1)
	logevent.PeerRefused.Emit(t.logger, log.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
}

// handleConnection reads a connection until it ends, and closes it.
func (t *Transport) handleConnection(conn net.Conn) {
	err := t.readMessages(conn)
	conn.Close()
	t.mu.Lock()
	delete(t.inbound, conn)
	t.mu.Unlock()
	if isProtocolViolation(err) {
		t.recordRefusal(conn, err)
	}
}

// isProtocolViolation distinguishes invalid input from a connection that merely
// ended.
func isProtocolViolation(err error) bool {
	for _, violation := range []error{wire.ErrFrameSize, wire.ErrVersion, wire.ErrKind, wire.ErrMalformed, wire.ErrTruncated, errInvalidHello} {
		if errors.Is(err, violation) {
			return true
		}
	}
	return false
}

// errInvalidHello means that a connection does not start with exactly one valid
// hello.
var errInvalidHello = errors.New("connection must start with exactly one valid hello")

// readMessages reads the hello and then passes messages to the handler and
// answers pings, until an error ends the connection.
func (t *Transport) readMessages(conn net.Conn) error {
	from, err := t.readHello(conn)
	if err != nil {
		return err
	}
	t.recordReachable(from)
	for {
		m, err := t.readFrame(conn, inboundIdleFactor*t.cfg.IdleTimeout)
		if err != nil {
			return err
		}
		switch m.(type) {
		case wire.Ping:
			err = t.writePong(conn)
		case wire.Hello, wire.Pong:
			err = errors.Wrapf(errInvalidHello, "%T after the hello", m)
		default:
			t.counts.receivedMessages.Add(1)
			t.handler(from, m)
		}
		if err != nil {
			return err
		}
	}
}

// readHello reads the first frame, which must be a hello. It returns the
// address where the sender listens.
func (t *Transport) readHello(conn net.Conn) (string, error) {
	m, err := t.readFrame(conn, t.cfg.SilenceTimeout)
	if err != nil {
		return "", err
	}
	hello, ok := m.(wire.Hello)
	if !ok || !validAddress(hello.Address) {
		return "", errors.Wrapf(errInvalidHello, "first frame is %T", m)
	}
	return hello.Address, nil
}

// readFrame reads one frame and counts its bytes. It fails if the frame is not
// complete within the timeout.
func (t *Transport) readFrame(conn net.Conn, timeout time.Duration) (wire.Message, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	reader := &countingReader{source: conn}
	m, err := wire.ReadFrame(reader)
	t.counts.receivedBytes.Add(uint64(reader.bytesRead))
	return m, err
}

// writePong answers a ping.
func (t *Transport) writePong(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(t.cfg.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if err := wire.WriteFrame(conn, wire.Pong{}); err != nil {
		return err
	}
	t.counts.sentBytes.Add(wire.HeaderBytes)
	return nil
}

// countingReader counts the bytes that are read from its source.
type countingReader struct {
	source    io.Reader
	bytesRead int
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.bytesRead += n
	return n, err
}
