package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicLimit is the topic of the messages by which hosts tell each other the limits
// that servers name. Hosts of an earlier release refuse it.
const topicLimit wire.Topic = 130

// limitNews tells other hosts that a server named a limit, or none any more.
type limitNews struct {
	Stage stage
	// Upstream is the id of the server.
	Upstream string
	// PerSecond is the limit in requests a second from all hosts together; 0 for
	// none.
	PerSecond float64
}

func (limitNews) topic() wire.Topic { return topicLimit }
func (n limitNews) stage() stage    { return n.Stage }

func (n limitNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastLimit tells all other hosts the limit that a server named to this one.
func (p *peers) broadcastLimit(upstream string, perSecond float64) {
	p.broadcastNews(limitNews{Upstream: upstream, PerSecond: perSecond})
}

// receiveLimit applies news of another host, and passes them on.
func (p *peers) receiveLimit(carrier wire.TopicMessage) error {
	var n limitNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode the limit of a server")
	}
	p.post(balance.LimitObserved{Host: carrier.Host, Upstream: n.Upstream, PerSecond: n.PerSecond})
	p.passOn(n)
	return nil
}
