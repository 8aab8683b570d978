package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/peer"
	"github.com/chestnutline/chestnutline/internal/wire"
	"github.com/chestnutline/chestnutline/platform"
)

// hostsKind is the kind of the store's objects by which hosts find each other.
const hostsKind = "chestnut-hosts"

// hostSpec is the entry that a host writes about itself into the store.
type hostSpec struct {
	// Address is the address at which the host listens for other hosts.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// ProcessorShare is the part of a processor that the host may use.
	ProcessorShare float64 `json:"power"`
	// Forward is the address at which the host takes requests that other hosts pass on;
	// hosts of an earlier release name none.
	Forward string `json:"forward,omitempty"`
	// Boot distinguishes this run of the host's process from other runs.
	Boot uint64 `json:"boot"`
}

// maxProcessorShare is the largest share of a processor that a host's entry may name.
const maxProcessorShare = 1024

// decodeHostSpec decodes the entry of a host. It returns an error for an entry of another
// form, such as one of another writer: it names no host to send anything to.
func decodeHostSpec(text []byte) (hostSpec, error) {
	var spec hostSpec
	if err := json.Unmarshal(text, &spec); err != nil {
		return hostSpec{}, errors.Wrap(err, "decode the entry of a host")
	}
	if err := platform.CheckAddress(spec.Address); err != nil {
		return hostSpec{}, errors.Wrap(err, "address")
	}
	if spec.Forward != "" {
		if err := platform.CheckAddress(spec.Forward); err != nil {
			return hostSpec{}, errors.Wrap(err, "forward")
		}
	}
	if spec.DataCentre == "" {
		return hostSpec{}, errors.New("data_centre is missing")
	}
	if spec.ProcessorShare < 0 || spec.ProcessorShare > maxProcessorShare {
		return hostSpec{}, errors.Errorf("power is %g, must be 0 to %d", spec.ProcessorShare, maxProcessorShare)
	}
	return spec, nil
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
	// openMessage opens a share of the host's memory for a message; nil for memory without a
	// limit.
	openMessage func(giveWay func()) holding
	// applyUpdate applies an answer of the store that another host forwarded.
	applyUpdate func(storeUpdate)
	// regions holds the region of each data centre.
	regions map[string]string
	// evacuationsReceived applies another host's news of evacuations; nil if there are none.
	evacuationsReceived func(host string, n evacuationNews)

	mu      sync.Mutex
	members map[string]member
	relays  *relaySelector
	// newcomers holds the addresses of hosts that are not registered yet, by name.
	newcomers map[string]string
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
		members: make(map[string]member), newcomers: make(map[string]string), relays: newRelaySelector(), batchStarted: make(chan struct{}, 1),
		selfRemoved: make(chan struct{}, 1), lastForwardedAt: make(map[int]time.Duration),
	}
	config := peer.DefaultConfig(self.address)
	config.Known, config.OpenMemory = p.isRegistered, p.openFrame
	transport, err := peer.New(config, nil, p.receive, logger)
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
	changed := p.applyRegistrations(objects)
	// The lock is not held here, because the control thread may be waiting for
	// it to broadcast a report.
	p.post(changed)
}

// applyRegistrations adds, replaces and removes members by their registrations,
// and returns what has changed for the core.
func (p *peers) applyRegistrations(objects []platform.Object) balance.PeersChanged {
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
		spec, err := decodeHostSpec(o.Spec)
		if err != nil {
			logevent.RegistrationUnreadable.Emit(p.logger, log.Fields{"name": o.Name, "revision": o.Revision.Number, "error": err.Error()})
			continue
		}
		delete(p.newcomers, o.Name)
		p.members[o.Name] = member{
			name: o.Name, address: spec.Address, dataCentre: spec.DataCentre, processorShare: spec.ProcessorShare,
			forwardAddress: spec.Forward, revision: o.Revision, lastReceived: max(p.clock.Now(), p.members[o.Name].lastReceived),
		}
	}
	all := []member{p.self}
	for _, m := range p.members {
		all = append(all, m)
	}
	p.relays.setHosts(all)
	p.expectUpdates()
	changed := balance.PeersChanged{OtherHosts: len(p.members), ReportDelay: reportDelay(len(p.members)), Forwarders: p.forwarders()}
	changed.Coordinators, changed.CoordinatedDataCentres = p.coordinators()
	changed.ChoosingHosts, changed.StandbyHosts = p.choosingHosts()
	return changed
}

// isRegistered reports whether a registered host listens at an address.
func (p *peers) isRegistered(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.address == address {
			return true
		}
	}
	return false
}

// openFrame opens a share of the host's memory for a message that is being read.
func (p *peers) openFrame(giveWay func()) peer.Memory {
	return &heldMemory{open: p.openMessage, giveWay: giveWay}
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
	carrier, ok := p.encodeMessage(m)
	if !ok {
		return
	}
	for _, to := range p.members {
		if dataCentre == "" || to.dataCentre == dataCentre {
			p.transport.Send(to.address, carrier)
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
	carrier, ok := p.encodeMessage(m)
	if !ok {
		return
	}
	p.transport.Send(to.address, carrier)
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

// sendBatch sends the collected reports to the hosts of this data centre that choose
// servers, and those that come from it also to the relays of the other data centres.
func (p *peers) sendBatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batch.empty() {
		return
	}
	collected := p.batch
	p.batch = batch{}
	p.sendToInformed(message{Stage: toMembers, Reports: collected.forMembers})
	if len(collected.forRelays) == 0 {
		return
	}
	for dataCentre := range p.relays.members {
		if dataCentre != p.self.dataCentre {
			p.sendToRelay(dataCentre, message{Stage: betweenRelays, Reports: collected.forRelays})
		}
	}
}

// receive handles a message from another host.
func (p *peers) receive(remote string, received wire.Message) {
	err := errors.New("unexpected message")
	memory := &heldMemory{open: p.openMessage}
	defer memory.release()
	if carrier, ok := received.(wire.TopicMessage); ok {
		err = p.receiveCarrier(remote, carrier, memory)
	}
	if err != nil {
		logevent.PeerRefused.Emit(p.logger, log.Fields{"remote": remote, "error": err.Error()})
	}
}

// receiveCarrier handles a message by its topic.
func (p *peers) receiveCarrier(remote string, carrier wire.TopicMessage, memory *heldMemory) error {
	if carrier.Topic == topicWork || carrier.Topic == topicCompressedWork {
		return p.receiveWork(carrier, memory)
	}
	if _, err := unpackMessage(carrier, memory); err != nil {
		return err
	}
	switch carrier.Topic {
	case topicLimit:
		return p.receiveLimit(carrier)
	case topicQuarantine:
		return p.receiveQuarantine(carrier)
	case topicRest:
		return p.receiveRest(carrier)
	case topicReturns:
		return p.receiveReturns(carrier)
	case topicCold:
		return p.receiveCold(carrier)
	case topicLeaving:
		return p.receiveLeaving(carrier)
	case topicCutOff:
		return p.receiveCutOff(carrier)
	case topicPlacementQuery:
		return p.receivePlacementQuery(remote, carrier)
	case topicPlacementAnswer:
		return p.receivePlacementAnswer(carrier)
	case topicEvacuations:
		return p.receiveEvacuations(carrier)
	case topicHostsAlive:
		return p.receiveHostsAlive(carrier)
	default:
		return p.receiveWork(carrier, memory)
	}
}

// receiveWork records the revisions and applies the store updates in a message, and
// posts the work reports of other hosts to the core. If this host is the relay that
// the message was sent to, it collects the reports to send them on.
func (p *peers) receiveWork(carried wire.TopicMessage, memory *heldMemory) error {
	m, err := decodeMessage(carried, memory)
	if err != nil {
		return err
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
	return nil
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
