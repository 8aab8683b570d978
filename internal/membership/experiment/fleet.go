package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// firstIncarnation is the incarnation of the hosts that start first.
const firstIncarnation = 1_764_800_000_000

// Fleet is a set of hosts on a network, spread evenly over data centres.
type Fleet struct {
	*Network
	// Listing is the platform's list, which holds all hosts ever added.
	Listing membership.HostsListed

	base     membership.Config
	replaced int
}

// NewFleet starts hosts in data centres. The platform's list holds them all.
func NewFleet(hosts, dataCentres int, base membership.Config, seed uint64) (*Fleet, error) {
	f := &Fleet{Network: NewNetwork(seed), base: base}
	for i := range hosts {
		f.Listing.Hosts = append(f.Listing.Hosts, listed(i, dataCentres))
	}
	for i := range hosts {
		if _, err := f.Start(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func listed(i, dataCentres int) membership.ListedHost {
	return membership.ListedHost{
		Name:       fmt.Sprintf("host-%03d", i),
		DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres),
		Address:    fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
	}
}

// Start starts the listed host with the index, or starts it again.
func (f *Fleet) Start(i int) (*Node, error) {
	l := f.Listing.Hosts[i]
	cfg := f.base
	cfg.Self = membership.Host{
		Name:        l.Name,
		DataCentre:  l.DataCentre,
		Address:     l.Address,
		Incarnation: firstIncarnation + uint64(f.Now()/time.Millisecond),
	}
	cfg.Seed = uint64(i) + 1
	node, err := f.Add(cfg)
	if err != nil {
		return nil, err
	}
	f.Step(node, f.Listing)
	return node, nil
}

// Replace ends a host and starts another one, with a name and address of its
// own, in the same data centre. The platform's list is changed, but no host
// is told of it.
func (f *Fleet) Replace(i int) (*Node, error) {
	old := f.Listing.Hosts[i]
	f.byAddr[old.Address].Down = true
	f.replaced++
	f.Listing.Hosts = append([]membership.ListedHost(nil), f.Listing.Hosts...)
	f.Listing.Hosts[i] = membership.ListedHost{
		Name:       fmt.Sprintf("%s-%d", old.Name, f.replaced),
		DataCentre: old.DataCentre,
		Address:    fmt.Sprintf("127.1.%d.%d:7000", f.replaced/250, f.replaced%250+1),
	}
	return f.Start(i)
}

// Publish tells the platform's list to every running host.
func (f *Fleet) Publish() {
	for _, node := range f.Running() {
		f.Step(node, f.Listing)
	}
}

// Running returns the nodes that run.
func (f *Fleet) Running() []*Node {
	var up []*Node
	for _, node := range f.Nodes() {
		if !node.Down {
			up = append(up, node)
		}
	}
	return up
}

// Agree tells whether every running node shows exactly the running nodes as
// alive and knows no other that is not dead.
func (f *Fleet) Agree() bool {
	running := f.running("")
	for _, node := range f.Running() {
		if !agrees(node, running, "") {
			return false
		}
	}
	return true
}

// AgreeInside is Agree for the nodes of each data centre among themselves.
func (f *Fleet) AgreeInside() bool {
	running := make(map[string]map[string]uint64)
	for _, node := range f.Running() {
		site := node.Host.DataCentre
		if running[site] == nil {
			running[site] = f.running(site)
		}
		if !agrees(node, running[site], site) {
			return false
		}
	}
	return true
}

// running returns the incarnations of the running nodes of a data centre, or
// of all.
func (f *Fleet) running(site string) map[string]uint64 {
	running := make(map[string]uint64)
	for _, node := range f.Running() {
		if site == "" || node.Host.DataCentre == site {
			running[node.Host.Name] = node.Core.Self().Incarnation
		}
	}
	return running
}

func agrees(node *Node, running map[string]uint64, site string) bool {
	alive := 1
	for _, m := range node.Core.Members() {
		switch {
		case m.State == wire.Dead || (site != "" && m.DataCentre != site):
		case m.State != wire.Alive || running[m.Host] != m.Incarnation:
			return false
		default:
			alive++
		}
	}
	return alive == len(running)
}

// CountObservers returns how many running nodes satisfy the condition on what they
// believe of a host, and how many there are.
func (f *Fleet) CountObservers(host, dataCentre string, condition func(wire.State) bool) (holds, all int) {
	for _, node := range f.Running() {
		if node.Host.Name == host || (dataCentre != "" && node.Host.DataCentre != dataCentre) {
			continue
		}
		all++
		if condition(believed(node, host)) {
			holds++
		}
	}
	return holds, all
}

// believed returns a node's state for a host; one it does not know counts as dead.
func believed(node *Node, host string) wire.State {
	for _, m := range node.Core.Members() {
		if m.Host == host {
			return m.State
		}
	}
	return wire.Dead
}
