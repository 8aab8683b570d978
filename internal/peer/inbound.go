package peer

import (
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
		conn, err := t.accept(listener)
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
func (t *Transport) acceptConnection(accepted net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := &inboundConn{Conn: accepted, lastReceived: time.Now()}
	if t.closed {
		conn.Close()
		return
	}
	if len(t.inbound) >= t.maxInbound {
		refused := chooseVictim(t.inbound)
		if refused == nil {
			refused = conn
		}
		refused.Close()
		delete(t.inbound, refused)
		t.recordRefusal(refused, errors.New("too many connections"))
		if refused == conn {
			return
		}
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
func (t *Transport) handleConnection(conn *inboundConn) {
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
	for _, violation := range []error{wire.ErrFrameSize, wire.ErrVersion, wire.ErrKind, wire.ErrMalformed, wire.ErrTruncated, errInvalidHello, errNoMemory} {
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
func (t *Transport) readMessages(conn *inboundConn) error {
	from, err := t.readHello(conn)
	if err != nil {
		return err
	}
	t.recordReachable(from)
	t.recordStanding(conn, from)
	for {
		if err := t.handleFrame(conn, from); err != nil {
			return err
		}
	}
}

// handleFrame reads one frame, and passes its message to the handler or answers a ping.
func (t *Transport) handleFrame(conn *inboundConn, from string) error {
	memory := t.openMemory(conn)
	if memory != nil {
		defer memory.Release()
	}
	m, err := t.readFrame(conn, memory, inboundIdleFactor*t.cfg.IdleTimeout)
	if err != nil {
		return err
	}
	t.mu.Lock()
	conn.lastReceived = time.Now()
	t.mu.Unlock()
	switch m.(type) {
	case wire.Ping:
		return t.writePong(conn)
	case wire.Hello, wire.Pong:
		return errors.Wrapf(errInvalidHello, "%T after the hello", m)
	default:
		t.counts.receivedMessages.Add(1)
		t.handler(from, m)
		return nil
	}
}

// openMemory opens a share of the host's memory for what is read on a connection, which is
// closed if it has to give way. It returns nil if memory is not accounted for.
func (t *Transport) openMemory(conn net.Conn) Memory {
	if t.cfg.OpenMemory == nil {
		return nil
	}
	return t.cfg.OpenMemory(func() { conn.Close() })
}

// recordStanding records whether the sender of a connection is a known host.
func (t *Transport) recordStanding(conn *inboundConn, from string) {
	s := known
	if t.cfg.Known != nil && !t.cfg.Known(from) {
		s = unknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.standing, conn.lastReceived = s, time.Now()
}

// readHello reads the first frame, which must be a hello. It returns the
// address where the sender listens.
func (t *Transport) readHello(conn net.Conn) (string, error) {
	m, err := t.readFrame(conn, nil, t.cfg.SilenceTimeout)
	if err != nil {
		return "", err
	}
	hello, ok := m.(wire.Hello)
	if !ok || !validAddress(hello.Address) {
		return "", errors.Wrapf(errInvalidHello, "first frame is %T", m)
	}
	return hello.Address, nil
}

// readFrame reads one frame and counts its bytes. It fails if the frame does not begin
// within the timeout, or is not complete within SilenceTimeout from then on.
func (t *Transport) readFrame(conn net.Conn, memory Memory, timeout time.Duration) (wire.Message, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	reader := &frameReader{conn: conn, memory: memory, timeout: t.cfg.SilenceTimeout}
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
