package host

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// Settings holds the settings of a router process. The help tag of each field
// describes it for operators.
type Settings struct {
	Host           string        `env:"CHESTNUT_HOST" flag:"host" help:"name of this host, unique in the system"`
	DataCentre     string        `env:"CHESTNUT_DATA_CENTRE" flag:"data-centre" help:"data centre of this host"`
	Listen         string        `env:"CHESTNUT_LISTEN" flag:"listen" default:"127.0.0.1:8080" help:"address for callers (ip:port)"`
	Admin          string        `env:"CHESTNUT_ADMIN" flag:"admin" default:"127.0.0.1:8081" help:"address for operators (ip:port)"`
	Peer           string        `env:"CHESTNUT_PEER" flag:"peer" default:"127.0.0.1:8082" help:"address for other hosts (ip:port), as listed by the platform"`
	PeerBind       string        `env:"CHESTNUT_PEER_BIND" flag:"peer-bind" help:"address to listen on for other hosts, where it differs from --peer (ip:port)"`
	Platform       string        `env:"CHESTNUT_PLATFORM" flag:"platform" help:"base URL of the platform's object API"`
	Policy         string        `env:"CHESTNUT_POLICY" flag:"policy" default:"default" help:"placement policy: default, or naive for comparisons"`
	Seed           uint64        `env:"CHESTNUT_SEED" flag:"seed" default:"0" help:"seed of the policies' random choices; 0 draws one"`
	ListInterval   time.Duration `env:"CHESTNUT_LIST_INTERVAL" flag:"list-interval" default:"1s" help:"time between two reads of the platform's list of hosts"`
	DrainLimit     time.Duration `env:"CHESTNUT_DRAIN_LIMIT" flag:"drain-limit" default:"10m" help:"longest time that a stopping host waits for requests in flight"`
	MaxConnections int           `env:"CHESTNUT_MAX_CONNECTIONS" flag:"max-connections" default:"10000" help:"most open connections of callers"`
	JournalSize    int           `env:"CHESTNUT_JOURNAL_SIZE" flag:"journal-size" default:"5000" help:"requests whose account is kept"`
	LogLevel       string        `env:"CHESTNUT_LOG_LEVEL" flag:"log-level" default:"info" help:"least level logged: debug, info, warn or error"`
}

// Level implements daemon.Settings.
func (s *Settings) Level() string { return s.LogLevel }

// Validate implements settings.Validator. Its findings name the flags.
func (s *Settings) Validate() finding.List {
	var l finding.List
	if s.Host == "" {
		l.Add("--host", "is missing; name this host")
	}
	if s.DataCentre == "" {
		l.Add("--data-centre", "is missing; name the data centre")
	}
	settings.CheckAddress(&l, "--listen", s.Listen)
	settings.CheckAddress(&l, "--admin", s.Admin)
	settings.CheckAddress(&l, "--peer", s.Peer)
	settings.CheckAddress(&l, "--peer-bind", s.peerBind())
	settings.CheckURL(&l, "--platform", s.Platform)
	if p := dispatch.Policy(s.Policy); p != dispatch.PolicyDefault && p != dispatch.PolicyNaive {
		l.Add("--policy", "must be default or naive, not "+s.Policy)
	}
	if s.ListInterval < minListInterval {
		l.Add("--list-interval", "must be at least "+minListInterval.String())
	}
	if s.DrainLimit <= 0 {
		l.Add("--drain-limit", "must be above 0")
	}
	if s.MaxConnections < 1 {
		l.Add("--max-connections", "must be at least 1")
	}
	if s.JournalSize < 1 {
		l.Add("--journal-size", "must be at least 1")
	}
	return l
}

// peerBind returns the address where the process listens for other hosts. The
// process also dials other hosts from this IP address, by which a network
// device between two hosts can identify the sender.
func (s *Settings) peerBind() string {
	if s.PeerBind != "" {
		return s.PeerBind
	}
	return s.Peer
}

// peerDialer returns a dialer that opens connections to other hosts from the IP
// address of peerBind.
func (s *Settings) peerDialer() (*net.Dialer, error) {
	address, err := netip.ParseAddrPort(s.peerBind())
	if err != nil {
		return nil, errors.Wrap(err, "read --peer-bind")
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: address.Addr().AsSlice()}}, nil
}

// minListInterval is the shortest time between two reads of the list by one host.
// It keeps the reads of all hosts together below the platform's limit of reads
// per second.
const minListInterval = 100 * time.Millisecond
