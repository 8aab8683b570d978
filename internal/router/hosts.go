package router

import (
	"sort"
	"time"

	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Roles in the platform's list.
const (
	roleEntry  = "entry"
	roleEngine = "engine"
)

// listing is what the platform's list named last, by upstream.
type listing map[string]platform.Host

// hostsListed passes the platform's list on: entry hosts to membership,
// upstreams to dispatch and to the probes.
func (c *Core) hostsListed(now time.Duration, e HostsListed) {
	var entries []membership.Listed
	upstreams := make(listing)
	for _, h := range e.Hosts {
		if h.Role == roleEntry {
			entries = append(entries, membership.Listed{Name: h.Name, DataCentre: h.DataCentre, Address: h.Address})
			continue
		}
		upstreams[h.Name] = h
	}
	c.membershipEffects(now, c.members.Step(now, membership.DirectoryListed{Hosts: entries}))
	c.setUpstreams(now, upstreams)
}

// setUpstreams puts a list of upstreams in force.
func (c *Core) setUpstreams(now time.Duration, upstreams listing) {
	if !c.listed {
		c.listed = true
		c.emit(Listed{})
	}
	if c.listUpstreams(now, upstreams) {
		c.emit(Probe{Targets: c.targets()})
	}
}

// listUpstreams tells dispatch what is new, changed or gone.
func (c *Core) listUpstreams(now time.Duration, upstreams listing) bool {
	changed := false
	for _, name := range sortedNames(upstreams) {
		h := upstreams[name]
		if c.upstreams[name] == h {
			continue
		}
		changed = true
		c.dispatched(now, dispatch.UpstreamListed{
			Name:       h.Name,
			Address:    h.Address,
			DataCentre: h.DataCentre,
			Service:    serviceOf(h),
			Leaving:    h.Leaving,
		})
	}
	for _, name := range sortedNames(c.upstreams) {
		if _, still := upstreams[name]; !still {
			changed = true
			c.dispatched(now, dispatch.UpstreamUnlisted{Name: name})
		}
	}
	c.upstreams = upstreams
	return changed
}

// serviceOf names the plain service of an upstream, empty for an engine.
func serviceOf(h platform.Host) string {
	if h.Role == roleEngine {
		return ""
	}
	return h.Service
}

// targets are the upstreams to watch: those of this data centre, and the
// others, which take over when none is left here.
func (c *Core) targets() []Target {
	targets := make([]Target, 0, len(c.upstreams))
	for _, name := range sortedNames(c.upstreams) {
		h := c.upstreams[name]
		targets = append(targets, Target{
			Name:    h.Name,
			Address: h.Address,
			Service: serviceOf(h),
			Far:     h.DataCentre != c.cfg.Dispatch.DataCentre,
		})
	}
	return targets
}

func sortedNames(l listing) []string {
	names := make([]string, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
