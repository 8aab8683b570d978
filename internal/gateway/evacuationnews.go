package gateway

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicEvacuations is the topic of the messages by which hosts tell each other which data
// centres are out of service. Hosts of an earlier release refuse it.
const topicEvacuations wire.Topic = 138

// evacuationNews tells other hosts all data centres that are out of service as of a revision
// of the store.
type evacuationNews struct {
	Stage         stage
	Era, Revision uint64
	DataCentres   []string
}

func (evacuationNews) topic() wire.Topic { return topicEvacuations }
func (n evacuationNews) stage() stage    { return n.Stage }

func (n evacuationNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// check returns an error if news of another host can't be such.
func (n evacuationNews) check() error {
	if len(n.DataCentres) > maxEvacuations {
		return errors.Errorf("news of %d evacuations, at most %d are accepted", len(n.DataCentres), maxEvacuations)
	}
	for _, name := range n.DataCentres {
		if name == "" || len(name) > maxDataCentreName {
			return errors.Errorf("news of an evacuation with a name of %d bytes, 1 to %d are accepted", len(name), maxDataCentreName)
		}
	}
	return nil
}

// broadcastEvacuations tells all other hosts which data centres are out of service.
func (p *peers) broadcastEvacuations(n evacuationNews) { p.broadcastNews(n) }

// receiveEvacuations applies news of another host, and passes them on.
func (p *peers) receiveEvacuations(carrier wire.TopicMessage) error {
	var n evacuationNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode the evacuations")
	}
	if err := n.check(); err != nil {
		return err
	}
	if p.evacuationsReceived != nil {
		p.evacuationsReceived(carrier.Host, n)
	}
	p.passOn(n)
	return nil
}
