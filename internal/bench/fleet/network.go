package fleet

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/relay"
)

// platformDelay is the time one way between a data centre and the platform,
// beside the latency of the platform itself.
const platformDelay = 500 * time.Microsecond

// pair names two data centres, the lower index first.
type pair struct{ low, high int }

func pairOf(a, b int) pair { return pair{min(a, b), max(a, b)} }

// Network is the relays between the places of a fleet.
type Network struct {
	between  map[pair]*relay.Link
	platform []*relay.Link
	callers  *relay.Link
	relays   []*relay.Relay
	// via maps an address to the address for viewers of each other data centre.
	via map[string]map[string]string
	// platformVia is where each data centre reaches the platform.
	platformVia []string
}

// newNetwork starts the relays of a layout.
func newNetwork(l Layout, b *Block, platform string, seed uint64) (*Network, error) {
	d := l.Deployment
	n := &Network{
		between: make(map[pair]*relay.Link),
		callers: &relay.Link{Delay: d.ClientDelay},
		via:     make(map[string]map[string]string),
	}
	if err := n.start(l, b, platform, seed); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Network) start(l Layout, b *Block, platform string, seed uint64) error {
	for place := range l.Deployment.DataCentres {
		link := &relay.Link{Delay: platformDelay}
		address := b.address(netPlatformRelay+place, 1, portPlatform)
		if err := n.relay(address, platform, link, seed); err != nil {
			return err
		}
		n.platform = append(n.platform, link)
		n.platformVia = append(n.platformVia, address)
	}
	for _, h := range l.Hosts {
		if err := n.relay(h.CallersVia, h.Callers, n.callers, seed); err != nil {
			return err
		}
		if err := n.cross(l, b, h.Peer, h.DataCentre, seed); err != nil {
			return err
		}
		if err := n.cross(l, b, h.ControllerPeer, h.DataCentre, seed); err != nil {
			return err
		}
	}
	for _, u := range l.Upstreams {
		if err := n.cross(l, b, u.Address, u.DataCentre, seed); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) relay(address, target string, link *relay.Link, seed uint64) error {
	r, err := relay.Start(address, target, link, seed^uint64(len(n.relays)))
	if err != nil {
		return err
	}
	n.relays = append(n.relays, r)
	return nil
}

// cross starts the relays through which the other data centres reach target.
func (n *Network) cross(l Layout, b *Block, target string, place int, seed uint64) error {
	fourth, port, err := lastParts(target)
	if err != nil {
		return err
	}
	d := l.Deployment
	for viewer, name := range d.DataCentres {
		if viewer == place {
			continue
		}
		key := pairOf(viewer, place)
		if n.between[key] == nil {
			n.between[key] = &relay.Link{Delay: d.LinkDelay, Jitter: d.LinkJitter, Loss: d.LinkLoss}
		}
		address := b.address(netRelay+viewer*relayStride+place, fourth, port)
		if err := n.relay(address, target, n.between[key], seed); err != nil {
			return err
		}
		if n.via[target] == nil {
			n.via[target] = make(map[string]string)
		}
		n.via[target][name] = address
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
	for key, link := range n.between {
		if key.low == place || key.high == place {
			link.Cut()
		}
	}
	if platformToo {
		n.platform[place].Cut()
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	for _, link := range n.between {
		link.Heal()
	}
	for _, link := range n.platform {
		link.Heal()
	}
}

// BytesBetween is how many bytes have passed between data centres.
func (n *Network) BytesBetween() int64 {
	var total int64
	for _, link := range n.between {
		total += link.Bytes()
	}
	return total
}

// Close ends all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		_ = r.Close()
	}
}
