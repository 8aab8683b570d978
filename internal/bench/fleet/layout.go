package fleet

import (
	"fmt"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// Roles of entries in the platform's list.
const (
	roleEntry   = "entry"
	roleEngine  = "engine"
	roleService = "service"
	// engineName begins the names of engines.
	engineName = "engine"
)

// Host is one entry host with its programs.
type Host struct {
	// Name is the host's name.
	Name string
	// DataCentre is an index into the deployment's data centres.
	DataCentre int
	// Callers, Admin and Peer are the router's own addresses; CallersRelay and
	// PeerRelay are where callers and other hosts reach it.
	Callers, CallersRelay, Admin, Peer, PeerRelay string
	// ControllerAdmin is the controller's.
	ControllerAdmin string
}

// Upstream is one engine or one instance of a plain service.
type Upstream struct {
	// Name is unique within the fleet.
	Name string
	// Role is "engine" or "service".
	Role string
	// DataCentre is an index into the deployment's data centres.
	DataCentre int
	// Address is where it listens.
	Address string
}

// Layout is who is where in a fleet.
type Layout struct {
	Deployment workload.Deployment
	Hosts      []Host
	Upstreams  []Upstream
}

// NewLayout spreads a deployment over its data centres, with addresses of the block.
func NewLayout(d workload.Deployment, b *AddressBlock) Layout {
	l := Layout{Deployment: d}
	places := len(d.DataCentres)
	for i := range d.Hosts {
		l.Hosts = append(l.Hosts, newHost(b, i%places, i/places, d.DataCentres[i%places]))
	}
	for i := range d.Engines {
		l.Upstreams = append(l.Upstreams, newUpstream(b, roleEngine, engineName, engineHost, i%places, i/places, d.DataCentres[i%places]))
	}
	for i := range d.Services {
		l.Upstreams = append(l.Upstreams, newUpstream(b, roleService, d.Service, serviceHost, i%places, i/places, d.DataCentres[i%places]))
	}
	return l
}

func newHost(b *AddressBlock, place, number int, dataCentre string) Host {
	fourth := firstHost + number
	third := netDataCentre + place
	return Host{
		Name:            fmt.Sprintf("%s-host-%d", dataCentre, number+1),
		DataCentre:      place,
		Callers:         b.address(third, fourth, portCallers),
		CallersRelay:    b.address(netCallers+place, fourth, portCallers),
		Admin:           b.address(third, fourth, portAdmin),
		Peer:            b.address(third, fourth, portPeer),
		PeerRelay:       b.address(netPeers+place, fourth, portPeer),
		ControllerAdmin: b.address(third, fourth, portControllerAdmin),
	}
}

// newUpstream names an upstream as its process does.
func newUpstream(b *AddressBlock, role, name string, fourth, place, number int, dataCentre string) Upstream {
	return Upstream{
		Name:       fmt.Sprintf("%s-%s-%d", name, dataCentre, number+1),
		Role:       role,
		DataCentre: place,
		Address:    b.address(netDataCentre+place, fourth, portUpstream+number),
	}
}

// HostsOf lists the hosts of a data centre.
func (l Layout) HostsOf(dataCentre int) []Host {
	var hosts []Host
	for _, h := range l.Hosts {
		if h.DataCentre == dataCentre {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// UpstreamsOf lists the upstreams of a role in a data centre.
func (l Layout) UpstreamsOf(role string, dataCentre int) []Upstream {
	var upstreams []Upstream
	for _, u := range l.Upstreams {
		if u.Role == role && u.DataCentre == dataCentre {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// LastUpstreams is the last engine and the last instance of the service.
func (l Layout) LastUpstreams() []Upstream {
	var last []Upstream
	for i, u := range l.Upstreams {
		if i+1 == len(l.Upstreams) || l.Upstreams[i+1].Role != u.Role {
			last = append(last, u)
		}
	}
	return last
}
