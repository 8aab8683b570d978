package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicQuarantine is the topic of the messages by which hosts tell each other about
// parts of prompts that crash servers. Hosts of an earlier release refuse it.
const topicQuarantine wire.Topic = 131

// quarantineNews tells other hosts what one has found out about parts of prompts.
type quarantineNews struct {
	Stage  stage
	Report balance.QuarantineReport
}

func (quarantineNews) topic() wire.Topic { return topicQuarantine }
func (n quarantineNews) stage() stage    { return n.Stage }

func (n quarantineNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastQuarantine tells all other hosts what this one has found out.
func (p *peers) broadcastQuarantine(report balance.QuarantineReport) {
	p.broadcastNews(quarantineNews{Report: report})
}

// receiveQuarantine applies news of another host, and passes them on.
func (p *peers) receiveQuarantine(carrier wire.TopicMessage) error {
	var n quarantineNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode news of quarantined parts")
	}
	p.post(balance.QuarantineReported{Report: n.Report})
	p.passOn(n)
	return nil
}
