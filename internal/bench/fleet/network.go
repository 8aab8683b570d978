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

// platformDelay is the one-way network delay between a data centre and the
// platform, in addition to the latency of the platform itself.
const platformDelay = 500 * time.Microsecond

// dataCentrePair identifies two data centres by index, the lower index first.
type dataCentrePair struct{ low, high int }

func newDataCentrePair(a, b int) dataCentrePair { return dataCentrePair{min(a, b), max(a, b)} }

// Network manages the relays and simulated links between the parts of a fleet.
type Network struct {
	// upstreamLinks are the links between the hosts of one data centre and the
	// upstreams of another.
	upstreamLinks map[dataCentrePair]*relay.Link
	// peerLinks are the links between hosts, including those within one data
	// centre.
	peerLinks     map[dataCentrePair]*relay.Link
	platformLinks []*relay.Link
	callerLink    *relay.Link
	relays        []*relay.Relay
	// upstreamRelays maps the address of an upstream and the name of another data
	// centre to the relay address that hosts of that data centre use for it.
	upstreamRelays map[string]map[string]string
	// platformRelays holds, for each data centre, the relay address at which its
	// hosts reach the platform.
	platformRelays []string
}

// newNetwork creates the links and starts the relays of a layout.
func newNetwork(l Layout, b *AddressBlock, platform string, seed uint64) (*Network, error) {
	n := &Network{
		upstreamLinks:  newLinks(l.Deployment),
		peerLinks:      newLinks(l.Deployment),
		callerLink:     &relay.Link{Delay: l.Deployment.ClientDelay},
		upstreamRelays: make(map[string]map[string]string),
	}
	if err := n.start(l, b, platform, seed); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

// newLinks returns one link for each pair of data centres. The link within a data
// centre has no delay.
func newLinks(d workload.Deployment) map[dataCentrePair]*relay.Link {
	links := make(map[dataCentrePair]*relay.Link)
	for high := range d.DataCentres {
		for low := range high {
			links[dataCentrePair{low, high}] = &relay.Link{Delay: d.LinkDelay, Jitter: d.LinkJitter, Loss: d.LinkLoss}
		}
		links[dataCentrePair{high, high}] = &relay.Link{}
	}
	return links
}

func (n *Network) start(l Layout, b *AddressBlock, platform string, seed uint64) error {
	for dcIndex := range l.Deployment.DataCentres {
		link := &relay.Link{Delay: platformDelay}
		address := b.address(netPlatformRelay+dcIndex, 1, portPlatform)
		if err := n.startRelay(address, platform, relay.SingleLink(link), seed); err != nil {
			return err
		}
		n.platformLinks = append(n.platformLinks, link)
		n.platformRelays = append(n.platformRelays, address)
	}
	for _, h := range l.Hosts {
		if err := n.startRelay(h.CallersRelay, h.Callers, relay.SingleLink(n.callerLink), seed); err != nil {
			return err
		}
		if err := n.startRelay(h.PeerRelay, h.Peer, n.peerRoute(l, h.DataCentre), seed); err != nil {
			return err
		}
	}
	for _, u := range l.Upstreams {
		if err := n.startUpstreamRelays(l, b, u, seed); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) startRelay(address, target string, route relay.LinkSelector, seed uint64) error {
	r, err := relay.Start(address, target, route, seed^uint64(len(n.relays)))
	if err != nil {
		return err
	}
	n.relays = append(n.relays, r)
	return nil
}

// peerRoute returns a route that chooses the link by the data centre of the
// sender, which follows from the sender's IP address. A sender outside of all
// data centres is treated as one of the same data centre.
func (n *Network) peerRoute(l Layout, dcIndex int) relay.LinkSelector {
	return func(from net.IP) *relay.Link {
		sender := dcIndex
		if ip := from.To4(); ip != nil {
			if candidate := int(ip[2]) - netDataCentre; candidate >= 0 && candidate < len(l.Deployment.DataCentres) && ip[3] > 1 {
				sender = candidate
			}
		}
		return n.peerLinks[newDataCentrePair(sender, dcIndex)]
	}
}

// startUpstreamRelays starts the relays through which the hosts of the other data
// centres reach an upstream.
func (n *Network) startUpstreamRelays(l Layout, b *AddressBlock, u Upstream, seed uint64) error {
	fourthOctet, port, err := hostOctetAndPort(u.Address)
	if err != nil {
		return err
	}
	n.upstreamRelays[u.Address] = make(map[string]string)
	for fromDC, name := range l.Deployment.DataCentres {
		if fromDC == u.DataCentre {
			continue
		}
		address := b.address(netUpstreamRelay+fromDC*upstreamRelayStride+u.DataCentre, fourthOctet, port)
		link := n.upstreamLinks[newDataCentrePair(fromDC, u.DataCentre)]
		if err := n.startRelay(address, u.Address, relay.SingleLink(link), seed); err != nil {
			return err
		}
		n.upstreamRelays[u.Address][name] = address
	}
	return nil
}

// hostOctetAndPort returns the fourth octet and the port of an IPv4 address with
// a port.
func hostOctetAndPort(address string) (fourthOctet, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return 0, 0, errors.Wrap(err, "reading an address")
	}
	var a, b, c int
	if _, err := fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &fourthOctet); err != nil {
		return 0, 0, errors.Wrapf(err, "reading the address %s", address)
	}
	port, err = strconv.Atoi(portText)
	return fourthOctet, port, errors.Wrapf(err, "reading the port of %s", address)
}

// CutDataCentre disconnects a data centre from the other data centres and, if
// platformToo is true, also from the platform.
func (n *Network) CutDataCentre(dcIndex int, platformToo bool) {
	for _, links := range []map[dataCentrePair]*relay.Link{n.upstreamLinks, n.peerLinks} {
		for key, link := range links {
			if key.low != key.high && (key.low == dcIndex || key.high == dcIndex) {
				link.Cut()
			}
		}
	}
	if platformToo {
		n.platformLinks[dcIndex].Cut()
	}
}

// Heal reconnects all links that were cut.
func (n *Network) Heal() {
	for _, links := range []map[dataCentrePair]*relay.Link{n.upstreamLinks, n.peerLinks} {
		for _, link := range links {
			link.Heal()
		}
	}
	for _, link := range n.platformLinks {
		link.Heal()
	}
}

// ControlBytes holds the number of bytes that the hosts of one data centre have
// sent and received for control.
type ControlBytes struct {
	// Peers counts the bytes to and from other hosts, Platform those to and from
	// the platform.
	Peers, Platform int64
}

// ControlBytes returns the control traffic of each data centre since the start of
// the fleet.
func (n *Network) ControlBytes() []ControlBytes {
	totals := make([]ControlBytes, len(n.platformLinks))
	for dcIndex, link := range n.platformLinks {
		totals[dcIndex].Platform = link.ForwardedBytes()
	}
	for key, link := range n.peerLinks {
		totals[key.low].Peers += link.ForwardedBytes()
		totals[key.high].Peers += link.ForwardedBytes()
	}
	return totals
}

// Close stops all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		_ = r.Close()
	}
}
