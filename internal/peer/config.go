package peer

import (
	"net"
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config holds the limits and timeouts of a Transport.
type Config struct {
	// Address is where this host listens for other hosts, as ip:port. It is
	// sent to every host that this one connects to.
	Address string
	// QueueLength is the number of messages that may wait for one host. When
	// the queue is full, the oldest message is dropped, because newer messages
	// carry more recent state.
	QueueLength int
	// MaxInbound bounds the number of open inbound connections; see Known.
	MaxInbound int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed attempt. The
	// pause doubles with every failure and is varied at random by half of its
	// length in both directions.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// PingInterval is the time between two checks whether a ping is due: the
	// host pings when it has sent a message since the last ping. A shorter
	// interval detects a silent connection earlier and costs a few bytes per
	// connection.
	PingInterval time.Duration
	// SilenceTimeout is the longest wait for the answer to a ping. When it
	// passes, the connection is closed and a new one is dialled. It must exceed
	// a round trip. It also bounds a write to a connection and the wait for the
	// hello on an inbound connection.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection is kept on which no message is sent.
	IdleTimeout time.Duration
	// Known reports whether a host of the fleet listens at an address. When there are too
	// many inbound connections, those of others make place first. Nil stands for a fleet
	// in which all senders are known.
	Known func(address string) bool
	// OpenMemory opens a share of the host's memory for what is read on a connection.
	// giveWay closes the connection. Nil stands for memory without a limit.
	OpenMemory func(giveWay func()) Memory
}

// DefaultConfig returns a configuration for hosts with round trips of some
// milliseconds.
func DefaultConfig(address string) Config {
	return Config{
		Address:        address,
		QueueLength:    64,
		MaxInbound:     1024,
		DialTimeout:    2 * time.Second,
		MinBackoff:     100 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
		PingInterval:   2 * time.Second,
		SilenceTimeout: 2 * time.Second,
		IdleTimeout:    30 * time.Second,
	}
}

// Validate returns every invalid field of the configuration.
func (c Config) Validate() finding.List {
	var findings finding.List
	require := func(ok bool, place, problem string) {
		if !ok {
			findings.Add(place, problem)
		}
	}
	require(validAddress(c.Address), "Address", "must be ip:port")
	require(c.QueueLength > 0, "QueueLength", "must be above 0")
	require(c.MaxInbound > 0, "MaxInbound", "must be above 0")
	require(c.DialTimeout > 0, "DialTimeout", "must be above 0")
	require(c.MinBackoff > 0 && c.MinBackoff <= c.MaxBackoff, "MinBackoff", "must be above 0 and at most MaxBackoff")
	require(c.PingInterval > 0, "PingInterval", "must be above 0")
	require(c.SilenceTimeout > 0, "SilenceTimeout", "must be above 0")
	require(c.IdleTimeout > c.PingInterval+c.SilenceTimeout, "IdleTimeout", "must exceed PingInterval and SilenceTimeout together")
	return findings
}

// validAddress reports whether an address has the form ip:port; a host name is
// not valid.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
