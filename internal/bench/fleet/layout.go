package fleet

import (
	"fmt"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// The roles of entries in the platform's host list.
const (
	roleEntry   = "entry"
	roleEngine  = "engine"
	roleService = "service"
	// engineName is the prefix of the engines' names.
	engineName = "engine"
)

// Host describes one entry host, which runs a router and a controller.
type Host struct {
	// Name is the name of the host, unique within the fleet.
	Name string
	// DataCentre is an index into the deployment's data centres.
	DataCentre int
	// Callers, Admin and Peer are the addresses on which the router listens for
	// callers, operators and other hosts. CallersRelay and PeerRelay are the
	// addresses of the relays through which callers and other hosts reach it.
	Callers, CallersRelay, Admin, Peer, PeerRelay string
	// ControllerAdmin is the admin address of the controller.
	ControllerAdmin string
}

// Upstream describes one engine or one instance of the plain service.
type Upstream struct {
	// Name is unique within the fleet.
	Name string
	// Role is "engine" or "service".
	Role string
	// DataCentre is an index into the deployment's data centres.
	DataCentre int
	// Address is the address on which the upstream listens.
	Address string
}

// Layout lists the hosts and upstreams of a fleet with their data centres and
// addresses.
type Layout struct {
	Deployment workload.Deployment
	Hosts      []Host
	Upstreams  []Upstream
}

// NewLayout distributes the hosts and upstreams of a deployment evenly over its
// data centres and gives them addresses of the block.
func NewLayout(d workload.Deployment, b *AddressBlock) Layout {
	l := Layout{Deployment: d}
	dcCount := len(d.DataCentres)
	for i := range d.Hosts {
		l.Hosts = append(l.Hosts, newHost(b, i%dcCount, i/dcCount, d.DataCentres[i%dcCount]))
	}
	for i := range d.Engines {
		l.Upstreams = append(l.Upstreams, newUpstream(b, roleEngine, engineName, engineOctet, i%dcCount, i/dcCount, d.DataCentres[i%dcCount]))
	}
	for i := range d.Services {
		l.Upstreams = append(l.Upstreams, newUpstream(b, roleService, d.Service, serviceOctet, i%dcCount, i/dcCount, d.DataCentres[i%dcCount]))
	}
	return l
}

func newHost(b *AddressBlock, dcIndex, number int, dataCentre string) Host {
	fourthOctet := firstHostOctet + number
	thirdOctet := netDataCentre + dcIndex
	return Host{
		Name:            fmt.Sprintf("%s-host-%d", dataCentre, number+1),
		DataCentre:      dcIndex,
		Callers:         b.address(thirdOctet, fourthOctet, portCallers),
		CallersRelay:    b.address(netCallerRelay+dcIndex, fourthOctet, portCallers),
		Admin:           b.address(thirdOctet, fourthOctet, portAdmin),
		Peer:            b.address(thirdOctet, fourthOctet, portPeer),
		PeerRelay:       b.address(netPeerRelay+dcIndex, fourthOctet, portPeer),
		ControllerAdmin: b.address(thirdOctet, fourthOctet, portControllerAdmin),
	}
}

// newUpstream gives an upstream the same name as the stand-in process gives it.
func newUpstream(b *AddressBlock, role, name string, fourthOctet, dcIndex, number int, dataCentre string) Upstream {
	return Upstream{
		Name:       fmt.Sprintf("%s-%s-%d", name, dataCentre, number+1),
		Role:       role,
		DataCentre: dcIndex,
		Address:    b.address(netDataCentre+dcIndex, fourthOctet, portUpstream+number),
	}
}

// HostsOf returns the hosts of a data centre.
func (l Layout) HostsOf(dataCentre int) []Host {
	var hosts []Host
	for _, h := range l.Hosts {
		if h.DataCentre == dataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// UpstreamsOf returns the upstreams of a role in a data centre.
func (l Layout) UpstreamsOf(role string, dataCentre int) []Upstream {
	var upstreams []Upstream
	for _, u := range l.Upstreams {
		if u.Role == role && u.DataCentre == dataCentre {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// LastUpstreams returns the last engine and the last instance of the service.
func (l Layout) LastUpstreams() []Upstream {
	var last []Upstream
	for i, u := range l.Upstreams {
		if i+1 == len(l.Upstreams) || l.Upstreams[i+1].Role != u.Role {
			last = append(last, u)
		}
	}
	return last
}
