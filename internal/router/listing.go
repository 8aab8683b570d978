package router

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// listingInterval is the time between two requests for a peer's list.
const listingInterval = time.Second

// askForListing asks a host of this data centre for its list of upstreams, as
// long as neither the platform nor a peer has given one: a host that starts
// in an outage of the platform has to serve by what the others know.
func (c *Core) askForListing(now time.Duration) {
	if c.listed || now < c.nextListing {
		return
	}
	c.nextListing = now + listingInterval
	var near []wire.Member
	for _, m := range c.members.Members() {
		if m.DataCentre == c.cfg.Dispatch.DataCentre && m.State == wire.Alive {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		return
	}
	c.listingAsked++
	c.sendAddress(near[c.listingAsked%len(near)].Address, topicListingRequest, struct{}{})
}

// answerListing sends the upstreams of this data centre, whose addresses are
// the same for all its hosts.
func (c *Core) answerListing(to string) {
	if !c.listed {
		return
	}
	hosts := make([]platform.Host, 0, len(c.upstreams))
	for _, name := range sortedNames(c.upstreams) {
		if h := c.upstreams[name]; h.DataCentre == c.cfg.Dispatch.DataCentre {
			hosts = append(hosts, h)
		}
	}
	c.sendAddress(to, topicListing, hosts)
}

// listingReceived takes a peer's list, unless there is one already.
func (c *Core) listingReceived(now time.Duration, body []byte) {
	var hosts []platform.Host
	if c.listed || msgpack.Unmarshal(body, &hosts) != nil {
		return
	}
	upstreams := make(listing, len(hosts))
	for _, h := range hosts {
		if h.Role != roleEntry {
			upstreams[h.Name] = h
		}
	}
	c.setUpstreams(now, upstreams)
}
