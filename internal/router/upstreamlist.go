package router

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// listRequestInterval is the time between two requests for the list of
// upstreams of another host.
const listRequestInterval = time.Second

// requestUpstreamList asks a host of this data centre for its list of upstreams
// while neither the platform nor another host has sent one. A host that starts
// during an outage of the platform can only serve with the list that other
// hosts have. Successive requests go to the alive hosts in turn.
func (c *Core) requestUpstreamList(now time.Duration) {
	if c.upstreamsKnown || now < c.nextListRequest {
		return
	}
	c.nextListRequest = now + listRequestInterval
	var localPeers []wire.Member
	for _, m := range c.members.Members() {
		if m.DataCentre == c.cfg.Dispatch.DataCentre && m.State == wire.Alive {
			localPeers = append(localPeers, m)
		}
	}
	if len(localPeers) == 0 {
		return
	}
	c.listRequests++
	c.sendToAddress(localPeers[c.listRequests%len(localPeers)].Address, topicUpstreamListRequest, struct{}{})
}

// sendUpstreamList answers a request with the upstreams of this data centre,
// whose addresses are the same for all hosts of the data centre. It sends
// nothing as long as this host has no list.
func (c *Core) sendUpstreamList(to string) {
	if !c.upstreamsKnown {
		return
	}
	hosts := make([]platform.Host, 0, len(c.upstreams))
	for _, name := range sortedNames(c.upstreams) {
		if h := c.upstreams[name]; h.DataCentre == c.cfg.Dispatch.DataCentre {
			hosts = append(hosts, h)
		}
	}
	c.sendToAddress(to, topicUpstreamList, hosts)
}

// receiveUpstreamList applies the list of another host, unless this host
// already has a list.
func (c *Core) receiveUpstreamList(now time.Duration, body []byte) {
	var hosts []platform.Host
	if c.upstreamsKnown || msgpack.Unmarshal(body, &hosts) != nil {
		return
	}
	upstreams := make(upstreamList, len(hosts))
	for _, h := range hosts {
		if h.Role != roleEntry {
			upstreams[h.Name] = h
		}
	}
	c.applyUpstreamList(now, upstreams)
}
