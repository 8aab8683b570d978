package router

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Topics of the messages by which hosts distribute the configuration and send
// the list of upstreams to a host that has none. The values are part of the
// protocol between hosts.
const (
	topicAnnouncement wire.Topic = iota + 1
	topicPartRequest
	topicPartAnswer
	topicUpstreamListRequest
	topicUpstreamList
)

// stepTracker passes an event to the configuration tracker and passes its
// effects on: messages go to other hosts, all other effects to the caller. The
// membership core gets the version that came into force.
func (c *Core) stepTracker(now time.Duration, ev configuration.Event) {
	for _, f := range c.tracker.Step(now, ev) {
		switch t := f.(type) {
		case configuration.FetchFromPeer:
			c.sendToHost(t.Host, topicPartRequest, t.Request)
		case configuration.Announce:
			c.sendToHost(t.Host, topicAnnouncement, t.Announcement)
		case configuration.Apply:
			c.emit(ConfigurationEffect{Effect: t})
			c.applyMembershipEffects(now, c.members.Step(now, membership.ConfigurationApplied{Version: t.Version}))
		default:
			c.emit(ConfigurationEffect{Effect: f})
		}
	}
}

// sendToHost sends a message to a host by name. The message is lost if the
// address of the host is not known.
func (c *Core) sendToHost(host string, topic wire.Topic, message any) {
	if address, known := c.memberAddresses[host]; known {
		c.sendToAddress(address, topic, message)
	}
}

// sendToAddress encodes a message of a topic and sends it to an address.
func (c *Core) sendToAddress(address string, topic wire.Topic, message any) {
	body, err := msgpack.Marshal(message)
	if err != nil || len(body) > wire.MaxBodyBytes {
		// The message is lost, as any message may be. The tracker asks again or
		// asks another host.
		return
	}
	m := wire.TopicMessage{Host: c.cfg.Dispatch.Host, Topic: topic, Body: body}
	c.emit(SendMessage{To: address, Message: m})
}

// receiveTopicMessage handles the messages of the topics above. A message that
// cannot be decoded is dropped, as if it were lost.
func (c *Core) receiveTopicMessage(now time.Duration, from string, m wire.TopicMessage) {
	switch m.Topic {
	case topicUpstreamListRequest:
		c.sendUpstreamList(from)
	case topicUpstreamList:
		c.receiveUpstreamList(now, m.Body)
	case topicPartRequest:
		var request configuration.PartRequest
		if msgpack.Unmarshal(m.Body, &request) == nil {
			c.sendToAddress(from, topicPartAnswer, c.tracker.Snapshot().Answer(request))
		}
	case topicPartAnswer:
		var answer configuration.PartAnswer
		if msgpack.Unmarshal(m.Body, &answer) == nil {
			c.stepTracker(now, configuration.PeerAnswer{Host: m.Host, Answer: answer})
		}
	case topicAnnouncement:
		var a configuration.Announcement
		if msgpack.Unmarshal(m.Body, &a) == nil {
			c.stepTracker(now, configuration.PeerVersion{Host: m.Host, Version: a.Version, Digest: a.Digest})
		}
	}
}
