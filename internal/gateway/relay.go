package gateway

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/platform"
)

const (
	// maxDirectHosts is the number of hosts up to which each host sends its
	// messages to all others itself. In a larger fleet, messages go through one
	// relay in each data centre, so that their number grows with the number of
	// hosts and not with its square.
	maxDirectHosts = 16
	// relayInterval is how long a relay collects reports before it sends them
	// on. Hosts that place requests in the meantime do not know of each other's
	// placements and choose the same servers, so the interval is far below the
	// time between two long prompts.
	relayInterval = 8 * time.Millisecond
	// relayCandidates is the number of hosts of a data centre that may become
	// its relay.
	relayCandidates = 3
	// relayConnectTimeout is the time within which a relay must be connected.
	// relayAvoidTime is how long a relay that was not connected in time is
	// avoided.
	relayConnectTimeout = 400 * time.Millisecond
	relayAvoidTime      = 5 * time.Second
)

const (
	// directDelay is how long a message between two hosts takes: the network
	// path between data centres, and the turns of two control threads, one of
	// which sends the message and one of which handles it.
	directDelay = 8 * time.Millisecond
	// relayedDelay adds the time for which two relays collect reports.
	relayedDelay = directDelay + 2*relayInterval
)

// reportDelay returns how long a report of another host takes to arrive, for
// the given number of other hosts.
func reportDelay(others int) time.Duration {
	if others < maxDirectHosts {
		return directDelay
	}
	return relayedDelay
}

// stage is the part of its path that a message is on. The numbers are sent to
// other hosts.
type stage int

// Stages of a message.
const (
	// fromOrigin messages go from the host whose work they report to the relay
	// of its data centre.
	fromOrigin stage = iota
	// betweenRelays messages go from the relay of one data centre to that of
	// another.
	betweenRelays
	// toMembers messages go to the hosts that use the reports: from a relay to
	// the hosts of its data centre, or directly to all hosts of a small fleet.
	toMembers
)

// member is a host as it is registered in the store.
type member struct {
	name       string
	address    string
	dataCentre string
	// processorShare is the part of a processor that the host may use; the
	// hosts with the largest shares become relays.
	processorShare float64
	// forwardAddress is where the host takes requests that others pass on; empty if it
	// takes none.
	forwardAddress string
	// revision is the revision of the host's entry in the store, and
	// lastReceived is when a message last showed that the host is alive.
	revision     platform.Revision
	lastReceived time.Duration
}

// relaySelector chooses the relay of each data centre.
type relaySelector struct {
	// members holds all hosts, this one included, by data centre and in the
	// order in which they are chosen; setHosts defines that order.
	members map[string][]member
	// unconnectedSince holds when a relay was first found unconnected,
	// avoidedUntil until when a relay is avoided; both by address.
	unconnectedSince map[string]time.Duration
	avoidedUntil     map[string]time.Duration
}

// newRelaySelector returns a relaySelector without hosts.
func newRelaySelector() *relaySelector {
	return &relaySelector{members: make(map[string][]member), unconnectedSince: make(map[string]time.Duration), avoidedUntil: make(map[string]time.Duration)}
}

// setHosts replaces the hosts. Those with the largest processor share come
// first, and the name decides between equal ones.
func (r *relaySelector) setHosts(all []member) {
	r.members = make(map[string][]member)
	for _, m := range all {
		r.members[m.dataCentre] = append(r.members[m.dataCentre], m)
	}
	for _, list := range r.members {
		sort.Slice(list, func(i, j int) bool {
			if list[i].processorShare != list[j].processorShare {
				return list[i].processorShare > list[j].processorShare
			}
			return list[i].name < list[j].name
		})
	}
}

// choose returns the relay of a data centre: the first of the candidates that
// is not avoided, or the first candidate if all are. All hosts choose the
// same relay while they know the same members. It returns false if the data
// centre has no hosts.
func (r *relaySelector) choose(dataCentre string, now time.Duration) (member, bool) {
	list := r.candidates(dataCentre)
	for _, m := range list {
		if now >= r.avoidedUntil[m.address] {
			return m, true
		}
	}
	if len(list) == 0 {
		return member{}, false
	}
	return list[0], true
}

// candidates returns the hosts of a data centre that may become its relay, in the order in
// which they are chosen.
func (r *relaySelector) candidates(dataCentre string) []member {
	list := r.members[dataCentre]
	return list[:min(relayCandidates, len(list))]
}

// avoid keeps messages away from a relay for relayAvoidTime.
func (r *relaySelector) avoid(address string, now time.Duration) {
	r.avoidedUntil[address] = now + relayAvoidTime
	delete(r.unconnectedSince, address)
}

// rank returns a host's position in the order in which the hosts of its data
// centre are chosen. A host that is not known comes after all others.
func (r *relaySelector) rank(dataCentre, host string) int {
	list := r.members[dataCentre]
	for i, m := range list {
		if m.name == host {
			return i
		}
	}
	return len(list)
}

// recordConnection records whether a relay that a message was sent to is
// connected. The relay is avoided for relayAvoidTime if it has not been
// connected for more than relayConnectTimeout.
func (r *relaySelector) recordConnection(address string, connected bool, now time.Duration) {
	if connected {
		delete(r.unconnectedSince, address)
		return
	}
	since, known := r.unconnectedSince[address]
	if !known {
		r.unconnectedSince[address] = now
		return
	}
	if now-since > relayConnectTimeout {
		r.avoid(address, now)
	}
}

// hostReport is one host's work report on its way to other hosts.
type hostReport struct {
	Host   string
	Report balance.WorkReport
}

// batch holds the reports that a relay has collected.
type batch struct {
	// forMembers holds the reports for the hosts of the relay's own data
	// centre. forRelays holds those for the relays of the other data centres,
	// which get only the reports that come from its own.
	forMembers, forRelays []hostReport
}

// add adds reports that arrived in a message of the given stage.
func (b *batch) add(reports []hostReport, s stage) {
	b.forMembers = append(b.forMembers, reports...)
	if s == fromOrigin {
		b.forRelays = append(b.forRelays, reports...)
	}
}

// empty reports whether there is nothing to send.
func (b *batch) empty() bool { return len(b.forMembers) == 0 }
