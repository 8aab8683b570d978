package peer

import (
	"net"
	"time"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Config sets the trade-offs of a Transport.
type Config struct {
	// Address is where this host listens for others, as ip:port. It is told
	// to every host that this one connects to.
	Address string
	// QueueLength is how many messages may wait for one host. When more come,
	// the oldest is dropped, since newer ones tell more.
	QueueLength int
	// MaxInbound bounds the connections accepted at one time.
	MaxInbound int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed attempt. It
	// doubles with every failure and varies by half.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// PingInterval is how long after sending an answer is asked for. Shorter
	// notices silence sooner and costs a few bytes per connection.
	PingInterval time.Duration
	// SilenceTimeout is how long an answer may take before the connection is
	// given up and a new one is dialled. It must exceed a round trip.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection without messages is kept.
	IdleTimeout time.Duration
}

// DefaultConfig returns settings for hosts some milliseconds apart.
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

// Validate returns every problem of the configuration.
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

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
