package gateway

import (
	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// news is what hosts tell each other at once, apart from their work. It takes the
// same way as the work reports: directly to all hosts of a small fleet, and through
// the relays of a large one.
type news interface {
	topic() wire.Topic
	stage() stage
	// atStage returns the same news at another stage of its way.
	atStage(stage) news
}

// broadcastNews tells all other hosts some news of this one.
func (p *peers) broadcastNews(n news) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) < maxDirectHosts {
		p.sendNewsToMembers("", n.atStage(toMembers))
		return
	}
	p.sendNewsToRelay(p.self.dataCentre, n.atStage(fromOrigin))
}

// passOn passes news on if this host is the relay that they were sent to.
func (p *peers) passOn(n news) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayNews(n)
}

// relayNews passes news on according to their stage. The caller holds mu.
func (p *peers) relayNews(n news) {
	if n.stage() == toMembers {
		return
	}
	p.sendNewsToMembers(p.self.dataCentre, n.atStage(toMembers))
	if n.stage() == betweenRelays {
		return
	}
	for dataCentre := range p.relays.members {
		if dataCentre != p.self.dataCentre {
			p.sendNewsToRelay(dataCentre, n.atStage(betweenRelays))
		}
	}
}

// sendNewsToMembers sends news to all hosts of a data centre; an empty name stands
// for all data centres. The caller holds mu.
func (p *peers) sendNewsToMembers(dataCentre string, n news) {
	carrier, ok := p.encodeNews(n)
	for _, to := range p.members {
		if ok && (dataCentre == "" || to.dataCentre == dataCentre) {
			p.transport.Send(to.address, carrier)
		}
	}
}

// sendNewsToRelay sends news to the relay of a data centre, which may be this host
// itself. The caller holds mu.
func (p *peers) sendNewsToRelay(dataCentre string, n news) {
	to, known := p.relays.choose(dataCentre, p.clock.Now())
	if known && to.name == p.self.name {
		p.relayNews(n)
		return
	}
	if carrier, ok := p.encodeNews(n); known && ok {
		p.transport.Send(to.address, carrier)
	}
}

// encodeNews encodes news for other hosts. It returns false, and logs the reason, if
// that fails.
func (p *peers) encodeNews(n news) (wire.TopicMessage, bool) {
	body, err := msgpack.Marshal(n)
	if err != nil {
		logevent.PeerMessageInvalid.Emit(p.logger, log.Fields{"address": "all", "error": err.Error()})
	}
	return wire.TopicMessage{Host: p.self.name, Topic: n.topic(), Body: body}, err == nil
}
