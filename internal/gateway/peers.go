package gateway

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
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
	Address string `json:"address"`
	// Boot tells the runs of its process apart.
	Boot uint64 `json:"boot"`
}

// peers are the other hosts and the messages to and from them.
type peers struct {
	self      string
	transport *peer.Transport
	logger    log.Interface
	post      func(balance.Event)

	// seen are the revisions of the store's objects seen here, in the order
	// that all hosts agree on; heard takes those of another host.
	seen  func() []uint64
	heard func([]uint64)

	mu        sync.Mutex
	addresses map[string]string
}

// message is what one host sends to the others.
type message struct {
	Seen []uint64
	Work balance.Told
}

// count is the number of other hosts.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.addresses)
}

func newPeers(self, address string, logger log.Interface, post func(balance.Event)) (*peers, error) {
	p := &peers{self: self, logger: logger, post: post, addresses: make(map[string]string)}
	transport, err := peer.New(peer.DefaultConfig(address), nil, p.receive, logger)
	p.transport = transport
	return p, err
}

// listed takes over all registered hosts.
func (p *peers) listed(objects []platform.Object) {
	p.mu.Lock()
	p.addresses = make(map[string]string, len(objects))
	p.mu.Unlock()
	p.changed(objects)
}

// changed takes over registrations of hosts.
func (p *peers) changed(objects []platform.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		if o.Deleted || o.Name == p.self {
			delete(p.addresses, o.Name)
			continue
		}
		var spec hostSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			logevent.RegistrationUnreadable.Emit(p.logger, log.Fields{"name": o.Name, "revision": o.Revision, "error": err.Error()})
			continue
		}
		p.addresses[o.Name] = spec.Address
	}
	p.post(balance.PeersChanged{Others: len(p.addresses)})
}

// tell sends a message to all other hosts.
func (p *peers) tell(m balance.Told) {
	body, err := encode(message{Seen: p.seen(), Work: m})
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.addresses {
		p.transport.Send(address, wire.Carried{Host: p.self, Topic: topicWork, Body: body})
	}
}

func (p *peers) receive(from string, received wire.Message) {
	carried, ok := received.(wire.Carried)
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
	p.post(balance.PeerWork{Host: carried.Host, Message: m.Work})
}

func encode(m message) ([]byte, error) {
	// Structs go as arrays, which need no field names.
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(&m)
	body := out.Bytes()
	if err == nil && len(body) > wire.MaxBodyBytes {
		err = errors.Errorf("%d bytes, at most %d can be sent", len(body), wire.MaxBodyBytes)
	}
	return body, errors.Wrap(err, "encode work")
}

func decode(body []byte) (message, error) {
	var m message
	err := msgpack.Unmarshal(body, &m)
	return m, errors.Wrap(err, "decode work")
}
