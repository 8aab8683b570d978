package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Topics of the messages between a coordinator and the other hosts of its data centre.
// Hosts of an earlier release refuse them; a host whose question is not answered chooses
// servers itself.
const (
	topicPlacementQuery  wire.Topic = 135
	topicPlacementAnswer wire.Topic = 136
	topicHostsAlive      wire.Topic = 137
)

const (
	// minCoordinatedHosts is the number of other hosts from which on coordinators choose
	// the servers of all requests. With fewer, all hosts can hear of all work in time.
	minCoordinatedHosts = 128
	// aliveInterval is the time between two messages of a coordinator that list the hosts
	// whose reports it receives. It is below the time within which news of the store must
	// have spread, since these messages also carry the revisions that are known.
	aliveInterval = 500 * time.Millisecond
	// aliveMemory is the time since its last report for which a host is listed. Each host
	// reports all its work once a second.
	aliveMemory = 1500 * time.Millisecond
	// maxNewcomers is the largest number of hosts that are answered although they are
	// not registered yet.
	maxNewcomers = 512
)

// placementAnswerMessage is a coordinator's answer, with the revisions that it knows of;
// see encodeRevisions. It is encoded under the names of its fields, like the other
// messages of this file.
type placementAnswerMessage struct {
	KnownRevisions []uint64
	Answer         balance.PlacementAnswer
}

// hostsAliveMessage lists hosts whose reports the sender receives.
type hostsAliveMessage struct {
	KnownRevisions []uint64
	Hosts          []string
}

// coordinated reports whether coordinators choose the servers of all requests. The caller
// holds mu.
func (p *peers) coordinated() bool { return len(p.members) >= minCoordinatedHosts }

// coordinators returns the hosts of this data centre that may coordinate it, in order of
// preference, and the number of data centres with coordinators; none in a fleet without.
// They are the hosts that may be the relay, since they hear of all work. The caller holds
// mu.
func (p *peers) coordinators() (hosts []string, dataCentres int) {
	if !p.coordinated() {
		return nil, 0
	}
	for _, m := range p.relays.candidates(p.self.dataCentre) {
		hosts = append(hosts, m.name)
	}
	return hosts, len(p.relays.members)
}

// choosingHosts returns the names of all hosts that choose servers: the first coordinator of
// each data centre, and apart from them the others that may coordinate; or all hosts in a
// fleet without coordinators. The caller holds mu.
func (p *peers) choosingHosts() (choosing, standby []string) {
	for dataCentre, list := range p.relays.members {
		if p.coordinated() {
			list = p.relays.candidates(dataCentre)
		}
		for i, m := range list {
			if i > 0 && p.coordinated() {
				standby = append(standby, m.name)
			} else {
				choosing = append(choosing, m.name)
			}
		}
	}
	slices.Sort(choosing)
	slices.Sort(standby)
	return choosing, standby
}

// sendToInformed sends reports to the hosts of this data centre that choose servers: all
// of them, or those that may coordinate it. The caller holds mu.
func (p *peers) sendToInformed(m message) {
	if !p.coordinated() {
		p.sendToMembers(p.self.dataCentre, m)
		return
	}
	carrier, ok := p.encodeMessage(m)
	if !ok {
		return
	}
	for _, to := range p.relays.candidates(p.self.dataCentre) {
		if to.name != p.self.name {
			p.transport.Send(to.address, carrier)
		}
	}
}

// queryPlacement sends a question to a coordinator.
func (p *peers) queryPlacement(e balance.QueryPlacement) {
	p.sendToHost(e.Host, topicPlacementQuery, e.Query)
}

// answerPlacement sends an answer to the host that asked.
func (p *peers) answerPlacement(e balance.AnswerPlacement) {
	p.sendToHost(e.Host, topicPlacementAnswer, placementAnswerMessage{KnownRevisions: encodeRevisions(p.knownRevisions()), Answer: e.Answer})
}

// sendToHost sends one host a message, unless its address is not known.
func (p *peers) sendToHost(host string, topic wire.Topic, content any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.newcomers[host]
	if m, known := p.members[host]; known {
		address = m.address
	}
	if address == "" {
		return
	}
	if carrier, ok := p.encodeContent(topic, content); ok {
		p.transport.Send(address, carrier)
	}
}

// recordNewcomer remembers where a host listens that asks this one before its
// registration is known here, which takes some seconds in a large fleet.
func (p *peers) recordNewcomer(host, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.members[host]; !known && len(p.newcomers) < maxNewcomers {
		p.newcomers[host] = address
	}
}

// encodeContent encodes a message under the names of its fields. It returns false, and
// logs the reason, if that fails.
func (p *peers) encodeContent(topic wire.Topic, content any) (wire.TopicMessage, bool) {
	body, err := msgpack.Marshal(content)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
	}
	return wire.TopicMessage{Host: p.self.name, Topic: topic, Body: body}, err == nil
}

// avoidCoordinator makes reports take another way than through a coordinator that does
// not answer.
func (p *peers) avoidCoordinator(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, known := p.members[host]; known {
		p.relays.avoid(m.address, p.clock.Now())
	}
}

// runAlive tells the hosts of this data centre, while this host is their relay and they do
// not hear of all work, which hosts are alive, until the context ends.
func (p *peers) runAlive(ctx context.Context) error {
	for sleep(ctx, aliveInterval) {
		p.sendAlive()
	}
	return nil
}

// sendAlive sends one list of the hosts that are alive, if that is for this host to do.
func (p *peers) sendAlive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if relay, ok := p.relays.choose(p.self.dataCentre, now); !p.coordinated() || !ok || relay.name != p.self.name {
		return
	}
	m := hostsAliveMessage{KnownRevisions: encodeRevisions(p.knownRevisions()), Hosts: []string{p.self.name}}
	for _, other := range p.members {
		if now-other.lastReceived < aliveMemory {
			m.Hosts = append(m.Hosts, other.name)
		}
	}
	carrier, ok := p.encodeContent(topicHostsAlive, m)
	for _, to := range p.members {
		if ok && to.dataCentre == p.self.dataCentre {
			p.transport.Send(to.address, carrier)
		}
	}
}

// receivePlacementQuery posts the question of another host.
func (p *peers) receivePlacementQuery(remote string, carrier wire.TopicMessage) error {
	var query balance.PlacementQuery
	if err := msgpack.Unmarshal(carrier.Body, &query); err != nil {
		return errors.Wrap(err, "decode a placement query")
	}
	if err := query.Check(); err != nil {
		return err
	}
	p.recordNewcomer(carrier.Host, remote)
	p.post(balance.PlacementQueried{Host: carrier.Host, Query: query})
	return nil
}

// receivePlacementAnswer posts the answer of a coordinator.
func (p *peers) receivePlacementAnswer(carrier wire.TopicMessage) error {
	var m placementAnswerMessage
	if err := msgpack.Unmarshal(carrier.Body, &m); err != nil {
		return errors.Wrap(err, "decode a placement answer")
	}
	if err := m.Answer.Check(); err != nil {
		return err
	}
	p.recordKnownRevisions(m.KnownRevisions)
	p.post(balance.PlacementAnswered{Host: carrier.Host, Answer: m.Answer})
	return nil
}

// receiveHostsAlive records which hosts are alive.
func (p *peers) receiveHostsAlive(carrier wire.TopicMessage) error {
	var m hostsAliveMessage
	if err := msgpack.Unmarshal(carrier.Body, &m); err != nil {
		return errors.Wrap(err, "decode the hosts that are alive")
	}
	p.recordKnownRevisions(m.KnownRevisions)
	p.post(balance.HostsAlive{Hosts: p.recordAlive(m.Hosts)})
	return nil
}

// recordAlive records that hosts are alive, and returns those that are registered.
func (p *peers) recordAlive(hosts []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var registered []string
	for _, host := range hosts {
		if other, known := p.members[host]; known {
			other.lastReceived = now
			p.members[host] = other
			registered = append(registered, host)
		}
	}
	return registered
}

// recordKnownRevisions records the revisions of the store that another host knows of.
func (p *peers) recordKnownRevisions(encoded []uint64) {
	revisions, _ := decodeRevisions(encoded, len(p.knownRevisions()))
	p.recordRevisions(revisions)
}
