package peer

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// smallFrameBytes is how much of a frame is read without a charge.
	smallFrameBytes = 4 << 10
	// minAcceptPause and maxAcceptPause bound the pause after a failure to accept, such as a
	// lack of descriptors. The pause doubles with every failure.
	minAcceptPause, maxAcceptPause = 5 * time.Millisecond, time.Second
)

// errNoMemory means that the host has no memory for a frame.
var errNoMemory = errors.New("no memory for a frame")

// Memory is a share of the host's memory.
type Memory interface {
	// Grow charges more bytes, and returns an error if there is no room for them.
	Grow(bytes int64) error
	Release()
}

// standing is what is known of the sender of an inbound connection. The higher ones keep
// their place when there are too many connections.
type standing int

const (
	// silent senders have not said who they are.
	silent standing = iota
	// unknown senders are no host that is known here.
	unknown
	// known senders are hosts of the fleet, as far as they say.
	known
)

// inboundConn is an inbound connection and what decides whether it keeps its place.
type inboundConn struct {
	net.Conn
	standing standing
	// lastReceived is when its last message arrived, or when it was opened.
	lastReceived time.Time
}

// chooseVictim returns the connection that makes place for a new one: of those whose
// senders have the lowest standing, the one from which nothing has come for longest. It
// returns nil if all senders are known. A crowd that opens connections and says nothing then
// keeps no host out.
func chooseVictim(conns map[*inboundConn]struct{}) *inboundConn {
	var victim *inboundConn
	for c := range conns {
		if c.standing == known {
			continue
		}
		if victim == nil || c.standing < victim.standing || c.standing == victim.standing && c.lastReceived.Before(victim.lastReceived) {
			victim = c
		}
	}
	return victim
}

// accept waits for a connection. A failure that passes, such as a lack of descriptors, only
// delays it.
func (t *Transport) accept(listener net.Listener) (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := listener.Accept()
		if err == nil || t.ctx.Err() != nil || !passes(err) {
			return conn, err
		}
		select {
		case <-t.ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// passes reports whether a failure to accept a connection passes by itself.
func passes(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// frameReader reads one frame from a connection, charges its bytes and bounds its time.
type frameReader struct {
	conn    net.Conn
	memory  Memory
	timeout time.Duration
	// bytesRead counts what has come, charged what of it was charged.
	bytesRead, charged int
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	if more := f.bytesRead + len(p) - max(f.charged, smallFrameBytes); more > 0 && f.memory != nil {
		// The frame is read in small pieces, so what is charged has nearly come.
		if f.memory.Grow(int64(more)) != nil {
			return 0, errNoMemory
		}
		f.charged = f.bytesRead + len(p)
	}
	n, err := f.conn.Read(p)
	if n > 0 && f.bytesRead == 0 {
		// What has begun has to come whole in time.
		if err := f.conn.SetReadDeadline(time.Now().Add(f.timeout)); err != nil {
			return n, errors.Wrap(err, "set read deadline")
		}
	}
	f.bytesRead += n
	return n, err
}
