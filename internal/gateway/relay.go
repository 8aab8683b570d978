package gateway

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/balance"
)

const (
	// directHosts is the number of hosts up to which each tells all others
	// itself. Beyond it messages go through a relay in each data centre, so
	// that their number grows with the hosts and not with their square.
	directHosts = 16
	// relayInterval is how long a relay collects before it passes on. Hosts that
	// decide meanwhile choose the same servers, so it is far below the time
	// between two long prompts.
	relayInterval = 8 * time.Millisecond
	// relayCandidates is how many hosts of a data centre may be its relay.
	relayCandidates = 3
	// relayPatience is how long a relay may take to be connected, relayAvoid how
	// long one that was not is passed over.
	relayPatience = 400 * time.Millisecond
	relayAvoid    = 5 * time.Second
)

const (
	// directDelay is how long a message between two hosts takes: the way
	// between data centres and the turns of two control threads.
	directDelay = 8 * time.Millisecond
	// relayedDelay adds two relays that collect.
	relayedDelay = directDelay + 2*relayInterval
)

// newsDelay is how long news of the other hosts take.
func newsDelay(others int) time.Duration {
	if others < directHosts {
		return directDelay
	}
	return relayedDelay
}

// stage says how far a message has come.
type stage int

// Stages of a message.
const (
	// fromOrigin messages come from the host whose work they tell.
	fromOrigin stage = iota
	// betweenRelays messages go from the relay of one data centre to another.
	betweenRelays
	// toMembers messages go from a relay to the hosts of its data centre.
	toMembers
)

// member is another host as registered.
type member struct {
	name       string
	address    string
	dataCentre string
	// power is the host's share of a processor; relays are the strong ones.
	power float64
	// revision is that of its entry in the store, heard when it was last heard of.
	revision uint64
	heard    time.Duration
}

// relays chooses the relay of each data centre.
type relays struct {
	// members are all hosts, this one included, by data centre.
	members map[string][]member
	// tried is when a relay was first found unconnected, avoided until when one
	// is passed over; both by address.
	tried   map[string]time.Duration
	avoided map[string]time.Duration
}

func newRelays() *relays {
	return &relays{members: make(map[string][]member), tried: make(map[string]time.Duration), avoided: make(map[string]time.Duration)}
}

// set takes over all hosts.
func (r *relays) set(all []member) {
	r.members = make(map[string][]member)
	for _, m := range all {
		r.members[m.dataCentre] = append(r.members[m.dataCentre], m)
	}
	for _, list := range r.members {
		sort.Slice(list, func(i, j int) bool {
			if list[i].power != list[j].power {
				return list[i].power > list[j].power
			}
			return list[i].name < list[j].name
		})
	}
}

// choose returns the data centre's relay: the strongest host that is not
// passed over. All hosts choose alike while they see the same.
func (r *relays) choose(dataCentre string, now time.Duration) (member, bool) {
	list := r.members[dataCentre]
	for _, m := range list[:min(relayCandidates, len(list))] {
		if now >= r.avoided[m.address] {
			return m, true
		}
	}
	if len(list) == 0 {
		return member{}, false
	}
	return list[0], true
}

// rank is a host's place in the order in which those of its data centre are
// chosen; after all others for one that is not known.
func (r *relays) rank(dataCentre, host string) int {
	list := r.members[dataCentre]
	for i, m := range list {
		if m.name == host {
			return i
		}
	}
	return len(list)
}

// note takes down whether a relay that was sent to is connected.
func (r *relays) note(address string, connected bool, now time.Duration) {
	if connected {
		delete(r.tried, address)
		return
	}
	since, known := r.tried[address]
	if !known {
		r.tried[address] = now
		return
	}
	if now-since > relayPatience {
		r.avoided[address] = now + relayAvoid
		delete(r.tried, address)
	}
}

// item is one host's news on its way.
type item struct {
	Host string
	Told balance.WorkReport
}

// batch is what a relay has collected.
type batch struct {
	// members is for the hosts of its own data centre, relays for the relays
	// of the others: only what comes from its own.
	members, relays []item
}

func (b *batch) add(items []item, s stage) {
	b.members = append(b.members, items...)
	if s == fromOrigin {
		b.relays = append(b.relays, items...)
	}
}

func (b *batch) empty() bool { return len(b.members) == 0 }
