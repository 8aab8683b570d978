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

// idleFactor times the idle timeout is how long an inbound connection may be
// silent, so that the dialling end closes first.
const idleFactor = 2

// Serve accepts connections until the transport or the listener is closed. It
// closes the listener before it returns.
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
			closeIfAny(conn)
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		t.admit(conn)
	}
}

func closeIfAny(conn net.Conn) {
	if conn != nil {
		conn.Close()
	}
}

func (t *Transport) admit(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= t.cfg.MaxInbound {
		conn.Close()
		t.refuse(conn, errors.New("too many connections"))
		return
	}
	t.inbound[conn] = struct{}{}
	t.wait.Go(func() { t.receive(conn) })
}

func (t *Transport) refuse(conn net.Conn, err error) {
	t.counts.refused.Add(1)
	logevent.PeerRefused.Emit(t.logger, log.Fields{"remote": conn.RemoteAddr().String(), "error": err.Error()})
}

// receive reads one connection to its end.
func (t *Transport) receive(conn net.Conn) {
	err := t.readAll(conn)
	conn.Close()
	t.mu.Lock()
	delete(t.inbound, conn)
	t.mu.Unlock()
	if refused(err) {
		t.refuse(conn, err)
	}
}

// refused tells bad input from a connection that merely ended.
func refused(err error) bool {
	for _, bad := range []error{wire.ErrFrameSize, wire.ErrVersion, wire.ErrKind, wire.ErrMalformed, wire.ErrTruncated, errHello} {
		if errors.Is(err, bad) {
			return true
		}
	}
	return false
}

var errHello = errors.New("connection does not start with a valid hello")

func (t *Transport) readAll(conn net.Conn) error {
	from, err := t.readHello(conn)
	if err != nil {
		return err
	}
	for {
		m, err := t.read(conn, idleFactor*t.cfg.IdleTimeout)
		if err != nil {
			return err
		}
		switch m.(type) {
		case wire.Ping:
			err = t.pong(conn)
		case wire.Hello, wire.Pong:
			err = errors.Wrapf(errHello, "%T after the hello", m)
		default:
			t.counts.receivedMessages.Add(1)
			t.handler(from, m)
		}
		if err != nil {
			return err
		}
	}
}

func (t *Transport) readHello(conn net.Conn) (string, error) {
	m, err := t.read(conn, t.cfg.SilenceTimeout)
	if err != nil {
		return "", err
	}
	hello, ok := m.(wire.Hello)
	if !ok || !validAddress(hello.Address) {
		return "", errors.Wrapf(errHello, "first frame is %T", m)
	}
	return hello.Address, nil
}

func (t *Transport) read(conn net.Conn, within time.Duration) (wire.Message, error) {
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	counted := &countingReader{r: conn}
	m, err := wire.ReadFrame(counted)
	t.counts.receivedBytes.Add(uint64(counted.n))
	return m, err
}

func (t *Transport) pong(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(t.cfg.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if err := wire.WriteFrame(conn, wire.Pong{}); err != nil {
		return err
	}
	t.counts.sentBytes.Add(wire.HeaderBytes)
	return nil
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}
