package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// errNoPong means that a ping was not answered within SilenceTimeout.
var errNoPong = errors.New("no answer to a ping")

// outbound sends messages to one host. One goroutine, which executes run, dials
// and writes.
type outbound struct {
	transport *Transport
	address   string
	queue     chan wire.Message
	// connected reports whether a connection is open. unsent counts the
	// messages that are queued or being written. Both are read by other
	// goroutines.
	connected atomic.Bool
	unsent    atomic.Int64
	// retryNow ends a pause after a failure.
	retryNow chan struct{}
}

// newOutbound returns an outbound with an empty queue; run must be started.
func newOutbound(t *Transport, address string) *outbound {
	return &outbound{transport: t, address: address, queue: make(chan wire.Message, t.cfg.QueueLength), retryNow: make(chan struct{}, 1)}
}

// enqueue adds a message and drops the oldest one if the queue is full. The
// caller holds the transport's lock, so there is one caller at a time.
func (o *outbound) enqueue(m wire.Message) {
	o.unsent.Add(1)
	for {
		select {
		case o.queue <- m:
			return
		default:
		}
		select {
		case <-o.queue:
			o.unsent.Add(-1)
			o.transport.counts.dropped.Add(1)
		default:
		}
	}
}

// hasUnsent reports whether a connection is open and messages for it are not
// yet written.
func (o *outbound) hasUnsent() bool {
	return o.connected.Load() && o.unsent.Load() > 0
}

// run connects and sends messages. It reconnects when a connection fails, at
// once if the connection was silent or had lasted for MaxBackoff or longer,
// otherwise after a pause. It returns when nothing is left to send to the host,
// or when the transport is closed.
func (o *outbound) run() {
	backoff := o.transport.cfg.MinBackoff
	for o.transport.ctx.Err() == nil {
		conn, err := o.dial()
		if err != nil {
			logevent.PeerDialFailed.Emit(o.transport.logger, log.Fields{"address": o.address, "error": err.Error()})
			o.dropQueued()
			if !o.waitBackoff(backoff) {
				return
			}
			backoff = min(2*backoff, o.transport.cfg.MaxBackoff)
			continue
		}
		started := time.Now()
		err = o.runConnection(conn)
		if err == nil {
			return
		}
		o.logFailure(err)
		if !errors.Is(err, errNoPong) && time.Since(started) < o.transport.cfg.MaxBackoff {
			if !o.waitBackoff(backoff) {
				return
			}
			backoff = min(2*backoff, o.transport.cfg.MaxBackoff)
			continue
		}
		backoff = o.transport.cfg.MinBackoff
	}
}

// endBackoff makes the next attempt to connect follow at once. One that is being made
// goes on.
func (o *outbound) endBackoff() {
	if o.connected.Load() {
		return
	}
	select {
	case o.retryNow <- struct{}{}:
	default:
	}
}

// dropQueued empties the queue, so that messages for a host that is gone do not
// keep this goroutine running.
func (o *outbound) dropQueued() {
	for {
		select {
		case <-o.queue:
			o.unsent.Add(-1)
			o.transport.counts.dropped.Add(1)
		default:
			return
		}
	}
}

// logFailure logs why a connection ended, and counts connections that became
// silent.
func (o *outbound) logFailure(err error) {
	if errors.Is(err, errNoPong) {
		o.transport.counts.silentConnections.Add(1)
		logevent.PeerSilent.Emit(o.transport.logger, log.Fields{"address": o.address})
		return
	}
	logevent.PeerLost.Emit(o.transport.logger, log.Fields{"address": o.address, "error": err.Error()})
}

// waitBackoff waits for a random time between half and one and a half times the
// mean, or until endBackoff is called. It returns false when the goroutine must end: the transport is closed
// or no message is queued.
func (o *outbound) waitBackoff(mean time.Duration) bool {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-o.transport.ctx.Done():
		return false
	case <-timer.C:
	case <-o.retryNow:
	}
	return !o.transport.removeOutbound(o)
}

// dial opens a connection to the host.
func (o *outbound) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(o.transport.ctx, o.transport.cfg.DialTimeout)
	defer cancel()
	conn, err := o.transport.dialer.DialContext(ctx, "tcp", o.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", o.address)
	}
	o.transport.counts.dials.Add(1)
	return conn, nil
}

// runConnection sends the queued messages on a connection until the connection
// breaks, becomes silent or is idle. It closes the connection, and returns nil
// when the goroutine must end.
func (o *outbound) runConnection(conn net.Conn) error {
	pongs := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.readPongs(conn, pongs)
	}()
	err := o.writeMessages(conn, pongs)
	o.connected.Store(false)
	conn.Close()
	<-done
	return err
}

// readPongs sends nil to the channel for every pong, and an error once the
// connection breaks. A pong is skipped while an earlier one has not yet been
// taken from the channel, since one is enough to show that the other host
// answers.
func (o *outbound) readPongs(conn net.Conn, pongs chan error) {
	for {
		m, err := wire.ReadFrame(conn)
		if _, ok := m.(wire.Pong); err == nil && !ok {
			err = errors.Errorf("unexpected %T on a connection for pongs", m)
		}
		if err != nil {
			select {
			case <-pongs:
			default:
			}
			pongs <- err
			return
		}
		select {
		case pongs <- nil:
		default:
		}
	}
}

// writeMessages sends the hello, the queued messages and pings. It returns nil
// when the goroutine must end, and errNoPong when the connection is silent.
func (o *outbound) writeMessages(conn net.Conn, pongs <-chan error) error {
	if err := o.write(conn, wire.Hello{Address: o.transport.cfg.Address}); err != nil {
		return err
	}
	o.connected.Store(true)
	logevent.PeerConnected.Emit(o.transport.logger, log.Fields{"address": o.address})
	ticker := time.NewTicker(o.transport.cfg.PingInterval)
	defer ticker.Stop()
	monitor := newLivenessMonitor(o.transport.cfg)
	defer monitor.stopTimer()
	for {
		select {
		case <-o.transport.ctx.Done():
			return nil
		case m := <-o.queue:
			monitor.recordSend()
			err := o.write(conn, m)
			o.unsent.Add(-1)
			if err != nil {
				return err
			}
		case err := <-pongs:
			if err != nil {
				return errors.Wrap(err, "read")
			}
			monitor.recordPong()
		case <-monitor.pongTimeout:
			return errNoPong
		case <-ticker.C:
			if monitor.isIdle() && o.transport.removeOutbound(o) {
				return nil
			}
			if !monitor.startPing() {
				continue
			}
			if err := o.write(conn, wire.Ping{}); err != nil {
				return err
			}
		}
	}
}

// write writes one message within SilenceTimeout. A message that cannot be
// encoded is logged and skipped.
func (o *outbound) write(conn net.Conn, m wire.Message) error {
	frame, err := wire.AppendFrame(nil, m)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(o.transport.logger, log.Fields{"address": o.address, "error": err.Error()})
		return nil
	}
	if err := conn.SetWriteDeadline(time.Now().Add(o.transport.cfg.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := conn.Write(frame); err != nil {
		return errors.Wrapf(err, "write %T", m)
	}
	o.transport.counts.sentMessages.Add(1)
	o.transport.counts.sentBytes.Add(uint64(len(frame)))
	return nil
}
