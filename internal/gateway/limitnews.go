package gateway

import (
	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicLimit is the topic of the messages by which hosts tell each other the limits
// that servers name. Hosts of an earlier release refuse it.
const topicLimit wire.Topic = 130

// limitNews tells other hosts that a server named a limit, or none any more. It
// takes the same way as the work reports: directly to all hosts of a small fleet,
// and through the relays of a large one.
type limitNews struct {
	Stage stage
	// Upstream is the id of the server.
	Upstream string
	// PerSecond is the limit in requests a second from all hosts together; 0 for
	// none.
	PerSecond float64
}

// broadcastLimit tells all other hosts the limit that a server named to this one.
func (p *peers) broadcastLimit(upstream string, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := limitNews{Stage: toMembers, Upstream: upstream, PerSecond: perSecond}
	if len(p.members) < maxDirectHosts {
		p.sendLimitToMembers("", news)
		return
	}
	news.Stage = fromOrigin
	p.sendLimitToRelay(p.self.dataCentre, news)
}

// receiveLimit applies news of another host, and passes it on if this host is the
// relay that it was sent to.
func (p *peers) receiveLimit(carrier wire.TopicMessage) error {
	var news limitNews
	if err := msgpack.Unmarshal(carrier.Body, &news); err != nil {
		return errors.Wrap(err, "decode the limit of a server")
	}
	p.post(balance.LimitObserved{Host: carrier.Host, Upstream: news.Upstream, PerSecond: news.PerSecond})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayLimit(news)
	return nil
}

// relayLimit passes news on according to its stage. The caller holds mu.
func (p *peers) relayLimit(news limitNews) {
	if news.Stage == toMembers {
		return
	}
	forMembers, forRelays := news, news
	forMembers.Stage, forRelays.Stage = toMembers, betweenRelays
	p.sendLimitToMembers(p.self.dataCentre, forMembers)
	if news.Stage == betweenRelays {
		return
	}
	for dataCentre := range p.relays.members {
		if dataCentre != p.self.dataCentre {
			p.sendLimitToRelay(dataCentre, forRelays)
		}
	}
}

// sendLimitToMembers sends news to all hosts of a data centre; an empty name stands
// for all data centres. The caller holds mu.
func (p *peers) sendLimitToMembers(dataCentre string, news limitNews) {
	carrier, ok := p.encodeLimit(news)
	for _, to := range p.members {
		if ok && (dataCentre == "" || to.dataCentre == dataCentre) {
			p.transport.Send(to.address, carrier)
		}
	}
}

// sendLimitToRelay sends news to the relay of a data centre, which may be this host
// itself. The caller holds mu.
func (p *peers) sendLimitToRelay(dataCentre string, news limitNews) {
	to, known := p.relays.choose(dataCentre, p.clock.Now())
	if known && to.name == p.self.name {
		p.relayLimit(news)
		return
	}
	if carrier, ok := p.encodeLimit(news); known && ok {
		p.transport.Send(to.address, carrier)
	}
}

// encodeLimit encodes news for other hosts. It returns false, and logs the reason,
// if that fails.
func (p *peers) encodeLimit(news limitNews) (wire.TopicMessage, bool) {
	body, err := msgpack.Marshal(&news)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
	}
	return wire.TopicMessage{Host: p.self.name, Topic: topicLimit, Body: body}, err == nil
}
