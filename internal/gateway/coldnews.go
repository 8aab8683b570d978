package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// topicCold is the topic of the messages by which hosts tell each other that a server has
// told one of them that it is cold. Hosts of an earlier release refuse it.
const topicCold wire.Topic = 139

// maxColdNews is the longest time that news may name.
const maxColdNews = 10 * time.Minute

// coldNews tells other hosts that one run of a server is cold.
type coldNews struct {
	Stage       stage
	Upstream    string
	Incarnation int64
	// ColdTime is how long the server is cold from now on.
	ColdTime time.Duration
}

func (coldNews) topic() wire.Topic { return topicCold }
func (n coldNews) stage() stage    { return n.Stage }

func (n coldNews) atStage(s stage) news {
	n.Stage = s
	return n
}

// broadcastCold tells all other hosts that a server has told this one that it is cold.
func (p *peers) broadcastCold(e balance.UpstreamWarmthChanged) {
	p.broadcastNews(coldNews{Upstream: e.Upstream, Incarnation: e.Incarnation, ColdTime: e.ColdTime})
}

// receiveCold applies news of another host, and passes them on.
func (p *peers) receiveCold(carrier wire.TopicMessage) error {
	var n coldNews
	if err := msgpack.Unmarshal(carrier.Body, &n); err != nil {
		return errors.Wrap(err, "decode that a server is cold")
	}
	if n.ColdTime < 0 || n.ColdTime > maxColdNews {
		return errors.Errorf("server %q is said to be cold for %v, must be 0 to %v", n.Upstream, n.ColdTime, maxColdNews)
	}
	p.post(balance.ColdReported{Host: carrier.Host, Upstream: n.Upstream, Incarnation: n.Incarnation, ColdTime: n.ColdTime})
	p.passOn(n)
	return nil
}
