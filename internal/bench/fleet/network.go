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

// peerRelay carries what hosts of one data centre say to a host of another or
// of the same.
type peerRelay struct {
	viewer, place int
	relay         *relay.Relay
}

// Network is the relays between the places of a fleet.
type Network struct {
	between  map[pair]*relay.Link
	platform []*relay.Link
	callers  *relay.Link
	relays   []*relay.Relay
	// peers and toPlatform are the relays that carry control traffic.
	peers      []peerRelay
	toPlatform []*relay.Relay
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
		r, err := n.relay(address, platform, link, seed)
		if err != nil {
			return err
		}
		n.platform = append(n.platform, link)
		n.platformVia = append(n.platformVia, address)
		n.toPlatform = append(n.toPlatform, r)
	}
	for _, h := range l.Hosts {
		if _, err := n.relay(h.CallersVia, h.Callers, n.callers, seed); err != nil {
			return err
		}
		if err := n.reach(l, b, h.Peer, h.DataCentre, true, seed); err != nil {
			return err
		}
	}
	for _, u := range l.Upstreams {
		if err := n.reach(l, b, u.Address, u.DataCentre, false, seed); err != nil {
			return err
		}
	}
	return nil
}

func (n *Network) relay(address, target string, link *relay.Link, seed uint64) (*relay.Relay, error) {
	r, err := relay.Start(address, target, link, seed^uint64(len(n.relays)))
	if err != nil {
		return nil, err
	}
	n.relays = append(n.relays, r)
	return r, nil
}

// reach starts the relays through which target is reached from each data
// centre. Within its own one upstreams are reached directly, and hosts over a
// relay without delay, so that what they say to each other is counted.
func (n *Network) reach(l Layout, b *Block, target string, place int, peer bool, seed uint64) error {
	fourth, port, err := lastParts(target)
	if err != nil {
		return err
	}
	n.via[target] = make(map[string]string)
	for viewer, name := range l.Deployment.DataCentres {
		if viewer == place && !peer {
			continue
		}
		address := b.address(netRelay+viewer*relayStride+place, fourth, port)
		r, err := n.relay(address, target, n.link(l.Deployment, viewer, place), seed)
		if err != nil {
			return err
		}
		n.via[target][name] = address
		if peer {
			n.peers = append(n.peers, peerRelay{viewer: viewer, place: place, relay: r})
		}
	}
	return nil
}

// link returns the link between two data centres, the same for all relays.
func (n *Network) link(d workload.Deployment, a, b int) *relay.Link {
	key := pairOf(a, b)
	if n.between[key] == nil {
		n.between[key] = &relay.Link{}
		if a != b {
			n.between[key] = &relay.Link{Delay: d.LinkDelay, Jitter: d.LinkJitter, Loss: d.LinkLoss}
		}
	}
	return n.between[key]
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
		if key.low != key.high && (key.low == place || key.high == place) {
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

// ControlBytes is how many bytes the hosts of each data centre have sent and
// received so far, among hosts and to and from the platform.
func (n *Network) ControlBytes() []int64 {
	totals := make([]int64, len(n.toPlatform))
	for place, r := range n.toPlatform {
		totals[place] += r.Bytes()
	}
	for _, p := range n.peers {
		totals[p.viewer] += p.relay.Bytes()
		totals[p.place] += p.relay.Bytes()
	}
	return totals
}

// Close ends all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		_ = r.Close()
	}
}
