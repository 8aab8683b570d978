package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicRest is the topic of the messages by which hosts tell each other that a server has
// asked one of them for rest. Hosts of an earlier release refuse it.
const topicRest wire.Topic = 133

// restNews tells other hosts that one run of a server has asked the sender for rest.
type restNews struct {
	Stage       stage
	Upstream    string
	Incarnation int64
	// RestTime is the length of the rest from now on.
	RestTime time.Duration
}

func (restNews) topic() wire.Topic { return topicRest }
func (n restNews) stage() stage    { return n.Stage }

func (n restNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastRest tells all other hosts that a server has asked this one for rest.
func (p *peers) broadcastRest(e balance.UpstreamResting) {
	p.broadcastNews(restNews{Upstream: e.Upstream, Incarnation: e.Incarnation, RestTime: e.RestTime})
}

// receiveRest applies news of another host, and passes them on.
func (p *peers) receiveRest(carrier wire.TopicMessage) error {
	var n restNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode that a server rests")
	}
	p.post(balance.RestReported{Upstream: n.Upstream, Incarnation: n.Incarnation, RestTime: n.RestTime})
	p.passOn(n)
	return nil
}
