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

var errSilent = errors.New("no answer to a ping")

// outbound is the traffic to one host, run by one goroutine.
type outbound struct {
	t     *Transport
	to    string
	queue chan wire.Message
	// connected and unsent, the messages queued or being written, are for
	// reports.
	connected atomic.Bool
	unsent    atomic.Int64
}

func newOutbound(t *Transport, to string) *outbound {
	return &outbound{t: t, to: to, queue: make(chan wire.Message, t.cfg.QueueLength)}
}

// enqueue adds a message and drops the oldest if there is no room. The
// transport's lock is held, so there is one caller at a time.
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
			o.t.counts.dropped.Add(1)
		default:
		}
	}
}

func (o *outbound) busy() bool {
	return o.connected.Load() && o.unsent.Load() > 0
}

// run connects when there is something to send, until the host is idle or the
// transport is closed.
func (o *outbound) run() {
	backoff := o.t.cfg.MinBackoff
	for o.t.ctx.Err() == nil {
		conn, err := o.dial()
		if err != nil {
			logevent.PeerDialFailed.Emit(o.t.logger, log.Fields{"address": o.to, "error": err.Error()})
			o.drop()
			if !o.pause(backoff) {
				return
			}
			backoff = min(2*backoff, o.t.cfg.MaxBackoff)
			continue
		}
		started := time.Now()
		err = o.converse(conn)
		if err == nil {
			return
		}
		o.report(err)
		if !errors.Is(err, errSilent) && time.Since(started) < o.t.cfg.MaxBackoff {
			if !o.pause(backoff) {
				return
			}
			backoff = min(2*backoff, o.t.cfg.MaxBackoff)
			continue
		}
		backoff = o.t.cfg.MinBackoff
	}
}

// drop empties the queue, so that what was meant for a host that is gone does
// not keep this goroutine.
func (o *outbound) drop() {
	for {
		select {
		case <-o.queue:
			o.unsent.Add(-1)
			o.t.counts.dropped.Add(1)
		default:
			return
		}
	}
}

func (o *outbound) report(err error) {
	if errors.Is(err, errSilent) {
		o.t.counts.silences.Add(1)
		logevent.PeerSilent.Emit(o.t.logger, log.Fields{"address": o.to})
		return
	}
	logevent.PeerLost.Emit(o.t.logger, log.Fields{"address": o.to, "error": err.Error()})
}

// pause waits for a varied time. It returns false when the goroutine must
// end: the transport is closed or nothing waits to be sent.
func (o *outbound) pause(mean time.Duration) bool {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-o.t.ctx.Done():
		return false
	case <-timer.C:
	}
	return !o.t.retire(o)
}

func (o *outbound) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(o.t.ctx, o.t.cfg.DialTimeout)
	defer cancel()
	conn, err := o.t.dialer.DialContext(ctx, "tcp", o.to)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", o.to)
	}
	o.t.counts.dials.Add(1)
	return conn, nil
}

// converse sends what is queued on a connection until it breaks, falls silent
// or is idle. It returns nil when the goroutine must end.
func (o *outbound) converse(conn net.Conn) error {
	answers := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.listen(conn, answers)
	}()
	err := o.speak(conn, answers)
	o.connected.Store(false)
	conn.Close()
	<-done
	return err
}

// listen passes on that a pong came (nil) or that the connection broke. A
// pong that nobody has taken note of yet is enough.
func (o *outbound) listen(conn net.Conn, answers chan error) {
	for {
		m, err := wire.ReadFrame(conn)
		if _, ok := m.(wire.Pong); err == nil && !ok {
			err = errors.Errorf("%T on a connection for pongs", m)
		}
		if err != nil {
			select {
			case <-answers:
			default:
			}
			answers <- err
			return
		}
		select {
		case answers <- nil:
		default:
		}
	}
}

// speak is the sending half of a connection.
func (o *outbound) speak(conn net.Conn, answers <-chan error) error {
	if err := o.write(conn, wire.Hello{Address: o.t.cfg.Address}); err != nil {
		return err
	}
	o.connected.Store(true)
	logevent.PeerConnected.Emit(o.t.logger, log.Fields{"address": o.to})
	ticker := time.NewTicker(o.t.cfg.PingInterval)
	defer ticker.Stop()
	w := newWatch(o.t.cfg)
	defer w.stop()
	for {
		select {
		case <-o.t.ctx.Done():
			return nil
		case m := <-o.queue:
			w.sent()
			err := o.write(conn, m)
			o.unsent.Add(-1)
			if err != nil {
				return err
			}
		case err := <-answers:
			if err != nil {
				return errors.Wrap(err, "read")
			}
			w.answered()
		case <-w.silence:
			return errSilent
		case <-ticker.C:
			if w.idle() && o.t.retire(o) {
				return nil
			}
			if !w.ping() {
				continue
			}
			if err := o.write(conn, wire.Ping{}); err != nil {
				return err
			}
		}
	}
}

func (o *outbound) write(conn net.Conn, m wire.Message) error {
	frame, err := wire.AppendFrame(nil, m)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(o.t.logger, log.Fields{"address": o.to, "error": err.Error()})
		return nil
	}
	if err := conn.SetWriteDeadline(time.Now().Add(o.t.cfg.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := conn.Write(frame); err != nil {
		return errors.Wrapf(err, "write %T", m)
	}
	o.t.counts.sentMessages.Add(1)
	o.t.counts.sentBytes.Add(uint64(len(frame)))
	return nil
}
