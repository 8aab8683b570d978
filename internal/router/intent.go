package router

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// Topics of the messages by which hosts pass on the configuration and, to a
// host that has none, the list of upstreams.
const (
	topicAnnouncement wire.Topic = iota + 1
	topicPartRequest
	topicPartAnswer
	topicListingRequest
	topicListing
)

// configured steps the configuration's tracker.
func (c *Core) configured(now time.Duration, ev configuration.Event) {
	for _, f := range c.tracker.Step(now, ev) {
		switch t := f.(type) {
		case configuration.FetchFromPeer:
			c.sendHost(t.Host, topicPartRequest, t.Request)
		case configuration.Announce:
			c.sendHost(t.Host, topicAnnouncement, t.Announcement)
		case configuration.Apply:
			c.emit(Configure{Effect: t})
			c.membershipEffects(now, c.members.Step(now, membership.ConfigurationApplied{Version: t.Version}))
		default:
			c.emit(Configure{Effect: f})
		}
	}
}

// sendHost sends to a host by name; with no address known the message is lost.
func (c *Core) sendHost(host string, topic wire.Topic, message any) {
	if address, known := c.addresses[host]; known {
		c.sendAddress(address, topic, message)
	}
}

func (c *Core) sendAddress(address string, topic wire.Topic, message any) {
	body, err := msgpack.Marshal(message)
	if err != nil || len(body) > wire.MaxBodyBytes {
		// Lost, like any message; the tracker asks again or elsewhere.
		return
	}
	m := wire.TopicMessage{Host: c.cfg.Dispatch.Host, Topic: topic, Body: body}
	c.emit(SendPeer{To: address, Message: m})
}

// carriedReceived handles the messages of the topics above. One that can't be decoded is dropped, as if lost.
func (c *Core) carriedReceived(now time.Duration, from string, m wire.TopicMessage) {
	switch m.Topic {
	case topicListingRequest:
		c.answerListing(from)
	case topicListing:
		c.listingReceived(now, m.Body)
	case topicPartRequest:
		var request configuration.PartRequest
		if msgpack.Unmarshal(m.Body, &request) == nil {
			c.sendAddress(from, topicPartAnswer, c.tracker.Snapshot().Answer(request))
		}
	case topicPartAnswer:
		var answer configuration.PartAnswer
		if msgpack.Unmarshal(m.Body, &answer) == nil {
			c.configured(now, configuration.PeerAnswer{Host: m.Host, Answer: answer})
		}
	case topicAnnouncement:
		var a configuration.Announcement
		if msgpack.Unmarshal(m.Body, &a) == nil {
			c.configured(now, configuration.PeerVersion{Host: m.Host, Version: a.Version, Digest: a.Digest})
		}
	}
}
