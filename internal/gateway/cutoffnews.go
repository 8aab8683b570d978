package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicCutOff is the topic of the messages by which hosts tell each other that they are
// cut off from all servers. Hosts of an earlier release refuse it.
const topicCutOff wire.Topic = 132

// cutOffNews tells other hosts that one is cut off from all servers, or no longer.
type cutOffNews struct {
	Stage  stage
	Host   string
	CutOff bool
}

func (cutOffNews) topic() wire.Topic { return topicCutOff }
func (n cutOffNews) stage() stage    { return n.Stage }

func (n cutOffNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastCutOff tells all other hosts whether this one is cut off.
func (p *peers) broadcastCutOff(cutOff bool) {
	p.broadcastNews(cutOffNews{Host: p.self.name, CutOff: cutOff})
}

// receiveCutOff applies news of another host, and passes them on.
func (p *peers) receiveCutOff(carrier wire.TopicMessage) error {
	var n cutOffNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode whether a host is cut off")
	}
	p.post(balance.HostCutOff{Host: n.Host, CutOff: n.CutOff})
	p.passOn(n)
	return nil
}
