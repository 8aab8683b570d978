package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicLeaving is the topic of the messages by which hosts tell each other that a server
// has announced that it is shutting down. Hosts of an earlier release refuse it.
const topicLeaving wire.Topic = 134

// leavingNews tells other hosts that one run of a server is shutting down.
type leavingNews struct {
	Stage       stage
	Upstream    string
	Incarnation int64
}

func (leavingNews) topic() wire.Topic { return topicLeaving }
func (n leavingNews) stage() stage    { return n.Stage }

func (n leavingNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastLeaving tells all other hosts that a server is shutting down.
func (p *peers) broadcastLeaving(upstream string, incarnation int64) {
	p.broadcastNews(leavingNews{Upstream: upstream, Incarnation: incarnation})
}

// receiveLeaving applies news of another host, and passes them on.
func (p *peers) receiveLeaving(carrier wire.TopicMessage) error {
	var n leavingNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode that a server is shutting down")
	}
	p.post(balance.LeavingReported{Host: carrier.Host, Upstream: n.Upstream, Incarnation: n.Incarnation})
	p.passOn(n)
	return nil
}
