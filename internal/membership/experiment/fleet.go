package experiment

import (
	"fmt"
	"time"

	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// firstIncarnation is the incarnation of hosts that start at virtual time 0, in
// milliseconds. Hosts that start later have a higher one.
const firstIncarnation = 1_764_800_000_000

// Fleet is a set of hosts on a simulated network, spread evenly over data
// centres.
type Fleet struct {
	*Network
	// HostList is the platform's list of hosts. It contains every host of the
	// fleet, running or not, but not those that Replace has removed.
	HostList membership.HostsListed

	// baseConfig applies to every host, except for Self and Seed.
	baseConfig membership.Config
	// replacedCount is the number of hosts replaced so far, for their new names.
	replacedCount int
}

// NewFleet starts the given number of hosts, spread evenly over data centres,
// and adds all of them to the platform's list. The base configuration applies
// to every host, except for Self and Seed.
func NewFleet(hosts, dataCentres int, baseConfig membership.Config, seed uint64) (*Fleet, error) {
	f := &Fleet{Network: NewNetwork(seed), baseConfig: baseConfig}
	for i := range hosts {
		f.HostList.Hosts = append(f.HostList.Hosts, listedHost(i, dataCentres))
	}
	for i := range hosts {
		if _, err := f.Start(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// listedHost returns the entry of the platform's list for the host with the given
// index.
func listedHost(i, dataCentres int) membership.ListedHost {
	return membership.ListedHost{
		Name:       fmt.Sprintf("host-%03d", i),
		DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres),
		Address:    fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
	}
}

// Start starts the host at the given index of the platform's list. A process of
// the host that is still running is replaced.
func (f *Fleet) Start(i int) (*Node, error) {
	l := f.HostList.Hosts[i]
	cfg := f.baseConfig
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
	f.Step(node, f.HostList)
	return node, nil
}

// Replace stops a host and starts another one with a new name and address in
// the same data centre. It changes the platform's list accordingly, but the
// running hosts get the new list only from PublishHostList.
func (f *Fleet) Replace(i int) (*Node, error) {
	old := f.HostList.Hosts[i]
	f.nodesByAddress[old.Address].Down = true
	f.replacedCount++
	f.HostList.Hosts = append([]membership.ListedHost(nil), f.HostList.Hosts...)
	f.HostList.Hosts[i] = membership.ListedHost{
		Name:       fmt.Sprintf("%s-%d", old.Name, f.replacedCount),
		DataCentre: old.DataCentre,
		Address:    fmt.Sprintf("127.1.%d.%d:7000", f.replacedCount/250, f.replacedCount%250+1),
	}
	return f.Start(i)
}

// PublishHostList passes the platform's list to every running host.
func (f *Fleet) PublishHostList() {
	for _, node := range f.Running() {
		f.Step(node, f.HostList)
	}
}

// Running returns the nodes whose process has not ended, paused ones included.
func (f *Fleet) Running() []*Node {
	var running []*Node
	for _, node := range f.Nodes() {
		if !node.Down {
			running = append(running, node)
		}
	}
	return running
}

// ViewsAgree reports whether every running node sees exactly the running nodes
// as alive and every other node that it knows as dead.
func (f *Fleet) ViewsAgree() bool {
	running := f.runningIncarnations("")
	for _, node := range f.Running() {
		if !viewMatches(node, running, "") {
			return false
		}
	}
	return true
}

// ViewsAgreeWithinDataCentres reports the same as ViewsAgree, but each node is
// checked only for its view of the nodes in its own data centre.
func (f *Fleet) ViewsAgreeWithinDataCentres() bool {
	running := make(map[string]map[string]uint64)
	for _, node := range f.Running() {
		dataCentre := node.Host.DataCentre
		if running[dataCentre] == nil {
			running[dataCentre] = f.runningIncarnations(dataCentre)
		}
		if !viewMatches(node, running[dataCentre], dataCentre) {
			return false
		}
	}
	return true
}

// runningIncarnations returns the incarnations of the running nodes of a data
// centre by host name. An empty data centre stands for all.
func (f *Fleet) runningIncarnations(dataCentre string) map[string]uint64 {
	incarnations := make(map[string]uint64)
	for _, node := range f.Running() {
		if dataCentre == "" || node.Host.DataCentre == dataCentre {
			incarnations[node.Host.Name] = node.Core.Self().Incarnation
		}
	}
	return incarnations
}

// viewMatches reports whether a node sees exactly the hosts with the given
// incarnations as alive, itself included, and the others as dead. If a data
// centre is given, members of other ones are ignored.
func viewMatches(node *Node, incarnations map[string]uint64, dataCentre string) bool {
	alive := 1
	for _, m := range node.Core.Members() {
		switch {
		case m.State == wire.Dead || (dataCentre != "" && m.DataCentre != dataCentre):
		case m.State != wire.Alive || incarnations[m.Host] != m.Incarnation:
			return false
		default:
			alive++
		}
	}
	return alive == len(incarnations)
}

// CountObservers counts the running nodes, without the host itself, that see the
// host in a state that satisfies the condition. It also returns the total number
// of these nodes. If a data centre is given, nodes of other ones are left out.
func (f *Fleet) CountObservers(host, dataCentre string, condition func(wire.State) bool) (matching, total int) {
	for _, node := range f.Running() {
		if node.Host.Name == host || (dataCentre != "" && node.Host.DataCentre != dataCentre) {
			continue
		}
		total++
		if condition(stateSeenBy(node, host)) {
			matching++
		}
	}
	return matching, total
}

// stateSeenBy returns the state in which a node sees a host. A host that the
// node does not know counts as dead.
func stateSeenBy(node *Node, host string) wire.State {
	for _, m := range node.Core.Members() {
		if m.Host == host {
			return m.State
		}
	}
	return wire.Dead
}
