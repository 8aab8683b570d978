package fleet

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// platformDelay is the time one way between a data centre and the platform,
// beside the latency of the platform itself.
const platformDelay = 500 * time.Microsecond

// pair names two data centres, the lower index first.
type pair struct{ low, high int }

func pairOf(a, b int) pair { return pair{min(a, b), max(a, b)} }

// Network is the relays between the places of a fleet.
type Network struct {
	// upstreams are the links between hosts and the upstreams of another data
	// centre.
	upstreams map[pair]*relay.Link
	// peers are the links between hosts, also of the same data centre.
	peers    map[pair]*relay.Link
	platform []*relay.Link
	callers  *relay.Link
	relays   []*relay.Relay
	// via maps an upstream's address to the address for viewers of each other
	// data centre.
	via map[string]map[string]string
	// platformVia is where each data centre reaches the platform.
	platformVia []string
}

// newNetwork starts the relays of a layout.
func newNetwork(l Layout, b *AddressBlock, platform string, seed uint64) (*Network, error) {
	n := &Network{
		upstreams: newLinks(l.Deployment),
		peers:     newLinks(l.Deployment),
		callers:   &relay.Link{Delay: l.Deployment.ClientDelay},
		via:       make(map[string]map[string]string),
	}
	if err := n.start(l, b, platform, seed); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

// newLinks returns a link for each pair of data centres, without delay within one.
func newLinks(d workload.Deployment) map[pair]*relay.Link {
	links := make(map[pair]*relay.Link)
	for high := range d.DataCentres {
		for low := range high {
			links[pair{low, high}] = &relay.Link{Delay: d.LinkDelay, Jitter: d.LinkJitter, Loss: d.LinkLoss}
		}
		links[pair{high, high}] = &relay.Link{}
	}
	return links
}

func (n *Network) start(l Layout, b *AddressBlock, platform string, seed uint64) error {
	for place := range l.Deployment.DataCentres {
		link := &relay.Link{Delay: platformDelay}
		address := b.address(netPlatformRelay+place, 1, portPlatform)
		if err := n.relay(address, platform, relay.Over(link), seed); err != nil {
			return err
		}
		n.platform = append(n.platform, link)
		n.platformVia = append(n.platformVia, address)
	}
	for _, h := range l.Hosts {
		if err := n.relay(h.CallersRelay, h.Callers, relay.Over(n.callers), seed); err != nil {
			return err
		}
		if err := n.relay(h.PeerRelay, h.Peer, n.peerRoute(l, h.DataCentre), seed); err != nil {
			return err
		}
	}
	for _, u := range l.Upstreams {
		if err := n.reach(l, b, u, seed); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) relay(address, target string, route relay.Route, seed uint64) error {
	r, err := relay.Start(address, target, route, seed^uint64(len(n.relays)))
	if err != nil {
		return err
	}
	n.relays = append(n.relays, r)
	return nil
}

// peerRoute chooses the link by the sender's data centre, which its IP number
// tells; a sender from elsewhere counts as one of the same data centre.
func (n *Network) peerRoute(l Layout, place int) relay.Route {
	return func(from net.IP) *relay.Link {
		sender := place
		if ip := from.To4(); ip != nil {
			if at := int(ip[2]) - netDataCentre; at >= 0 && at < len(l.Deployment.DataCentres) && ip[3] > 1 {
				sender = at
			}
		}
		return n.peers[pairOf(sender, place)]
	}
}

// reach starts the relays through which an upstream is reached from the other
// data centres.
func (n *Network) reach(l Layout, b *AddressBlock, u Upstream, seed uint64) error {
	fourth, port, err := lastParts(u.Address)
	if err != nil {
		return err
	}
	n.via[u.Address] = make(map[string]string)
	for viewer, name := range l.Deployment.DataCentres {
		if viewer == u.DataCentre {
			continue
		}
		address := b.address(netRelay+viewer*relayStride+u.DataCentre, fourth, port)
		link := n.upstreams[pairOf(viewer, u.DataCentre)]
		if err := n.relay(address, u.Address, relay.Over(link), seed); err != nil {
			return err
		}
		n.via[u.Address][name] = address
	}
	return nil
}

func lastParts(address string) (fourth, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return 0, 0, errors.Wrap(err, "reading an address")
	}
	var a, b, c int
	if _, err := fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &fourth); err != nil {
		return 0, 0, errors.Wrapf(err, "reading the address %s", address)
	}
	port, err = strconv.Atoi(portText)
	return fourth, port, errors.Wrapf(err, "reading the port of %s", address)
}

// CutDataCentre cuts a data centre off from the others, and from the platform
// if wanted.
func (n *Network) CutDataCentre(place int, platformToo bool) {
	for _, links := range []map[pair]*relay.Link{n.upstreams, n.peers} {
		for key, link := range links {
			if key.low != key.high && (key.low == place || key.high == place) {
				link.Cut()
			}
		}
	}
	if platformToo {
		n.platform[place].Cut()
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	for _, links := range []map[pair]*relay.Link{n.upstreams, n.peers} {
		for _, link := range links {
			link.Heal()
		}
	}
	for _, link := range n.platform {
		link.Heal()
	}
}

// ControlBytes is what the hosts of one data centre have sent and received.
type ControlBytes struct {
	// Peers is to and from other hosts, Platform to and from the platform.
	Peers, Platform int64
}

// ControlBytes is the control traffic of each data centre so far.
func (n *Network) ControlBytes() []ControlBytes {
	totals := make([]ControlBytes, len(n.platform))
	for place, link := range n.platform {
		totals[place].Platform = link.Bytes()
	}
	for key, link := range n.peers {
		totals[key.low].Peers += link.Bytes()
		totals[key.high].Peers += link.Bytes()
	}
	return totals
}

// Close ends all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		_ = r.Close()
	}
}
