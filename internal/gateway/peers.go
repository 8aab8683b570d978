package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/peer"
	"github.com/chestnutline/chestnutline/internal/wire"
	"github.com/chestnutline/chestnutline/platform"
)

// hostsKind is the kind of the objects by which hosts find each other.
const hostsKind = "chestnut-hosts"

// topicWork marks messages on the work in flight.
const topicWork wire.Topic = 128

// hostSpec is what a host registers about itself.
type hostSpec struct {
	// Address is where it listens for other hosts.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Power is its share of a processor.
	Power float64 `json:"power"`
	// Boot tells the runs of its process apart.
	Boot uint64 `json:"boot"`
}

// message is what one host sends to another.
type message struct {
	Stage stage
	// Seen are the newest revisions of the store's kinds that the sender knows of.
	Seen  []uint64
	Items []item
	// Feeds are answers of the store that the sender passes on.
	Feeds []feed
}

// peers are the other hosts and the messages to and from them.
type peers struct {
	self      member
	transport *peer.Transport
	clock     clock.Clock
	logger    log.Interface
	post      func(balance.Event)
	// seen are the revisions of the store's objects known here, in the order
	// that all hosts agree on; heard takes those of another host.
	seen  func() []uint64
	heard func([]uint64)
	// fed takes over answers of the store that another host passes on.
	fed func(feed)

	mu      sync.Mutex
	members map[string]member
	relays  *relays
	// removed is signalled when this host's own entry was taken out of the store.
	removed chan struct{}
	// registered says that this host has entered itself.
	registered atomic.Bool
	// followed is when a host that goes before this one last passed an answer
	// of the store on; 0 if none did.
	followed time.Duration
	batch    batch
	// collected is signalled when a batch has begun.
	collected chan struct{}
}

func newPeers(self member, c clock.Clock, logger log.Interface, post func(balance.Event)) (*peers, error) {
	p := &peers{
		self: self, clock: c, logger: logger, post: post,
		members: make(map[string]member), relays: newRelays(), collected: make(chan struct{}, 1),
		removed: make(chan struct{}, 1),
	}
	transport, err := peer.New(peer.DefaultConfig(self.address), nil, p.receive, logger)
	p.transport = transport
	return p, err
}

// listed takes over all registered hosts.
func (p *peers) listed(objects []platform.Object) {
	p.mu.Lock()
	p.members = make(map[string]member, len(objects))
	p.mu.Unlock()
	entered := slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == p.self.name })
	if !entered && p.registered.Load() {
		p.noteRemoved()
	}
	p.changed(objects)
}

// changed takes over registrations of hosts.
func (p *peers) changed(objects []platform.Object) {
	others := p.takeOver(objects)
	// The control thread may be waiting for the lock in order to tell news.
	p.post(balance.PeersChanged{OtherHosts: others, ReportDelay: newsDelay(others)})
}

// takeOver enters registrations of hosts and returns how many others there are.
func (p *peers) takeOver(objects []platform.Object) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		if o.Deleted && o.Name == p.self.name {
			p.noteRemoved()
		}
		if o.Deleted || o.Name == p.self.name {
			delete(p.members, o.Name)
			continue
		}
		var spec hostSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			logevent.RegistrationUnreadable.Emit(p.logger, log.Fields{"name": o.Name, "revision": o.Revision, "error": err.Error()})
			continue
		}
		p.members[o.Name] = member{
			name: o.Name, address: spec.Address, dataCentre: spec.DataCentre, power: spec.Power,
			revision: o.Revision, heard: max(p.clock.Now(), p.members[o.Name].heard),
		}
	}
	all := []member{p.self}
	for _, m := range p.members {
		all = append(all, m)
	}
	p.relays.set(all)
	p.expectFeeds()
	return len(p.members)
}

// noteRemoved has this host enter itself again.
func (p *peers) noteRemoved() {
	select {
	case p.removed <- struct{}{}:
	default:
	}
}

// silent are the hosts of this data centre of which nothing was heard for a
// time; none unless this host goes before all that were heard.
func (p *peers) silent(since time.Duration) []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var gone []member
	first := false
	for _, m := range p.relays.members[p.self.dataCentre] {
		if m.name == p.self.name {
			first = true
			continue
		}
		known := p.members[m.name]
		lives := now-known.heard < since
		if lives && !first {
			return nil
		}
		if !lives {
			gone = append(gone, known)
		}
	}
	return gone
}

// tell sends this host's news to all others, itself or through a relay.
func (p *peers) tell(m balance.WorkReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := []item{{Host: p.self.name, Told: m}}
	if len(p.members) < directHosts {
		p.sendMembers("", message{Stage: toMembers, Items: items})
		return
	}
	p.sendRelay(p.self.dataCentre, message{Stage: fromOrigin, Items: items})
}

// sendMembers sends to all hosts of a data centre; empty means all.
func (p *peers) sendMembers(dataCentre string, m message) {
	body, ok := p.encode(m)
	if !ok {
		return
	}
	for _, to := range p.members {
		if dataCentre == "" || to.dataCentre == dataCentre {
			p.transport.Send(to.address, wire.TopicMessage{Host: p.self.name, Topic: topicWork, Body: body})
		}
	}
}

// sendRelay sends to the relay of a data centre, which may be this host.
func (p *peers) sendRelay(dataCentre string, m message) {
	now := p.clock.Now()
	to, ok := p.relays.choose(dataCentre, now)
	if !ok {
		return
	}
	if to.name == p.self.name {
		p.collect(m)
		return
	}
	body, ok := p.encode(m)
	if !ok {
		return
	}
	p.transport.Send(to.address, wire.TopicMessage{Host: p.self.name, Topic: topicWork, Body: body})
	p.relays.note(to.address, p.transport.Connected(to.address), now)
}

// collect adds a message to what this host passes on as a relay.
func (p *peers) collect(m message) {
	p.batch.add(m.Items, m.Stage)
	select {
	case p.collected <- struct{}{}:
	default:
	}
}

// relay passes on what was collected until the context ends.
func (p *peers) relay(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.collected:
		}
		if !pause(ctx, relayInterval) {
			return nil
		}
		p.passOn()
	}
}

func (p *peers) passOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batch.empty() {
		return
	}
	b := p.batch
	p.batch = batch{}
	p.sendMembers(p.self.dataCentre, message{Stage: toMembers, Items: b.members})
	if len(b.relays) == 0 {
		return
	}
	for dataCentre := range p.relays.members {
		if dataCentre != p.self.dataCentre {
			p.sendRelay(dataCentre, message{Stage: betweenRelays, Items: b.relays})
		}
	}
}

func (p *peers) receive(from string, received wire.Message) {
	carried, ok := received.(wire.TopicMessage)
	if !ok || carried.Topic != topicWork {
		logevent.PeerRefused.Emit(p.logger, log.Fields{"remote": from, "error": "unexpected message"})
		return
	}
	m, err := decode(carried.Body)
	if err != nil {
		logevent.PeerRefused.Emit(p.logger, log.Fields{"remote": from, "error": err.Error()})
		return
	}
	p.heard(m.Seen)
	p.note(carried.Host, m)
	for _, f := range m.Feeds {
		p.fed(f)
	}
	for _, i := range m.Items {
		if i.Host != p.self.name {
			p.post(balance.ReportReceived{Host: i.Host, Report: i.Told})
		}
	}
	if m.Stage != toMembers {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.collect(m)
	}
}

// note notes whom a message shows to live, and whether its sender watches the
// store for this host.
func (p *peers) note(sender string, received message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, i := range received.Items {
		if m, known := p.members[i.Host]; known {
			m.heard = now
			p.members[i.Host] = m
		}
	}
	if len(received.Feeds) == 0 {
		return
	}
	rank := p.relays.rank(p.self.dataCentre, sender)
	if rank < relayCandidates && rank < p.relays.rank(p.self.dataCentre, p.self.name) {
		p.followed = now
	}
}

func (p *peers) encode(m message) ([]byte, bool) {
	m.Seen = p.seen()
	body, err := encode(m)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
		return nil, false
	}
	return body, true
}

func encode(m message) ([]byte, error) {
	// Structs go as arrays, which need no field names.
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(&m)
	if err == nil && out.Len() > wire.MaxBodyBytes {
		err = errors.Errorf("%d bytes, at most %d can be sent", out.Len(), wire.MaxBodyBytes)
	}
	return out.Bytes(), errors.Wrap(err, "encode work")
}

func decode(body []byte) (message, error) {
	var m message
	err := msgpack.Unmarshal(body, &m)
	return m, errors.Wrap(err, "decode work")
}
