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

// hostsKind is the kind of the store's objects by which hosts find each other.
const hostsKind = "chestnut-hosts"

// topicWork is the topic of all messages between gateways: reports about the
// work in flight, forwarded answers of the store, and known revisions.
const topicWork wire.Topic = 128

// hostSpec is the entry that a host writes about itself into the store.
type hostSpec struct {
	// Address is the address at which the host listens for other hosts.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// ProcessorShare is the part of a processor that the host may use.
	ProcessorShare float64 `json:"power"`
	// Boot distinguishes this run of the host's process from other runs.
	Boot uint64 `json:"boot"`
}

// message is what one host sends to another. It is encoded as an array, so the
// order of its fields is part of the format.
type message struct {
	Stage stage
	// KnownRevisions are the numbers of the newest revisions of the store's kinds
	// that the sender knows of, in an order that is the same on all hosts, and
	// then the newest era of the store that it knows of; see encodeRevisions.
	KnownRevisions []uint64
	Reports        []hostReport
	// StoreUpdates are answers of the store that the sender forwards.
	StoreUpdates []forwardedUpdate
}

// peers holds the other hosts and exchanges messages with them.
type peers struct {
	self      member
	transport *peer.Transport
	clock     clock.Clock
	logger    log.Interface
	post      func(balance.Event)
	// knownRevisions returns the newest revisions of the store's kinds that are
	// known here, in an order that is the same on all hosts. recordRevisions
	// records those that another host knows.
	knownRevisions  func() []platform.Revision
	recordRevisions func([]platform.Revision)
	// applyUpdate applies an answer of the store that another host forwarded.
	applyUpdate func(storeUpdate)

	mu      sync.Mutex
	members map[string]member
	relays  *relaySelector
	// selfRemoved is signalled when this host's own entry was removed from the
	// store.
	selfRemoved chan struct{}
	// registered is true once this host has written its own entry.
	registered atomic.Bool
	// lastForwardedAt holds, by the index of a kind of objects, when a host that
	// goes before this one in its data centre last forwarded an answer of the
	// store. updatesExpectedAt is when expectUpdates began the wait for the
	// first such answers; 0 if it did not.
	lastForwardedAt   map[int]time.Duration
	updatesExpectedAt time.Duration
	batch             batch
	// batchStarted is signalled when the batch has got its first reports.
	batchStarted chan struct{}
}

// newPeers returns peers without members. The transport is not serving yet.
func newPeers(self member, c clock.Clock, logger log.Interface, post func(balance.Event)) (*peers, error) {
	p := &peers{
		self: self, clock: c, logger: logger, post: post,
		members: make(map[string]member), relays: newRelaySelector(), batchStarted: make(chan struct{}, 1),
		selfRemoved: make(chan struct{}, 1), lastForwardedAt: make(map[int]time.Duration),
	}
	transport, err := peer.New(peer.DefaultConfig(self.address), nil, p.receive, logger)
	p.transport = transport
	return p, err
}

// replaceMembers applies a complete list of the registered hosts.
func (p *peers) replaceMembers(objects []platform.Object) {
	p.mu.Lock()
	p.members = make(map[string]member, len(objects))
	p.mu.Unlock()
	selfListed := slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == p.self.name })
	if !selfListed && p.registered.Load() {
		p.signalSelfRemoved()
	}
	p.updateMembers(objects)
}

// updateMembers applies changed registrations of hosts.
func (p *peers) updateMembers(objects []platform.Object) {
	others := p.applyRegistrations(objects)
	// The lock is not held here, because the control thread may be waiting for
	// it to broadcast a report.
	p.post(balance.PeersChanged{OtherHosts: others, ReportDelay: reportDelay(others)})
}

// applyRegistrations adds, replaces and removes members by their registrations,
// and returns the number of other hosts.
func (p *peers) applyRegistrations(objects []platform.Object) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		if o.Deleted && o.Name == p.self.name {
			p.signalSelfRemoved()
		}
		if o.Deleted || o.Name == p.self.name {
			delete(p.members, o.Name)
			continue
		}
		var spec hostSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			logevent.RegistrationUnreadable.Emit(p.logger, log.Fields{"name": o.Name, "revision": o.Revision.Number, "error": err.Error()})
			continue
		}
		p.members[o.Name] = member{
			name: o.Name, address: spec.Address, dataCentre: spec.DataCentre, processorShare: spec.ProcessorShare,
			revision: o.Revision, lastReceived: max(p.clock.Now(), p.members[o.Name].lastReceived),
		}
	}
	all := []member{p.self}
	for _, m := range p.members {
		all = append(all, m)
	}
	p.relays.setHosts(all)
	p.expectUpdates()
	return len(p.members)
}

// signalSelfRemoved makes this host write its entry again.
func (p *peers) signalSelfRemoved() {
	select {
	case p.selfRemoved <- struct{}{}:
	default:
	}
}

// silentMembers returns the hosts of this data centre from which no message
// arrived for maxSilence. It returns none if a host that comes before this one
// in the order of the data centre is not silent, so that only one host acts on
// the result.
func (p *peers) silentMembers(maxSilence time.Duration) []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var silent []member
	passedSelf := false
	for _, m := range p.relays.members[p.self.dataCentre] {
		if m.name == p.self.name {
			passedSelf = true
			continue
		}
		current := p.members[m.name]
		alive := now-current.lastReceived < maxSilence
		if alive && !passedSelf {
			return nil
		}
		if !alive {
			silent = append(silent, current)
		}
	}
	return silent
}

// broadcastReport sends this host's report to all other hosts, itself or
// through a relay.
func (p *peers) broadcastReport(report balance.WorkReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := []hostReport{{Host: p.self.name, Report: report}}
	if len(p.members) < maxDirectHosts {
		p.sendToMembers("", message{Stage: toMembers, Reports: reports})
		return
	}
	p.sendToRelay(p.self.dataCentre, message{Stage: fromOrigin, Reports: reports})
}

// sendToMembers sends a message to all hosts of a data centre; an empty name
// stands for all data centres. The caller holds mu.
func (p *peers) sendToMembers(dataCentre string, m message) {
	body, ok := p.encodeMessage(m)
	if !ok {
		return
	}
	for _, to := range p.members {
		if dataCentre == "" || to.dataCentre == dataCentre {
			p.transport.Send(to.address, wire.TopicMessage{Host: p.self.name, Topic: topicWork, Body: body})
		}
	}
}

// sendToRelay sends a message to the relay of a data centre, which may be this
// host itself. The caller holds mu.
func (p *peers) sendToRelay(dataCentre string, m message) {
	now := p.clock.Now()
	to, ok := p.relays.choose(dataCentre, now)
	if !ok {
		return
	}
	if to.name == p.self.name {
		p.collect(m)
		return
	}
	body, ok := p.encodeMessage(m)
	if !ok {
		return
	}
	p.transport.Send(to.address, wire.TopicMessage{Host: p.self.name, Topic: topicWork, Body: body})
	p.relays.recordConnection(to.address, p.transport.Connected(to.address), now)
}

// collect adds the reports of a message to those that this host sends on as a
// relay. The caller holds mu.
func (p *peers) collect(m message) {
	p.batch.add(m.Reports, m.Stage)
	select {
	case p.batchStarted <- struct{}{}:
	default:
	}
}

// runRelay sends the collected reports on until the context ends. It waits for
// relayInterval after the first report, so that one message carries many.
func (p *peers) runRelay(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.batchStarted:
		}
		if !sleep(ctx, relayInterval) {
			return nil
		}
		p.sendBatch()
	}
}

// sendBatch sends the collected reports to the hosts of this data centre, and
// those that come from it also to the relays of the other data centres.
func (p *peers) sendBatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batch.empty() {
		return
	}
	collected := p.batch
	p.batch = batch{}
	p.sendToMembers(p.self.dataCentre, message{Stage: toMembers, Reports: collected.forMembers})
	if len(collected.forRelays) == 0 {
		return
	}
	for dataCentre := range p.relays.members {
		if dataCentre != p.self.dataCentre {
			p.sendToRelay(dataCentre, message{Stage: betweenRelays, Reports: collected.forRelays})
		}
	}
}

// receive handles a message from another host: it records the revisions and
// applies the store updates in it, and posts the work reports of other hosts to
// the core. If this host is the relay that the message was sent to, it collects
// the reports to send them on.
func (p *peers) receive(remote string, received wire.Message) {
	carried, ok := received.(wire.TopicMessage)
	if !ok || carried.Topic != topicWork {
		logevent.PeerRefused.Emit(p.logger, log.Fields{"remote": remote, "error": "unexpected message"})
		return
	}
	m, err := unmarshalMessage(carried.Body)
	if err != nil {
		logevent.PeerRefused.Emit(p.logger, log.Fields{"remote": remote, "error": err.Error()})
		return
	}
	known := p.knownRevisions()
	revisions, era := decodeRevisions(m.KnownRevisions, len(known))
	p.recordRevisions(revisions)
	p.recordReceipt(carried.Host, m, era >= newestEra(known))
	for _, update := range m.StoreUpdates {
		p.applyUpdate(update.decode(era))
	}
	for _, report := range m.Reports {
		if report.Host != p.self.name {
			p.post(balance.ReportReceived{Host: report.Host, Report: report.Report})
		}
	}
	if m.Stage != toMembers {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.collect(m)
	}
}

// recordReceipt records which hosts a message shows to be alive, and whether
// its sender watches the store for this host. A sender that does not know of the
// store's current era yet can't be relied on.
func (p *peers) recordReceipt(sender string, received message, currentEra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, report := range received.Reports {
		if m, known := p.members[report.Host]; known {
			m.lastReceived = now
			p.members[report.Host] = m
		}
	}
	if !currentEra {
		return
	}
	rank := p.relays.rank(p.self.dataCentre, sender)
	if rank < relayCandidates && rank < p.relays.rank(p.self.dataCentre, p.self.name) {
		for _, update := range received.StoreUpdates {
			p.lastForwardedAt[update.KindIndex] = now
		}
	}
}

// newestEra returns the latest era among revisions.
func newestEra(revisions []platform.Revision) uint64 {
	newest := uint64(0)
	for _, r := range revisions {
		newest = max(newest, r.Era)
	}
	return newest
}

// encodeRevisions returns the form of revisions in a message: their numbers, and
// then the newest era among them. The number is 0 for a revision of an earlier
// era. Hosts of an earlier release send no era, and ignore it.
func encodeRevisions(revisions []platform.Revision) []uint64 {
	era := newestEra(revisions)
	encoded := make([]uint64, 0, len(revisions)+1)
	for _, r := range revisions {
		if r.Era < era {
			r.Number = 0
		}
		encoded = append(encoded, r.Number)
	}
	return append(encoded, era)
}

// decodeRevisions returns the revisions of the given number of kinds that a
// message holds, and their era.
func decodeRevisions(encoded []uint64, kinds int) ([]platform.Revision, uint64) {
	era := uint64(0)
	if len(encoded) > kinds {
		era = encoded[kinds]
	}
	revisions := make([]platform.Revision, min(kinds, len(encoded)))
	for i := range revisions {
		revisions[i] = platform.Revision{Era: era, Number: encoded[i]}
	}
	return revisions, era
}

// encodeMessage adds the revisions known here to a message and encodes it. It
// returns false, and logs the reason, if the message can't be sent.
func (p *peers) encodeMessage(m message) ([]byte, bool) {
	m.KnownRevisions = encodeRevisions(p.knownRevisions())
	body, err := marshalMessage(m)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
		return nil, false
	}
	return body, true
}

// marshalMessage encodes a message as MessagePack. It returns an error if the
// result is larger than the transport allows.
func marshalMessage(m message) ([]byte, error) {
	// Structs are encoded as arrays, which need no field names.
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(&m)
	if err == nil && out.Len() > wire.MaxBodyBytes {
		err = errors.Errorf("%d bytes, at most %d can be sent", out.Len(), wire.MaxBodyBytes)
	}
	return out.Bytes(), errors.Wrap(err, "encode a message to other hosts")
}

// unmarshalMessage decodes a message from MessagePack.
func unmarshalMessage(body []byte) (message, error) {
	var m message
	err := msgpack.Unmarshal(body, &m)
	return m, errors.Wrap(err, "decode a message of another host")
}
