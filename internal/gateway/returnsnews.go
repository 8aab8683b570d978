package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicReturns is the topic of the messages by which hosts tell each other which requests
// were told to come back. Hosts of an earlier release refuse it.
const topicReturns wire.Topic = 140

// returnsNews tells other hosts which requests one has told to come back, and which have.
type returnsNews struct {
	Stage  stage
	Report balance.ReturnsReport
}

func (returnsNews) topic() wire.Topic { return topicReturns }
func (n returnsNews) stage() stage    { return n.Stage }

func (n returnsNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastReturns tells all other hosts which requests were told to come back.
func (p *peers) broadcastReturns(report balance.ReturnsReport) {
	p.broadcastNews(returnsNews{Report: report})
}

// receiveReturns applies news of another host, and passes them on.
func (p *peers) receiveReturns(carrier wire.TopicMessage) error {
	var n returnsNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode news of returns")
	}
	if err := n.Report.Check(); err != nil {
		return err
	}
	p.post(balance.ReturnsReported{Report: n.Report})
	p.passOn(n)
	return nil
}
